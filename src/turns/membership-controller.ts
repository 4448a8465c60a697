/**
 * Maintains the membership record: a replica joins it, leaves it when operators retire its machine or when it is
 * superfluous, and removes members that have gone silent. Changes take effect only through compare-and-swap on the stored record.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import { decideMembership } from './decide-membership.js';
import type { MembershipAction, MembershipView, SpreadView } from './decide-membership.js';
import type { MemberDirectory } from './member-directory.js';
import { isJoinUseful } from './member-spread.js';
import type { SpreadPolicy } from './member-spread.js';
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
import { SpreadMonitor } from './spread-monitor.js';

/** Dependencies of a {@link MembershipController}. */
export interface MembershipControllerOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly sync: ReplicaSync;
  readonly directory: MemberDirectory;
  readonly store: MembershipStore;
  /** Target number of members; further replicas remain standbys. */
  readonly wantedMembers: number;
  /** How the members are spread over zones; undefined where only machines may be lost. */
  readonly spread?: SpreadPolicy | undefined;
  readonly timings: MembershipTimings;
}

/** Time for which having reached the end of a log counts as caught up, in milliseconds. */
const CAUGHT_UP_WINDOW_MILLISECONDS = 1_500;
/** Number of retained samples of the log's end; they must span the caught-up window. */
const MAXIMUM_LOG_END_SAMPLES = 12;

/** Decides on the membership record at a fixed interval and carries the decisions out. */
export class MembershipController {
  private readonly cancelTimer: CancelTimer;
  private isChanging = false;
  private readonly logEnds: { readonly at: number; readonly end: number }[] = [];
  private readonly retirementReporter: RetirementReporter;
  /** Epoch of the outdated record that the store returns; undefined while the store returns the newest known one. */
  private olderEpoch: number | undefined;
  /** Local time since which fewer members than wanted are present, in milliseconds; undefined while enough are. */
  private vacantSince: number | undefined;
  private readonly waitLog: MembershipWaitLog;
  /** End of the log when the current record became known. */
  private epochLogEnd = 0;
  /** Local time at which the current record became known, in milliseconds. */
  private recordKnownAt: number;
  /** Local time at which the record last changed or one of its members was suspected, in milliseconds. */
  private calmSince: number;
  /** Local time since which the retirement of this machine is known, in milliseconds; undefined while there is none. */
  private retiringSince: number | undefined;
  private readonly spreadMonitor: SpreadMonitor | undefined;

  constructor(private readonly options: MembershipControllerOptions) {
    const { runtime, spread, timings } = options;
    this.waitLog = new MembershipWaitLog(options);
    this.spreadMonitor = spread && new SpreadMonitor(runtime, spread, timings.catchUpMilliseconds);
    this.recordKnownAt = runtime.now();
    this.calmSince = runtime.now();
    options.directory.onChange(() => {
      this.epochLogEnd = options.replica.state.logEnd;
      this.recordKnownAt = runtime.now();
      this.calmSince = runtime.now();
    });
    this.retirementReporter = new RetirementReporter(options);
    this.cancelTimer = setRepeatingTimer(options.runtime, DECISION_INTERVAL_MILLISECONDS, () =>
      this.step(),
    );
  }

  /** Makes one decision and carries it out. */
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
      // The store returned a stale record: no decision may be based on it.
      this.logOlderRecord(record);
      return;
    }
    this.olderEpoch = undefined;
    this.markIncompleteIfRemoved(record);
    this.trackVacancy(record);
    this.trackStability(record);
    const revision = stored.tag === 'Present' ? stored.revision : 0;
    this.execute(decideMembership(this.viewOf(record)), record, revision);
    if (record !== undefined) {
      this.retirementReporter.step(record);
    }
  }

  /** Members that a tolerated loss may take beyond those without which a majority remains. */
  get spreadShortfall(): number {
    return this.spreadMonitor?.shortfall ?? 0;
  }

  /** Stops making decisions. */
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
      spread: this.spreadView(),
    };
  }

  private spreadView(): SpreadView | undefined {
    const { spread, runtime } = this.options;
    const now = runtime.now();
    return (
      spread && {
        policy: spread,
        recordAgeMilliseconds: now - this.recordKnownAt,
        calmMilliseconds: now - this.calmSince,
        retiringMilliseconds: now - (this.retiringSince ?? now),
      }
    );
  }

  /** Duration of a vacancy: since this replica noticed it, or since a silent member passed the removal threshold. */
  private vacantMilliseconds(record: MemberRecord | undefined): number {
    const { runtime, sync, timings, self: own } = this.options;
    const silences = (record?.members ?? [])
      .filter(({ id }) => id !== own.id)
      .map(({ id }) => sync.silenceOf(id) - timings.removalMilliseconds);
    return Math.max(runtime.now() - (this.vacantSince ?? runtime.now()), ...silences);
  }

  /**
   * Position up to which other members must have read this replica's log: everything written under earlier records,
   * under which no more writes are acknowledged, and everything written before the caught-up window.
   */
  private logEndToRead(): number {
    return Math.max(this.earlierLogEnd(), this.epochLogEnd);
  }

  /** End of the log at the start of the caught-up window; readers always lag behind the current end. */
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
      this.options.runtime.log('warn', 'the store returned an older membership record', fields);
    }
  }

  /** Once removed from the record, this replica receives no more writes, so its state is incomplete from then on. */
  private markIncompleteIfRemoved(record: MemberRecord | undefined): void {
    const { self: own, replica } = this.options;
    if (record !== undefined && !hasMember(record, own.id) && replica.ready) {
      replica.markIncomplete();
    }
  }

  private isVacant(record: MemberRecord): boolean {
    const { spread, self: own, sync, wantedMembers } = this.options;
    if (spread === undefined) {
      return sync.presentMembers < wantedMembers;
    }
    const staying = this.stayingMembers(record);
    return hasMember(record, own.id)
      ? staying.length < wantedMembers
      : isJoinUseful(spread, staying, own);
  }

  /** Members that are present and not about to be retired. */
  private stayingMembers(record: MemberRecord): readonly Member[] {
    const { self: own, sync, store, timings } = this.options;
    const retiring = store.retiringNodes();
    const isPresent = ({ id }: Member): boolean =>
      id === own.id || sync.silenceOf(id) < timings.removalMilliseconds;
    return record.members.filter((member) => !retiring.has(member.node) && isPresent(member));
  }

  private trackStability(record: MemberRecord | undefined): void {
    const { self: own, runtime, store, sync, timings } = this.options;
    const isRetiring = store.retiringNodes().has(own.node);
    this.retiringSince = isRetiring ? (this.retiringSince ?? runtime.now()) : undefined;
    const isSuspected = ({ id }: Member): boolean =>
      id !== own.id && sync.silenceOf(id) >= timings.suspicionMilliseconds;
    if (record === undefined || record.members.some(isSuspected)) {
      this.calmSince = runtime.now();
    }
    if (record !== undefined) {
      this.spreadMonitor?.update(record.epoch, this.stayingMembers(record));
    }
  }

  private trackVacancy(record: MemberRecord | undefined): void {
    const { wantedMembers, runtime, sync } = this.options;
    const present = sync.presentMembers;
    if (record === undefined || !this.isVacant(record)) {
      this.vacantSince = undefined;
    } else if (this.vacantSince === undefined) {
      this.vacantSince = runtime.now();
      const fields = { epoch: record.epoch, present, wantedMembers };
      runtime.log('info', 'fewer members present than wanted', {
        event: 'members.vacant',
        ...fields,
      });
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

  /** Adds this replica to the record once its join token is durable. */
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
      runtime.log('info', 'membership record swap attempted', fields);
      if (swapped) {
        directory.offer(record, 'own change');
        done();
      }
    });
  }
}
