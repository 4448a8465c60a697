/** Syntax tree of the statements of the operators' query language. */
import type { RowValue } from '../node/row-collector.js';

/** Comparison operators. */
export type Comparison = '=' | '!=' | '<' | '<=' | '>' | '>=' | 'like';

/** One condition of a `where` clause. */
export interface Condition {
  readonly column: string;
  readonly comparison: Comparison;
  readonly value: RowValue;
}

/** An aggregate function over a column. */
export interface Aggregate {
  readonly function: 'count' | 'sum' | 'avg' | 'max' | 'p95';
  /** Empty for `count(*)`. */
  readonly column: string;
}

/** `show TABLE …`. */
export interface ShowStatement {
  readonly type: 'show';
  readonly table: string;
  readonly conditions: readonly Condition[];
  readonly groupBy: readonly string[];
  readonly aggregates: readonly Aggregate[];
  readonly orderBy?: { readonly column: string; readonly descending: boolean };
  readonly limit?: number;
}

/** Kinds of configuration objects. */
export type ObjectKind = 'group' | 'service' | 'engine' | 'key';

/** Property values of a `set` or `create` statement. */
export type Properties = Readonly<Record<string, RowValue>>;

/** `set KIND NAME property value …`. */
export interface SetStatement {
  readonly type: 'set';
  readonly kind: ObjectKind;
  readonly name: string;
  readonly properties: Properties;
}

/** `create KIND NAME property value …`. */
export interface CreateStatement {
  readonly type: 'create';
  readonly kind: ObjectKind;
  readonly name: string;
  readonly properties: Properties;
}

/** `delete KIND NAME`. */
export interface DeleteStatement {
  readonly type: 'delete';
  readonly kind: ObjectKind;
  readonly name: string;
}

/** `drain engine NAME` and `resume engine NAME`. */
export interface DrainStatement {
  readonly type: 'drain' | 'resume';
  readonly name: string;
}

/** `stop program NAME`. */
export interface StopStatement {
  readonly type: 'stop';
  readonly program: string;
}

/** `explain call NAME` and `explain program NAME`. */
export interface ExplainStatement {
  readonly type: 'explain';
  readonly subject: 'call' | 'program';
  readonly name: string;
}

export type Statement =
  | ShowStatement
  | SetStatement
  | CreateStatement
  | DeleteStatement
  | DrainStatement
  | StopStatement
  | ExplainStatement;
