/**
 * Requests under way at each service by their rank at the runners, this gateway's and those of all others: whoever
 * is more urgent waits for nobody behind it. Others' figures are 0.1 to 0.3 s old; older builds tell none, so what
 * is not known to be behind a request counts as ahead of it. Late requests are told once more by the rank that they had
 * before, since the rank that they fall to is also that of less urgent tenants' work in time.
 */
import { hashToNumber } from '../../runtime/hashing.js';
import type { AggregateRegistry } from '../../peers/aggregate-registry.js';
import { MAXIMUM_AMOUNTS, AGGREGATE_TOPICS } from '../../peers/aggregates.js';
import type { AggregateRow, AggregateTopic } from '../../peers/aggregates.js';

/** The last amount of a row holds this rank and all behind it. */
const LAST_BUCKET = MAXIMUM_AMOUNTS - 1;

function bucketOf(rank: number): number {
  return Math.min(LAST_BUCKET, Math.max(0, Math.floor(rank)));
}

/** Requests by service and place of their rank: this gateway's, told under a topic, and those of others. */
class RankedRequestCounts {
  private readonly byService = new Map<string, number[]>();

  constructor(
    private readonly tallies: AggregateRegistry,
    private readonly topic: AggregateTopic,
  ) {
    tallies.register(topic, () => this.tallyRows());
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
    const others = this.tallies.ofOthers(this.topic).get(hashToNumber(service));
    let sum = 0;
    for (let bucket = firstBucket; bucket <= lastBucket; bucket += 1) {
      sum += (own[bucket] ?? 0) + Math.max(0, others?.[bucket] ?? 0);
    }
    return sum;
  }

  private tallyRows(): AggregateRow[] {
    const rows: AggregateRow[] = [];
    for (const [service, amounts] of this.byService) {
      if (amounts.some((amount) => amount > 0)) {
        rows.push({ key: hashToNumber(service), amounts: [...amounts] });
      }
    }
    return rows;
  }
}

/** See the head of this file. */
export class ServiceDemand {
  private readonly allRequests: RankedRequestCounts;
  private readonly lateRequests: RankedRequestCounts;

  constructor(tallies: AggregateRegistry) {
    this.allRequests = new RankedRequestCounts(tallies, AGGREGATE_TOPICS.serviceDemand);
    this.lateRequests = new RankedRequestCounts(tallies, AGGREGATE_TOPICS.lateDemand);
  }

  /**
   * Notes a request that is let in; the function returned notes its end.
   * @param baseRank the rank that it would have in time, where its program is late
   */
  begin(service: string, rank: number, baseRank?: number): () => void {
    const end = this.allRequests.begin(service, rank);
    const endLate = baseRank === undefined ? undefined : this.lateRequests.begin(service, baseRank);
    return () => {
      end();
      endLate?.();
    };
  }

  /** Requests at a service of ranks behind one. */
  countLessUrgent(service: string, rank: number): number {
    return this.allRequests.countBetween(service, rank < 0 ? 0 : bucketOf(rank) + 1, LAST_BUCKET);
  }

  /** Requests at a service of one rank. */
  countAtRank(service: string, rank: number): number {
    return this.allRequests.countBetween(service, bucketOf(rank), bucketOf(rank));
  }

  /** Requests at a service that would have a rank if their programs weren't late. */
  countLate(service: string, rank: number): number {
    return this.lateRequests.countBetween(service, bucketOf(rank), bucketOf(rank));
  }
}
