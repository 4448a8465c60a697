/**
 * Ranks this gateway among all gateways for each runner, by rendezvous hashing, without exchanging lists of hosts.
 * Each gateway has a position, the hash of its name. Gateways publish their positions as aggregates, whose sums are
 * the number of gateways at each position. For a runner, the positions are ordered by a hash of both, and all
 * gateways derive the same order from the same numbers.
 *
 * A gateway that disappears may be separated by a network partition and still send, so numbers are remembered at
 * their maximum. Positions are published only while some gateway needs them.
 */
import type { AggregateRegistry } from '../../peers/aggregate-registry.js';
import { AGGREGATE_TOPICS, MAXIMUM_AMOUNTS } from '../../peers/aggregates.js';
import type { AggregateRow, AmountsByKey } from '../../peers/aggregates.js';
import { hashToNumber, mixHashes } from '../../runtime/hashing.js';
import type { Runtime } from '../../runtime/runtime.js';

/** Options of {@link GatewayPositions}. */
export interface GatewayPositionsOptions {
  readonly runtime: Runtime;
  /** Name of this gateway, which it keeps across restarts. */
  readonly name: string;
  readonly aggregates: AggregateRegistry;
  /** Whether ranks are needed at all with the configuration in force. */
  readonly isEnabled: () => boolean;
  /** Whether ranks are needed now. */
  readonly isNeeded: () => boolean;
  /** Number of gateways that the gossip knows, including this one. */
  readonly knownGateways: () => number;
  /** Whether other gateways must exist, even if the gossip knows none. */
  readonly expectsPeers: () => boolean;
}

/** Rank of a gateway for a runner. */
export interface GatewayRank {
  /** Number of gateways that rank before this one or may do so, plus 1. */
  readonly rank: number;
  /** Number of gateways, including those whose positions are unknown. */
  readonly gateways: number;
}

const POSITION_COUNT = 384;
/**
 * Four numbers of gateways, of 6 bits each, are packed into one amount: amounts are 32-bit floating point numbers,
 * which represent sums below 2^24 exactly.
 */
const COUNTS_PER_AMOUNT = 4;
const COUNT_RANGE = 2 ** 6;
const POSITIONS_PER_ROW = COUNTS_PER_AMOUNT * MAXIMUM_AMOUNTS;
const HASH_RANGE = 2 ** 32;
/** Combined with positions, since a hash of 0 and 0 is 0. */
const POSITION_SALT = 0x5bd1_e995;
/** Key of the row with the status of the gateways; other keys are numbers of rows of positions. */
const STATUS_KEY = HASH_RANGE - 1;
/** Time after the start in which a gateway requests and publishes positions, in milliseconds. */
const INTRODUCTION_MILLISECONDS = 10_000;
/**
 * Time after a gateway began to publish its position from which the sums are read, in milliseconds. Before, its own
 * position may be counted in them but not be subtracted yet.
 */
const ECHO_MILLISECONDS = 500;
/** Number of readings after which the numbers are considered complete. */
const SETTLED_READINGS = 10;
/**
 * Time for which a number of gateways is remembered at least, and at most twice, in milliseconds. A partition that
 * lasts longer may cause the limits to be exceeded.
 */
const RETENTION_MILLISECONDS = 300_000;
/** Absorbs rounding in the mean number of gateways that the others know. */
const MEAN_TOLERANCE = 0.01;

/** Score of the gateways at a position for a runner; lower scores rank first. */
function scoreOf(position: number, runnerHash: number): number {
  return mixHashes(mixHashes(position, POSITION_SALT), runnerHash);
}

/** Positions of all gateways, and the rank of this one among them. */
export class GatewayPositions {
  private readonly ownPosition: number;
  /** Largest number of gateways at each position, in the current and the last retention period. */
  private maxima = new Uint8Array(POSITION_COUNT);
  private lastMaxima = new Uint8Array(POSITION_COUNT);
  private periodStartedAt: number;
  private periodReadings = 0;
  private readings = 0;
  private counts = new Uint8Array(POSITION_COUNT);
  private total = 1;
  private ranks = new Map<number, number>();
  private enabledAt: number | undefined;
  private publishingSince: number | undefined;
  /** Mean number of gateways that the other gateways know. */
  private meanKnownToOthers = 0;

  constructor(private readonly options: GatewayPositionsOptions) {
    const { runtime, name, aggregates } = options;
    this.ownPosition = Math.floor((hashToNumber(name) / HASH_RANGE) * POSITION_COUNT);
    this.periodStartedAt = runtime.now();
    this.updateCounts();
    aggregates.register(AGGREGATE_TOPICS.gatewayPositions, () => this.exchange());
  }

  /** Whether the positions of all reachable gateways have been read. */
  get isSettled(): boolean {
    const { expectsPeers, knownGateways } = this.options;
    const hasRead = this.readings >= SETTLED_READINGS;
    return expectsPeers() ? hasRead && this.total > 1 : hasRead || knownGateways() <= 1;
  }

  /** Returns the rank of this gateway for a runner, by the hash of the runner's id. */
  rankFor(runnerHash: number): GatewayRank {
    const { gateways } = this;
    // Gateways whose positions are unknown may all rank before this one.
    const rank = this.knownRankFor(runnerHash) + gateways - this.total;
    return { rank, gateways };
  }

  /**
   * Number of gateways, including those whose positions are unknown. A gateway that started recently relies on the
   * others to remember gateways that it cannot reach; longer ones rely on themselves, so that numbers can decrease.
   */
  private get gateways(): number {
    const { runtime, knownGateways } = this.options;
    const isRecent = runtime.now() - (this.enabledAt ?? Infinity) < RETENTION_MILLISECONDS;
    const toldByOthers = isRecent ? Math.ceil(this.meanKnownToOthers - MEAN_TOLERANCE) : 0;
    return Math.max(this.total, knownGateways(), toldByOthers);
  }

  private knownRankFor(runnerHash: number): number {
    let rank = this.ranks.get(runnerHash);
    if (rank === undefined) {
      rank = 0;
      const ownScore = scoreOf(this.ownPosition, runnerHash);
      for (let position = 0; position < POSITION_COUNT; position += 1) {
        const count = this.counts[position]!;
        // Gateways at the same position cannot be told apart, so each counts as the last of them.
        if (count > 0 && scoreOf(position, runnerHash) <= ownScore) {
          rank += count;
        }
      }
      this.ranks.set(runnerHash, rank);
    }
    return rank;
  }

  /** Reads the sums of the other gateways, and returns the rows that this gateway publishes. */
  private exchange(): readonly AggregateRow[] {
    const { runtime, aggregates, isEnabled, isNeeded } = this.options;
    const now = runtime.now();
    this.enabledAt = isEnabled() ? (this.enabledAt ?? now) : undefined;
    if (this.enabledAt === undefined) {
      this.publishingSince = undefined;
      return [];
    }
    const others = aggregates.ofOthers(AGGREGATE_TOPICS.gatewayPositions);
    const [othersInNeed = 0] = others.get(STATUS_KEY) ?? [];
    const needs = isNeeded() || now - this.enabledAt < INTRODUCTION_MILLISECONDS;
    if (!needs && othersInNeed <= 0) {
      this.publishingSince = undefined;
      return [];
    }
    this.publishingSince ??= now;
    if (now - this.publishingSince >= ECHO_MILLISECONDS) {
      this.read(others);
    }
    return [this.ownRow(), { key: STATUS_KEY, amounts: [needs ? 1 : 0, this.gateways, 1] }];
  }

  private ownRow(): AggregateRow {
    const { ownPosition } = this;
    const place = ownPosition % POSITIONS_PER_ROW;
    const index = Math.floor(place / COUNTS_PER_AMOUNT);
    const amounts = new Array<number>(index + 1).fill(0);
    amounts[index] = COUNT_RANGE ** (place % COUNTS_PER_AMOUNT);
    return { key: Math.floor(ownPosition / POSITIONS_PER_ROW), amounts };
  }

  private read(others: AmountsByKey): void {
    this.readings += 1;
    this.periodReadings += 1;
    const [, knownToOthers = 0, reporting = 0] = others.get(STATUS_KEY) ?? [];
    this.meanKnownToOthers = reporting > 0 ? knownToOthers / reporting : 0;
    if (this.raise(this.maxima, others)) {
      this.updateCounts();
    }
    const { runtime } = this.options;
    const isPeriodOver = runtime.now() - this.periodStartedAt >= RETENTION_MILLISECONDS;
    if (isPeriodOver && this.periodReadings >= SETTLED_READINGS) {
      this.lastMaxima = this.maxima;
      this.maxima = new Uint8Array(POSITION_COUNT);
      this.raise(this.maxima, others);
      this.periodStartedAt = runtime.now();
      this.periodReadings = 0;
      this.updateCounts();
    }
  }

  /** Raises numbers to at least those of the other gateways and this one; returns whether any of them changed. */
  private raise(maxima: Uint8Array, others: AmountsByKey): boolean {
    const own = this.ownRow();
    let isChanged = false;
    for (let row = 0; row < POSITION_COUNT / POSITIONS_PER_ROW; row += 1) {
      const amounts = others.get(row) ?? [];
      for (let index = 0; index < MAXIMUM_AMOUNTS; index += 1) {
        // Sums of others lack this gateway; without it, a packed amount could be negative.
        const ownAmount = row === own.key ? (own.amounts[index] ?? 0) : 0;
        let packed = (amounts[index] ?? 0) + ownAmount;
        let position = row * POSITIONS_PER_ROW + index * COUNTS_PER_AMOUNT;
        for (; packed >= 1; packed = Math.floor(packed / COUNT_RANGE), position += 1) {
          const count = packed % COUNT_RANGE;
          if (count > maxima[position]!) {
            maxima[position] = count;
            isChanged = true;
          }
        }
      }
    }
    return isChanged;
  }

  private updateCounts(): void {
    const counts = Uint8Array.from(this.maxima);
    this.lastMaxima.forEach((count, position) => {
      counts[position] = Math.max(count, counts[position]!);
    });
    counts[this.ownPosition] = Math.max(1, counts[this.ownPosition]!);
    this.counts = counts;
    this.total = counts.reduce((sum, count) => sum + count, 0);
    this.ranks = new Map();
  }
}
