/**
 * Keeps the record of members right: this replica joins it, leaves it when operators empty its
 * machine, and takes out members that are gone. Only compare-and-swap on the stored record decides.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import { decideMembership } from './decide-membership.js';
import type { MembershipAction, MembershipView } from './decide-membership.js';
import type { MemberDirectory } from './member-directory.js';
import {
  decodeMemberRecord,
  encodeMemberRecord,
  hasMember,
  withMember,
  withoutMember,
} from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import { MembershipWaitLog } from './membership-wait-log.js';
import { DECISION_INTERVAL_MILLISECONDS } from './membership-timings.js';
import type { MembershipTimings } from './membership-timings.js';
import type { MembershipStore } from './membership-store.js';
import type { Replica } from './replica.js';
import type { ReplicaSync } from './replica-sync.js';
import { RetirementReporter } from './retirement-reporter.js';

/** What the keeper is made with. */
export interface MembershipControllerOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly sync: ReplicaSync;
  readonly directory: MemberDirectory;
  readonly store: MembershipStore;
  /** Members that the record is to name; others stand by. */
  readonly wantedMembers: number;
  readonly timings: MembershipTimings;
}

const CAUGHT_UP_WINDOW_MILLISECONDS = 1_500;
/** Samples of the log's end that are kept. */
const MAXIMUM_LOG_END_SAMPLES = 12;

/** See the head of this file. */
export class MembershipController {
  private readonly cancelTimer: CancelTimer;
  private isChanging = false;
  private readonly logEnds: { readonly at: number; readonly end: number }[] = [];
  private readonly retirementReporter: RetirementReporter;
  /** Epoch of the older record that the store shows; undefined while it shows the newest known. */
  private olderEpoch: number | undefined;
  /** Local time since which fewer members are present than wanted; undefined while enough are. */
  private vacantSince: number | undefined;
  private readonly waitLog: MembershipWaitLog;
  /** End of the log when the record in force became known. */
  private epochLogEnd = 0;

  constructor(private readonly options: MembershipControllerOptions) {
    this.waitLog = new MembershipWaitLog(options);
    options.directory.onChange(() => {
      this.epochLogEnd = options.replica.state.logEnd;
    });
    this.retirementReporter = new RetirementReporter(options);
    this.cancelTimer = setRepeatingTimer(options.runtime, DECISION_INTERVAL_MILLISECONDS, () =>
      this.step(),
    );
  }

  /** Takes one decision and carries it out. */
  step(): void {
    const { store, directory } = this.options;
    this.sampleLogEnd();
    const stored = store.readRecord();
    if (this.isChanging || stored.tag === 'Unknown') {
      return;
    }
    const record = stored.tag === 'Present' ? decodeMemberRecord(stored.text) : undefined;
    if (record !== undefined) {
      directory.offer(record, 'store');
    }
    if ((record?.epoch ?? 0) < (directory.current?.epoch ?? 0)) {
      // The store shows what was true earlier: nothing may be concluded from that.
      this.logOlderRecord(record);
      return;
    }
    this.olderEpoch = undefined;
    this.markIncompleteIfRemoved(record);
    this.trackVacancy(record);
    const revision = stored.tag === 'Present' ? stored.revision : 0;
    this.execute(decideMembership(this.viewOf(record)), record, revision);
    if (record !== undefined) {
      this.retirementReporter.step(record);
    }
  }

  /** Stops taking decisions. */
  close(): void {
    this.cancelTimer();
  }

  private viewOf(record: MemberRecord | undefined): MembershipView {
    const { self: own, replica, sync, store } = this.options;
    return {
      self: own,
      record,
      ready: replica.ready,
      isCaughtUpWith: (member) => sync.isCaughtUpWith(member, CAUGHT_UP_WINDOW_MILLISECONDS),
      isComplete: (member) => sync.view(member)?.active ?? false,
      hasRead: (member) => this.hasRead(member, this.logEndToRead()),
      silentMilliseconds: (member) => sync.silenceOf(member),
      retiringNodes: store.retiringNodes(),
      wantedMembers: this.options.wantedMembers,
      presentMembers: sync.presentMembers,
      vacantMilliseconds: this.vacantMilliseconds(record),
      timings: this.options.timings,
    };
  }

  /** Since this replica noticed it, or since the silence of a member that is gone made it vacant. */
  private vacantMilliseconds(record: MemberRecord | undefined): number {
    const { runtime, sync, timings, self: own } = this.options;
    const silences = (record?.members ?? [])
      .filter(({ id }) => id !== own.id)
      .map(({ id }) => sync.silenceOf(id) - timings.removalMilliseconds);
    return Math.max(runtime.now() - (this.vacantSince ?? runtime.now()), ...silences);
  }

  /**
   * End of the log up to which others must have read it: all that was taken under earlier members, since
   * nothing is acknowledged under those any more, and what was taken up to a little while ago.
   */
  private logEndToRead(): number {
    return Math.max(this.earlierLogEnd(), this.epochLogEnd);
  }

  /** End of the log a little while ago: those that read it always stand behind its end now. */
  private earlierLogEnd(): number {
    const since = this.options.runtime.now() - CAUGHT_UP_WINDOW_MILLISECONDS;
    return this.logEnds.findLast((sample) => sample.at <= since)?.end ?? Infinity;
  }

  private sampleLogEnd(): void {
    const { runtime, replica } = this.options;
    this.logEnds.push({ at: runtime.now(), end: replica.state.logEnd });
    if (this.logEnds.length > MAXIMUM_LOG_END_SAMPLES) {
      this.logEnds.shift();
    }
  }

  private hasRead(member: string, logEnd: number): boolean {
    const { replica, runtime } = this.options;
    const progress = replica.pullers.get(member);
    return (
      progress !== undefined &&
      progress.position >= logEnd &&
      progress.at >= runtime.now() - CAUGHT_UP_WINDOW_MILLISECONDS
    );
  }

  private logOlderRecord(record: MemberRecord | undefined): void {
    const epoch = record?.epoch ?? 0;
    if (epoch !== this.olderEpoch) {
      this.olderEpoch = epoch;
      const known = this.options.directory.current?.epoch ?? 0;
      const fields = { event: 'members.older', epoch, known };
      this.options.runtime.log('warn', 'the store shows an older record of members', fields);
    }
  }

  /** Out of the record, others no longer write here: the state must be made complete again. */
  private markIncompleteIfRemoved(record: MemberRecord | undefined): void {
    const { self: own, replica } = this.options;
    if (record !== undefined && !hasMember(record, own.id) && replica.ready) {
      replica.markIncomplete();
    }
  }

  private trackVacancy(record: MemberRecord | undefined): void {
    const { wantedMembers, runtime, sync } = this.options;
    const present = sync.presentMembers;
    if (record === undefined || present >= wantedMembers) {
      this.vacantSince = undefined;
    } else if (this.vacantSince === undefined) {
      this.vacantSince = runtime.now();
      const fields = { epoch: record.epoch, present, wantedMembers };
      runtime.log('info', 'a member is wanted', { event: 'members.vacant', ...fields });
    }
  }

  private execute(
    action: MembershipAction,
    record: MemberRecord | undefined,
    revision: number,
  ): void {
    switch (action.tag) {
      case 'Wait':
        this.waitLog.update(action.reason, record);
        return;
      case 'Create':
      case 'Join':
        this.join(action.tag, record, revision);
        return;
      case 'Remove':
        if (record !== undefined) {
          const reason = `remove ${action.member.id}: ${action.reason}`;
          this.swap(revision, withoutMember(record, action.member.id), reason);
        }
    }
  }

  /** Adds this replica, once its disk says under which token. */
  private join(tag: 'Create' | 'Join', record: MemberRecord | undefined, revision: number): void {
    const { self: own, replica } = this.options;
    this.isChanging = true;
    replica.prepareJoin((joinToken) => {
      const joined = withMember(record, { ...own, joinToken });
      this.swap(revision, joined, tag.toLowerCase(), () => {
        if (tag === 'Create') {
          replica.markReady('first member');
        }
      });
    });
  }

  private swap(
    revision: number,
    record: MemberRecord,
    reason: string,
    done: () => void = () => undefined,
  ): void {
    const { store, runtime, directory } = this.options;
    this.isChanging = true;
    store.swapRecord(revision, encodeMemberRecord(record), (swapped) => {
      this.isChanging = false;
      const fields = { event: 'members.swap', epoch: record.epoch, reason, swapped };
      runtime.log('info', 'change of members tried', fields);
      if (swapped) {
        directory.offer(record, 'own change');
        done();
      }
    });
  }
}
