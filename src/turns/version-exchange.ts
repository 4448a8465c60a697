/**
 * Exchanges with the members which versions were listed lately, so that this knowledge outlives the gateways: each call reports what
 * this gateway knows, and its reply what all gateways have reported.
 */
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { MemberDirectory } from './member-directory.js';
import { majorityOf } from './membership.js';
import type { ReplicaReply } from './messages.js';
import type { ReplicaCaller } from './replica-caller.js';
import { REPORT_INTERVAL_MILLISECONDS } from './version-reports.js';
import type { ListedVersion, VersionReport } from './version-reports.js';

/** Dependencies of a {@link VersionExchange}. */
export interface VersionExchangeOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Distances to the zones of the members. @default none */
  readonly distances?: ZoneDistances | undefined;
}

/** What a gateway reports, and what it does with what the members know. */
export interface VersionReporter {
  /** What this gateway knows. */
  reportToMembers: () => VersionReport;
  /** Adds what a member knows of the versions. */
  addVersions: (versions: readonly ListedVersion[]) => void;
  /** Adds that all versions of the last milliseconds are known. */
  extendKnown: (milliseconds: number) => void;
  /** Whether what the members know may add to what is known. */
  readonly needsMembers: boolean;
}

/** Timeout of a call, in milliseconds, beside the round trip to another region. */
const CALL_TIMEOUT_MILLISECONDS = 150;
/** Interval at which a gateway asks again until the members have told what they know, in milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 500;
/** Time for which changes are collected before they are reported, in milliseconds. */
const COLLECT_MILLISECONDS = 5;

/** The gateway's client for the reports of versions. */
export class VersionExchange {
  private reporter: VersionReporter | undefined;
  private cancelReport: CancelTimer | undefined;
  private readonly waiting: (() => void)[] = [];
  private isExchanging = false;

  constructor(private readonly options: VersionExchangeOptions) {
    options.directory.onChange(() => this.reportSoon());
  }

  /** Starts to report: when something changes, and at an interval. */
  start(reporter: VersionReporter): void {
    const { runtime } = this.options;
    this.reporter = reporter;
    setRepeatingTimer(runtime, REPORT_INTERVAL_MILLISECONDS, () => this.exchange());
    const cancelRetries = setRepeatingTimer(runtime, RETRY_INTERVAL_MILLISECONDS, () => {
      if (reporter.needsMembers) {
        this.exchange();
      } else {
        cancelRetries();
      }
    });
    this.reportSoon();
  }

  /** Reports a change. */
  reportSoon(): void {
    const { runtime } = this.options;
    this.cancelReport ??= runtime.setTimer(COLLECT_MILLISECONDS, () => {
      this.cancelReport = undefined;
      this.exchange();
    });
  }

  /** Asks the members what they know; calls back once enough have answered, or none will any more. */
  refresh(done: () => void): void {
    if (this.members.length === 0 || this.reporter === undefined) {
      done();
      return;
    }
    this.waiting.push(done);
    if (!this.isExchanging) {
      this.exchange();
    }
  }

  private get members(): readonly { readonly id: string }[] {
    return this.options.directory.current?.members ?? [];
  }

  private exchange(): void {
    const { directory, caller, distances } = this.options;
    const { reporter } = this;
    const record = directory.current;
    if (reporter === undefined || record === undefined || record.members.length === 0) {
      return;
    }
    this.isExchanging = true;
    const { knownMilliseconds, versions } = reporter.reportToMembers();
    const request = {
      type: 'exchangeVersions' as const,
      knownMilliseconds,
      versions: [...versions],
    };
    const needed = majorityOf(record);
    const known: number[] = [];
    let pending = record.members.length;
    let isFinished = false;
    const handleReply = (reply: ReplicaReply | undefined): void => {
      pending -= 1;
      if (reply?.type === 'versionsExchanged') {
        reporter.addVersions(reply.versions);
        known.push(reply.knownMilliseconds);
        if (known.length >= needed) {
          known.sort((left, right) => right - left);
          reporter.extendKnown(known[needed - 1]!);
        }
      }
      if (!isFinished && (pending === 0 || known.length >= needed)) {
        isFinished = true;
        this.isExchanging = false;
        this.waiting.splice(0).forEach((done) => done());
      }
    };
    for (const member of record.members) {
      const allowance = distances?.allowanceMilliseconds(member.zone) ?? 0;
      caller.call(member, request, CALL_TIMEOUT_MILLISECONDS + allowance, handleReply);
    }
  }
}
