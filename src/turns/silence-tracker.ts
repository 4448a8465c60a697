/**
 * Failure detection: tracks how long each member has been silent, from this process's own calls and from the reports of
 * the members. The reports let a replica that has just started detect a lost member without observing the whole
 * silence itself.
 */
import type { Runtime } from '../runtime/runtime.js';

/** One process's observation of how long a member has been silent. */
export interface SilenceReport {
  readonly member: string;
  /** Time since the member's last reply or, if there was none, since it was first polled, in milliseconds. */
  readonly milliseconds: number;
  /** Whether the member ever replied to the reporting process. */
  readonly wasHeard: boolean;
}

/** Time for which a report is valid, in milliseconds; spans several polls. */
const REPORT_TTL_MILLISECONDS = 1_500;

interface ReceivedReports {
  readonly at: number;
  readonly byMember: ReadonlyMap<string, SilenceReport>;
}

/** Tracks the silence of each member. */
export class SilenceTracker {
  /** Local time since which a member has been polled without interruption, in milliseconds. */
  private readonly polledSince = new Map<string, number>();
  /** Local time of a member's last reply, in milliseconds. */
  private readonly repliedAt = new Map<string, number>();
  /** The latest reports, by reporting member. */
  private readonly receivedReports = new Map<string, ReceivedReports>();

  constructor(private readonly runtime: Runtime) {}

  /** Starts the polling period of a member, unless it has already started. */
  startPolling(member: string): void {
    if (!this.polledSince.has(member)) {
      this.polledSince.set(member, this.runtime.now());
    }
  }

  /** Ends the polling period of a member. */
  stopPolling(member: string): void {
    this.polledSince.delete(member);
  }

  /** Records a reply of a member. */
  recordReply(member: string): void {
    this.repliedAt.set(member, this.runtime.now());
  }

  /** Ends all polling periods and discards all reports after a stall of this process, which may have missed replies. */
  resetAfterStall(): void {
    this.polledSince.clear();
    this.receivedReports.clear();
  }

  /** Records a member's reports on other members, replacing its earlier ones. */
  recordReports(reporter: string, reports: readonly SilenceReport[]): void {
    const byMember = new Map(reports.map((report) => [report.member, report]));
    this.receivedReports.set(reporter, { at: this.runtime.now(), byMember });
  }

  /** Returns this process's own observation of a member. */
  ownReport(member: string): SilenceReport {
    const now = this.runtime.now();
    const askedSince = this.polledSince.get(member) ?? now;
    const repliedAt = this.repliedAt.get(member);
    const milliseconds = now - Math.max(askedSince, repliedAt ?? -Infinity);
    return { member, milliseconds, wasHeard: repliedAt !== undefined };
  }

  /**
   * Returns the silence of a member in milliseconds: the shortest one observed by any process that ever got a reply;
   * if there is none, the longest time for which any process has polled the member.
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
      .flatMap(({ byMember }) => byMember.get(member) ?? []);
  }
}
