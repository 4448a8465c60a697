/** Runs an operator's statement on a node and returns its rows, verdict and revision. */
import * as E from 'fp-ts/lib/Either.js';
import { notRun } from '../model/verdict.js';
import type { CallError, Verdict } from '../model/verdict.js';
import type { IvyloomNode } from '../node/node.js';
import { COLLECTED_TABLES } from '../node/node-rows.js';
import type { CollectedRows, Row } from '../node/row-collector.js';
import { changeConfiguration } from './change-configuration.js';
import { aggregateName, evaluateShow } from './evaluate-rows.js';
import { explainCall } from './explain-call.js';
import { parseStatement } from './parse-statement.js';
import type { ShowStatement, Statement } from './statement.js';
import { closestWord } from './suggest.js';
import { findTable, TABLES } from './tables.js';

const FIRST_ERROR_STATUS = 400;

/** The operator that runs a statement. */
export interface Operator {
  readonly name: string;
  /** False for a viewer. */
  readonly mayChange: boolean;
}

/** Progress of a configuration change across the nodes. */
export interface InForceState {
  /** Number of nodes that have the revision in force. */
  readonly acknowledged: number;
  readonly total: number;
  readonly missing: readonly string[];
}

/** Result of a statement. */
export interface StatementResult {
  readonly columns: readonly string[];
  readonly rows: readonly Row[];
  /** Nodes that did not answer, whose rows are missing. */
  readonly unreachable: readonly string[];
  /** `Ran` for a command that was carried out; undefined for a query. */
  readonly verdict?: Verdict;
  /** Revision that contains a configuration change. */
  readonly revision?: number;
  readonly inForce?: InForceState;
  /** A new API key, which is shown only once. */
  readonly secret?: string;
}

/** Receives the result, once. */
export type StatementListener = (result: E.Either<CallError, StatementResult>) => void;

/** Parses and runs a statement; `id` identifies the change that it makes. */
export function runStatement(
  node: IvyloomNode,
  text: string,
  operator: Operator,
  id: string,
  listener: StatementListener,
): void {
  const parsed = parseStatement(text);
  if (E.isLeft(parsed)) {
    const { message, offset } = parsed.left;
    const pointer = `${text}\n${' '.repeat(offset)}^`;
    listener(E.left(notRun('Malformed', `${message}\n${pointer}`)));
    return;
  }
  const statement = parsed.right;
  const isChange = statement.type !== 'show' && statement.type !== 'explain';
  if (isChange && !operator.mayChange) {
    listener(E.left(notRun('Forbidden', 'A viewer may only show and explain.')));
    return;
  }
  execute(node, statement, { text, operator, id }, listener);
}

interface StatementOrigin {
  readonly text: string;
  readonly operator: Operator;
  readonly id: string;
}

function execute(
  node: IvyloomNode,
  statement: Statement,
  origin: StatementOrigin,
  listener: StatementListener,
): void {
  switch (statement.type) {
    case 'show':
      return show(node, statement, listener);
    case 'explain':
      return statement.subject === 'call'
        ? explainCall(node, statement.name, listener)
        : requestProgramAction(node, 'describe', statement.name, origin.id, listener);
    case 'stop':
      return requestProgramAction(node, 'stop', statement.program, origin.id, listener);
    default:
      return changeConfiguration(
        node,
        statement,
        { id: origin.id, by: origin.operator.name, statement: origin.text },
        listener,
      );
  }
}

function describeUnknownColumn(statement: ShowStatement): string | undefined {
  const table = findTable(statement.table);
  const known = (table?.columns ?? []).map((column) => column.name);
  const aggregates = statement.aggregates.map(aggregateName);
  const referenced = [
    ...statement.conditions.map((condition) => condition.column),
    ...statement.groupBy,
    ...statement.aggregates.map((aggregate) => aggregate.column).filter((name) => name !== ''),
    ...(statement.orderBy === undefined ? [] : [statement.orderBy.column]),
  ];
  const unknown = referenced.find((name) => ![...known, ...aggregates, 'count'].includes(name));
  if (unknown === undefined) {
    return undefined;
  }
  const suggestion = closestWord(unknown, known);
  const hint = suggestion === undefined ? '' : ` Did you mean "${suggestion}"?`;
  return `${statement.table} has no column "${unknown}"; it has ${known.join(', ')}.${hint}`;
}

function show(node: IvyloomNode, statement: ShowStatement, listener: StatementListener): void {
  const table = findTable(statement.table);
  if (table === undefined) {
    const names = TABLES.map((candidate) => candidate.name);
    const suggestion = closestWord(statement.table, names);
    const hint = suggestion === undefined ? '' : ` Did you mean "${suggestion}"?`;
    const detail = `There is no table "${statement.table}"; there are ${names.join(', ')}.${hint}`;
    listener(E.left(notRun('Malformed', detail)));
    return;
  }
  const columnError = describeUnknownColumn(statement);
  if (columnError !== undefined) {
    listener(E.left(notRun('Malformed', columnError)));
    return;
  }
  const respond = ({ rows, unreachable }: CollectedRows): void => {
    const merged = statement.table === 'groups' ? mergeGroups(rows) : rows;
    const shown = evaluateShow(merged, statement);
    const grouping = statement.groupBy.length > 0 || statement.aggregates.length > 0;
    const columns = grouping
      ? Object.keys(shown[0] ?? {})
      : table.columns.map((column) => column.name);
    listener(E.right({ columns, rows: shown, unreachable }));
  };
  if ((COLLECTED_TABLES as readonly string[]).includes(statement.table)) {
    node.rows.collect(statement.table, respond);
  } else {
    respond({ rows: configurationRows(node, statement.table), unreachable: [] });
  }
}

/** Sums the rows of each group over the nodes, since each node holds a part of the group's account. */
function mergeGroups(rows: readonly Row[]): Row[] {
  const merged = new Map<string, Record<string, string | number | boolean>>();
  for (const row of rows) {
    const name = String(row['group']);
    const known = merged.get(name);
    if (known === undefined) {
      merged.set(name, { ...row });
      continue;
    }
    for (const column of ['granted', 'reserved', 'spent', 'calls']) {
      known[column] = Number(known[column]) + Number(row[column]);
    }
  }
  return [...merged.values()];
}

function configurationRows(node: IvyloomNode, table: string): Row[] {
  const { services, engines, keys } = node.configuration.current;
  if (table === 'services') {
    return [...services.values()].map(({ name, kind }) => ({
      service: name,
      kind,
      engines: [...engines.values()].filter((engine) => engine.service === name).length,
    }));
  }
  return [...keys.values()].map(({ name, group, role }) => ({ key: name, group, role }));
}

function requestProgramAction(
  node: IvyloomNode,
  action: 'describe' | 'stop',
  program: string,
  id: string,
  listener: StatementListener,
): void {
  node.gateway.requestProgram(id, action, program, '', (result) => {
    const body = JSON.parse(result.body) as Record<string, unknown> & { error?: CallError };
    if (result.status >= FIRST_ERROR_STATUS && body.error !== undefined) {
      listener(E.left(body.error));
      return;
    }
    const rows = Object.entries(body)
      .filter(([, value]) => typeof value === 'string' || typeof value === 'number')
      .map(([property, value]) => ({ property, value: value as string | number }));
    const calls = Array.isArray(body['calls']) ? (body['calls'] as Row[]) : [];
    const last = calls[calls.length - 1];
    if (last !== undefined) {
      rows.push({
        property: 'last call',
        value: `${String(last['call'])}: ${String(last['state'])}`,
      });
    }
    const verdict: Verdict | undefined = action === 'stop' ? 'Ran' : undefined;
    listener(
      E.right({
        columns: ['property', 'value'],
        rows,
        unreachable: [],
        ...(verdict === undefined ? {} : { verdict }),
      }),
    );
  });
}
