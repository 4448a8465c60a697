/**
 * Counts the requests in progress at each service by rank: those of this gateway and, through
 * gossip, those of all others. A request does not wait for less urgent ones. The counts of other
 * gateways are 0.1 to 0.3 s old, and gateways of older builds publish none, so a request
 * counts as ahead unless it is known to be less urgent. Late requests are counted a second time, by the rank
 * that they had before they became late, since the rank that they drop to is also that of on-time
 * work of less urgent tenants.
 */
import { hashToNumber } from '../../runtime/hashing.js';
import type { AggregateRegistry } from '../../peers/aggregate-registry.js';
import { MAXIMUM_AMOUNTS, AGGREGATE_TOPICS } from '../../peers/aggregates.js';
import type { AggregateRow, AggregateTopic } from '../../peers/aggregates.js';

/** Index of the last amount of a row, which counts its own rank and all less urgent ones. */
const LAST_BUCKET = MAXIMUM_AMOUNTS - 1;

function bucketOf(rank: number): number {
  return Math.min(LAST_BUCKET, Math.max(0, Math.floor(rank)));
}

/**
 * Number of requests by service and rank: those of this gateway, published under a topic, and those
 * of other gateways.
 */
class RankedRequestCounts {
  private readonly byService = new Map<string, number[]>();

  constructor(
    private readonly aggregates: AggregateRegistry,
    private readonly topic: AggregateTopic,
  ) {
    aggregates.register(topic, () => this.aggregateRows());
  }

  begin(service: string, rank: number): () => void {
    const bucket = bucketOf(rank);
    const amounts = this.byService.get(service) ?? new Array<number>(MAXIMUM_AMOUNTS).fill(0);
    this.byService.set(service, amounts);
    amounts[bucket]! += 1;
    return () => {
      amounts[bucket]! -= 1;
    };
  }

  countBetween(service: string, firstBucket: number, lastBucket: number): number {
    const own = this.byService.get(service) ?? [];
    const others = this.aggregates.ofOthers(this.topic).get(hashToNumber(service));
    let sum = 0;
    for (let bucket = firstBucket; bucket <= lastBucket; bucket += 1) {
      sum += (own[bucket] ?? 0) + Math.max(0, others?.[bucket] ?? 0);
    }
    return sum;
  }

  private aggregateRows(): AggregateRow[] {
    const rows: AggregateRow[] = [];
    for (const [service, amounts] of this.byService) {
      if (amounts.some((amount) => amount > 0)) {
        rows.push({ key: hashToNumber(service), amounts: [...amounts] });
      }
    }
    return rows;
  }
}

/** Number of requests in progress by service and rank, over all gateways. */
export class ServiceDemand {
  private readonly allRequests: RankedRequestCounts;
  private readonly lateRequests: RankedRequestCounts;

  constructor(aggregates: AggregateRegistry) {
    this.allRequests = new RankedRequestCounts(aggregates, AGGREGATE_TOPICS.serviceDemand);
    this.lateRequests = new RankedRequestCounts(aggregates, AGGREGATE_TOPICS.lateDemand);
  }

  /**
   * Counts an admitted request until the returned function is called.
   * @param baseRank rank that the request would have in time; given only if its program is late
   */
  begin(service: string, rank: number, baseRank?: number): () => void {
    const end = this.allRequests.begin(service, rank);
    const endLate = baseRank === undefined ? undefined : this.lateRequests.begin(service, baseRank);
    return () => {
      end();
      endLate?.();
    };
  }

  /**
   * Number of requests at a service that are less urgent than a rank; all of them if it is
   * negative.
   */
  countLessUrgent(service: string, rank: number): number {
    return this.allRequests.countBetween(service, rank < 0 ? 0 : bucketOf(rank) + 1, LAST_BUCKET);
  }

  /** Number of requests at a service of one rank. */
  countAtRank(service: string, rank: number): number {
    return this.allRequests.countBetween(service, bucketOf(rank), bucketOf(rank));
  }

  /** Number of late requests at a service that would have a rank if their programs were in time. */
  countLate(service: string, rank: number): number {
    return this.lateRequests.countBetween(service, bucketOf(rank), bucketOf(rank));
  }
}
