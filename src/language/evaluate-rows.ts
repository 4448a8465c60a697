/** Evaluates a `show` statement over rows: filter, group, order, limit. */
import type { Row, RowValue } from '../node/row-collector.js';
import type { Aggregate, Condition, ShowStatement } from './statement.js';

const PERCENTILE = 0.95;

function compare(left: RowValue | undefined, right: RowValue): number {
  if (typeof left === 'number' && typeof right === 'number') {
    return left - right;
  }
  return String(left ?? '') < String(right) ? -1 : String(left ?? '') === String(right) ? 0 : 1;
}

function matchesPattern(value: string, pattern: string): boolean {
  const escaped = pattern.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').replace(/%/g, '.*');
  return new RegExp(`^${escaped}$`, 'i').test(value);
}

function satisfies(row: Row, condition: Condition): boolean {
  const value = row[condition.column];
  const order = compare(value, condition.value);
  switch (condition.comparison) {
    case '=':
      return order === 0;
    case '!=':
      return order !== 0;
    case '<':
      return order < 0;
    case '<=':
      return order <= 0;
    case '>':
      return order > 0;
    case '>=':
      return order >= 0;
    case 'like':
      return matchesPattern(String(value ?? ''), String(condition.value));
  }
}

/** Name of the result column of an aggregate: `sum(tokens)` gives `sum_tokens`, `count(*)` gives `count`. */
export function aggregateName(aggregate: Aggregate): string {
  return aggregate.column === '' ? aggregate.function : `${aggregate.function}_${aggregate.column}`;
}

function computeAggregate(rows: readonly Row[], aggregate: Aggregate): number {
  const values = rows.map((row) => Number(row[aggregate.column] ?? 0)).sort((a, b) => a - b);
  const sum = values.reduce((total, value) => total + value, 0);
  switch (aggregate.function) {
    case 'count':
      return rows.length;
    case 'sum':
      return sum;
    case 'avg':
      return rows.length === 0 ? 0 : sum / rows.length;
    case 'max':
      return values[values.length - 1] ?? 0;
    case 'p95':
      return values[Math.max(0, Math.ceil(values.length * PERCENTILE) - 1)] ?? 0;
  }
}

function groupRows(rows: readonly Row[], statement: ShowStatement): Row[] {
  const aggregates: readonly Aggregate[] =
    statement.aggregates.length > 0 ? statement.aggregates : [{ function: 'count', column: '' }];
  const groups = new Map<string, Row[]>();
  for (const row of rows) {
    const key = JSON.stringify(statement.groupBy.map((column) => row[column] ?? ''));
    groups.set(key, [...(groups.get(key) ?? []), row]);
  }
  if (groups.size === 0 && statement.groupBy.length === 0) {
    groups.set('[]', []);
  }
  return [...groups.values()].map((members) => {
    const grouped: Record<string, RowValue> = {};
    for (const column of statement.groupBy) {
      grouped[column] = members[0]?.[column] ?? '';
    }
    for (const aggregate of aggregates) {
      grouped[aggregateName(aggregate)] = computeAggregate(members, aggregate);
    }
    return grouped;
  });
}

/** Returns the result rows of a `show` statement. */
export function evaluateShow(rows: readonly Row[], statement: ShowStatement): Row[] {
  const matchingRows = rows.filter((row) =>
    statement.conditions.every((condition) => satisfies(row, condition)),
  );
  const grouping = statement.groupBy.length > 0 || statement.aggregates.length > 0;
  const resultRows = grouping ? groupRows(matchingRows, statement) : [...matchingRows];
  const { orderBy } = statement;
  if (orderBy !== undefined) {
    const direction = orderBy.descending ? -1 : 1;
    resultRows.sort(
      (left, right) => direction * compare(left[orderBy.column], right[orderBy.column] ?? ''),
    );
  }
  return statement.limit === undefined ? resultRows : resultRows.slice(0, statement.limit);
}
