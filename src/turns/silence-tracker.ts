/**
 * For how long members have not been heard: as this process saw itself, and, for one that is no member, on
 * the word of those that are. Members have asked one another all along; a newcomer would have to wait as
 * long again to find out by itself.
 */
import type { Runtime } from '../runtime/runtime.js';

/** What one process can say of how long a member has been silent. */
export interface SilenceReport {
  readonly member: string;
  /** Time since its last reply; when there was none, time for which it has been asked. */
  readonly milliseconds: number;
  /** Whether it ever replied to who says this. */
  readonly wasHeard: boolean;
}

/** Time for which a word counts, in milliseconds: several looks at the members. */
const REPORT_TTL_MILLISECONDS = 1_500;

interface ReceivedReports {
  readonly at: number;
  readonly byMember: ReadonlyMap<string, SilenceReport>;
}

/** See the head of this file. */
export class SilenceTracker {
  /** Local time since which a member has been asked without a break, in milliseconds. */
  private readonly polledSince = new Map<string, number>();
  /** Local time of a member's last reply, in milliseconds. */
  private readonly repliedAt = new Map<string, number>();
  /** What members said last, by who said it. */
  private readonly receivedReports = new Map<string, ReceivedReports>();

  constructor(private readonly runtime: Runtime) {}

  /** Notes that a member is asked. */
  startPolling(member: string): void {
    if (!this.polledSince.has(member)) {
      this.polledSince.set(member, this.runtime.now());
    }
  }

  /** Notes that a member is asked no longer. */
  stopPolling(member: string): void {
    this.polledSince.delete(member);
  }

  /** Notes a reply. */
  recordReply(member: string): void {
    this.repliedAt.set(member, this.runtime.now());
  }

  /** Notes that this process stood still: what it did not hear meanwhile tells nothing. */
  resetAfterStall(): void {
    this.polledSince.clear();
    this.receivedReports.clear();
  }

  /** Notes what a member says of others. */
  recordReports(reporter: string, reports: readonly SilenceReport[]): void {
    const byMember = new Map(reports.map((word) => [word.member, word]));
    this.receivedReports.set(reporter, { at: this.runtime.now(), byMember: byMember });
  }

  /** What this process itself can say. */
  ownReport(member: string): SilenceReport {
    const now = this.runtime.now();
    const askedSince = this.polledSince.get(member) ?? now;
    const repliedAt = this.repliedAt.get(member);
    const milliseconds = now - Math.max(askedSince, repliedAt ?? -Infinity);
    return { member, milliseconds, wasHeard: repliedAt !== undefined };
  }

  /**
   * Time in milliseconds since a member was last heard: by whoever heard it last; when nobody heard it, for as
   * long as anybody has asked.
   */
  silenceOf(member: string): number {
    const reports = [this.ownReport(member), ...this.reportsOf(member)];
    const reportsWithReply = reports.filter(({ wasHeard }) => wasHeard);
    return reportsWithReply.length > 0
      ? Math.min(...reportsWithReply.map(({ milliseconds }) => milliseconds))
      : Math.max(...reports.map(({ milliseconds }) => milliseconds));
  }

  private reportsOf(member: string): SilenceReport[] {
    const since = this.runtime.now() - REPORT_TTL_MILLISECONDS;
    return [...this.receivedReports.values()]
      .filter(({ at }) => at >= since)
      .flatMap(({ byMember: words }) => words.get(member) ?? []);
  }
}
