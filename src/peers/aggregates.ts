/**
 * Figures that gateways add up over all of them, beside their loads: rows of amounts, each under a topic and a
 * key. They travel the way of loads, from a gateway to its zone's sum to the sum of all; a topic that is not
 * known here is added up and told on all the same, so that builds that know it can meet over ones that don't.
 */

/** Topics known here, by their number on the wire: append only, a number is never used again. */
export const AGGREGATE_TOPICS = {
  // 1 is that of what requests showed of runners, which nobody tells.
  /** What is asked of a service; the key is the hash of its name. */
  serviceDemand: 2,
  // 3 was that of a tenant's demand, which nobody told.
  /** Late requests of a service by the rank that they had in time; the key is the hash of its name. */
  lateDemand: 4,
} as const;

/** Number of a topic. */
export type AggregateTopic = number;

/** Amounts under one key. What each place of the row means is the topic's; places are only ever appended. */
export interface AggregateRow {
  /** Hash of a name, 32 bits. */
  readonly key: number;
  readonly amounts: readonly number[];
}

/** The rows of one topic. */
export interface Aggregate {
  readonly topic: AggregateTopic;
  readonly rows: readonly AggregateRow[];
}

/** Amounts by key. */
export type AmountsByKey = ReadonlyMap<number, readonly number[]>;
/** Amounts by topic and key. */
export type AmountsByTopic = ReadonlyMap<AggregateTopic, AmountsByKey>;

/** Rows of one topic in a message: bounds the bytes whatever the number of runners or tenants. */
const MAXIMUM_ROWS_PER_TOPIC = 48;
/**
 * Topics in a message, the lowest numbers first: more than builds that run side by side know, and with all their
 * rows a message stays a quarter of what a section holds.
 */
const MAXIMUM_TOPICS = 8;
/** Amounts in a row. */
export const MAXIMUM_AMOUNTS = 8;

function addAmounts(sums: number[], amounts: readonly number[], factor: number): void {
  amounts.forEach((amount, index) => {
    sums[index] = (sums[index] ?? 0) + amount * factor;
  });
}

function addAggregates(
  sums: Map<AggregateTopic, Map<number, number[]>>,
  aggregates: readonly Aggregate[],
  factor: number,
): void {
  for (const { topic, rows } of aggregates) {
    const ofTopic = sums.get(topic) ?? new Map<number, number[]>();
    sums.set(topic, ofTopic);
    for (const { key, amounts } of rows) {
      const row = ofTopic.get(key) ?? [];
      ofTopic.set(key, row);
      addAmounts(row, amounts, factor);
    }
  }
}

/**
 * Adds up what several messages tell.
 * @param own is taken off the sum: what of it is one's own
 */
export function sumAggregates(
  lists: Iterable<readonly Aggregate[]>,
  own: readonly Aggregate[] = [],
): AmountsByTopic {
  const sums = new Map<AggregateTopic, Map<number, number[]>>();
  for (const aggregates of lists) {
    addAggregates(sums, aggregates, 1);
  }
  addAggregates(sums, own, -1);
  return sums;
}

/** Sums as a message tells them: the topics of the lowest numbers, and of each the rows of the largest sums. */
export function toAggregates(sums: AmountsByTopic): Aggregate[] {
  const topics = [...sums].sort(([left], [right]) => left - right).slice(0, MAXIMUM_TOPICS);
  return topics.map(([topic, byKey]) => {
    const rows = [...byKey].map(([key, amounts]) => ({ key, amounts }));
    return { topic, rows: largestRows(rows) };
  });
}

/** The rows of the largest sums of amounts, as many as a message takes. */
export function largestRows(rows: readonly AggregateRow[]): readonly AggregateRow[] {
  if (rows.length <= MAXIMUM_ROWS_PER_TOPIC) {
    return rows;
  }
  const totalOf = ({ amounts }: AggregateRow): number =>
    amounts.reduce((sum, each) => sum + each, 0);
  return [...rows]
    .sort((left, right) => totalOf(right) - totalOf(left))
    .slice(0, MAXIMUM_ROWS_PER_TOPIC);
}
