/**
 * Figures that gateways add up over all of them, beside their loads: rows of amounts, each under a topic and a
 * key. They travel the way of loads, from a gateway to its zone's sum to the sum of all; a topic that is not
 * known here is added up and told on all the same, so that builds that know it can meet over ones that don't.
 */

/** Topics known here, by their number on the wire: append only, a number is never used again. */
export const TALLY_TOPICS = {
  // 1 is that of what requests showed of runners, which nobody tells.
  /** What is asked of a service; the key is the hash of its name. */
  serviceDemand: 2,
  // 3 was that of a tenant's demand, which nobody told.
  /** Late requests of a service by the rank that they had in time; the key is the hash of its name. */
  lateDemand: 4,
} as const;

/** Number of a topic. */
export type TallyTopic = number;

/** Amounts under one key. What each place of the row means is the topic's; places are only ever appended. */
export interface TallyRow {
  /** Hash of a name, 32 bits. */
  readonly key: number;
  readonly amounts: readonly number[];
}

/** The rows of one topic. */
export interface Tally {
  readonly topic: TallyTopic;
  readonly rows: readonly TallyRow[];
}

/** Amounts by key. */
export type TallyAmounts = ReadonlyMap<number, readonly number[]>;
/** Amounts by topic and key. */
export type TallySums = ReadonlyMap<TallyTopic, TallyAmounts>;

/** Rows of one topic in a message: bounds the bytes whatever the number of runners or tenants. */
const MAXIMUM_ROWS = 48;
/**
 * Topics in a message, the lowest numbers first: more than builds that run side by side know, and with all their
 * rows a message stays a quarter of what a section holds.
 */
const MAXIMUM_TOPICS = 8;
/** Amounts in a row. */
export const MAXIMUM_AMOUNTS = 8;

function addTo(sums: number[], amounts: readonly number[], factor: number): void {
  amounts.forEach((amount, place) => {
    sums[place] = (sums[place] ?? 0) + amount * factor;
  });
}

function addAll(
  sums: Map<TallyTopic, Map<number, number[]>>,
  tallies: readonly Tally[],
  factor: number,
): void {
  for (const { topic, rows } of tallies) {
    const ofTopic = sums.get(topic) ?? new Map<number, number[]>();
    sums.set(topic, ofTopic);
    for (const { key, amounts } of rows) {
      const row = ofTopic.get(key) ?? [];
      ofTopic.set(key, row);
      addTo(row, amounts, factor);
    }
  }
}

/**
 * Adds up what several messages tell.
 * @param without is taken off the sum: what of it is one's own
 */
export function sumTallies(
  lists: Iterable<readonly Tally[]>,
  without: readonly Tally[] = [],
): TallySums {
  const sums = new Map<TallyTopic, Map<number, number[]>>();
  for (const tallies of lists) {
    addAll(sums, tallies, 1);
  }
  addAll(sums, without, -1);
  return sums;
}

/** Sums as a message tells them: the topics of the lowest numbers, and of each the rows of the largest sums. */
export function tallyList(sums: TallySums): Tally[] {
  const topics = [...sums].sort(([left], [right]) => left - right).slice(0, MAXIMUM_TOPICS);
  return topics.map(([topic, byKey]) => {
    const rows = [...byKey].map(([key, amounts]) => ({ key, amounts }));
    return { topic, rows: boundedRows(rows) };
  });
}

/** The rows of the largest sums of amounts, as many as a message takes. */
export function boundedRows(rows: readonly TallyRow[]): readonly TallyRow[] {
  if (rows.length <= MAXIMUM_ROWS) {
    return rows;
  }
  const weight = ({ amounts }: TallyRow): number => amounts.reduce((sum, each) => sum + each, 0);
  return [...rows].sort((left, right) => weight(right) - weight(left)).slice(0, MAXIMUM_ROWS);
}
