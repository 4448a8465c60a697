/**
 * Amounts that are summed over all gateways, beside the load of the runners. A topic groups rows of
 * amounts, each under a key. Like loads, aggregates are sent from a gateway to its zone's
 * aggregator and on into the global sum. Topics unknown to this build are summed and forwarded all
 * the same, so that newer builds can exchange them through older ones.
 */

/**
 * Topics known to this build, by their number on the wire. Append only; numbers are never reused.
 */
export const AGGREGATE_TOPICS = {
  // 1 is reserved: what requests showed of runners; no build sends it.
  /** Requests in progress at a service, by rank; the key is the hash of the service's name. */
  serviceDemand: 2,
  // 3 is reserved: a tenant's demand; no build sent it.
  /**
   * Late requests of a service by their rank before they became late; the key is the hash of the
   * service's name.
   */
  lateDemand: 4,
  /**
   * Number of gateways by the hash of their name, and what they know of one another; keys and
   * amounts are described in `gateway-positions.ts`.
   */
  gatewayPositions: 5,
  /**
   * Gateways of a region; the key is the hash of its name. Absent while the load of a region is not
   * known.
   */
  regionGateways: 6,
  /** Gateways that have lately seen several software versions of a service; the key is the hash of its name. */
  mixedServices: 7,
} as const;

/** Number of a topic on the wire. */
export type AggregateTopic = number;

/**
 * Amounts under one key. The topic defines the meaning of each index; amounts are only ever
 * appended.
 */
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

export type AmountsByKey = ReadonlyMap<number, readonly number[]>;
export type AmountsByTopic = ReadonlyMap<AggregateTopic, AmountsByKey>;

/** Limits the rows of one topic in a message, whatever the number of runners or tenants. */
const MAXIMUM_ROWS_PER_TOPIC = 48;
/**
 * Limits the topics in a message; those with the lowest numbers are kept. With all their rows a
 * message fills about a quarter of the largest section.
 */
const MAXIMUM_TOPICS = 8;
/** Maximum number of amounts in a row. */
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
 * Sums the aggregates of several messages.
 * @param own this gateway's own share, which is subtracted from the sums
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

/**
 * Converts sums to the aggregates of a message: the topics with the lowest numbers, and of each
 * topic the rows with the largest totals.
 */
export function toAggregates(sums: AmountsByTopic): Aggregate[] {
  const topics = [...sums].sort(([left], [right]) => left - right).slice(0, MAXIMUM_TOPICS);
  return topics.map(([topic, byKey]) => {
    const rows = [...byKey].map(([key, amounts]) => ({ key, amounts }));
    return { topic, rows: largestRows(rows) };
  });
}

/** Returns the rows with the largest totals, at most as many as a message holds. */
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
