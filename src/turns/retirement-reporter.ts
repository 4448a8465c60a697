/**
 * Reports the progress of retiring this replica's machine. The retirement is finished once every remaining member of
 * the record that this replica left has, at some time, read this replica's log up to its end at that moment. This
 * replica acknowledges nothing afterwards, and a member that has read the log holds it on disk even if it is down.
 * Members that joined later read from those members. After a restart, the members of the record that this replica left
 * are unknown; a majority of the current members must then have read the log, as with any acknowledged write. A replica
 * that provably holds no acknowledged writes has nothing to hand over.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MembershipStore } from './membership-store.js';
import { hasMember, majorityOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { Replica } from './replica.js';

type RetirementState = 'nothing' | 'running' | 'finished';

/** Dependencies of a {@link RetirementReporter}. */
export interface RetirementReporterOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly store: MembershipStore;
}

/** Tracks which members have read this replica's log and publishes the state of its retirement. */
export class RetirementReporter {
  /** End of the log when this replica left the record; undefined while it is a member. */
  private logEndAtRemoval: number | undefined;
  /** Members that must read this replica's log: those that were members together with it. */
  private handoverTargets: ReadonlySet<string> = new Set();
  /** Members that have read the log up to that end. */
  private readonly handedTo = new Set<string>();
  /** Whether this process has seen itself as a member while its machine was being retired. */
  private wasSeenAsMember = false;
  private reported: RetirementState = 'nothing';

  constructor(private readonly options: RetirementReporterOptions) {}

  /** Updates the read progress and reports a changed state. Must be called regularly. */
  step(record: MemberRecord): void {
    const { self: own, store, replica } = this.options;
    if (!store.retiringNodes().has(own.node)) {
      return;
    }
    this.updateHandoverTargets(record);
    this.updateHandovers(record);
    const isOut = this.logEndAtRemoval !== undefined;
    const isDone = isOut && (this.isHandedOver(record) || !replica.mayHoldAcknowledgedWrites);
    this.report(isDone ? 'finished' : 'running', record);
  }

  /** Whether enough members have read the log: a majority and, unless they are unknown, all remaining targets. */
  private isHandedOver(record: MemberRecord): boolean {
    const remainingTargets = record.members.filter((member) => this.handoverTargets.has(member.id));
    const readers = remainingTargets.filter((member) => this.handedTo.has(member.id));
    const needed = this.wasSeenAsMember ? remainingTargets.length : 0;
    return readers.length >= Math.max(needed, majorityOf(record));
  }

  private updateHandoverTargets(record: MemberRecord): void {
    const { self: own, replica } = this.options;
    const others = record.members.filter((member) => member.id !== own.id);
    if (hasMember(record, own.id)) {
      this.logEndAtRemoval = undefined;
      this.handedTo.clear();
    } else {
      this.logEndAtRemoval ??= replica.state.logEnd;
    }
    // A member that joins at the same moment is no target. After a restart in between, all current members are.
    this.wasSeenAsMember ||= hasMember(record, own.id);
    if (hasMember(record, own.id) || !this.wasSeenAsMember) {
      this.handoverTargets = new Set(others.map((member) => member.id));
    }
  }

  private updateHandovers(record: MemberRecord): void {
    const logEnd = this.logEndAtRemoval ?? Infinity;
    for (const { id } of record.members) {
      const position = this.options.replica.pullers.get(id)?.position;
      if (position === undefined) {
        continue;
      }
      if (position >= logEnd) {
        this.handedTo.add(id);
      } else {
        // The member restarted, perhaps with an empty disk.
        this.handedTo.delete(id);
      }
    }
  }

  private report(state: RetirementState, record: MemberRecord): void {
    if (this.reported === state || this.reported === 'finished') {
      return;
    }
    const { self: own, store, runtime } = this.options;
    const previous = this.reported;
    this.reported = state;
    store.reportRetirement(own.node, state === 'finished', (written) => {
      this.reported = written ? state : previous;
      runtime.log('info', 'retirement state reported', {
        event: 'retirement.reported',
        state,
        written,
        epoch: record.epoch,
        members: record.members.length,
        handedTo: this.handedTo.size,
      });
    });
  }
}
