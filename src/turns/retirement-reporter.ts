/**
 * Reports how far the emptying of this replica's machine is. It is done once every member that was one
 * when this replica left the record has at some time read all that was here then: what is acknowledged
 * later is not acknowledged here, and a member that read it and is down since still has it on its disk.
 * Who joined afterwards reads from those, and never from here. A replica that stood by and was never a
 * member has nothing to hand over.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MembershipStore } from './membership-store.js';
import { hasMember, majorityOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { Replica } from './replica.js';

type RetirementState = 'nothing' | 'running' | 'finished';

/** What the report is made with. */
export interface RetirementReporterOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly store: MembershipStore;
}

/** See the head of this file. */
export class RetirementReporter {
  /** End of the log when this replica was no longer a member; undefined while it is one. */
  private logEndAtRemoval: number | undefined;
  /** The others that were members together with this replica. */
  private handoverTargets: ReadonlySet<string> = new Set();
  /** Members that have read the log up to there. */
  private readonly handedTo = new Set<string>();
  /** Whether acknowledged writes may be here that only members are sure to have elsewhere. */
  private wasMember: boolean;
  private reported: RetirementState = 'nothing';

  constructor(private readonly options: RetirementReporterOptions) {
    this.wasMember = options.replica.ready;
  }

  /** Notes who has read what and reports what has changed; called now and then. */
  step(record: MemberRecord): void {
    const { self: own, store } = this.options;
    this.wasMember ||= hasMember(record, own.id);
    if (!store.retiringNodes().has(own.node)) {
      return;
    }
    this.updateHandoverTargets(record);
    this.updateHandovers(record);
    const isOut = this.logEndAtRemoval !== undefined;
    const isDone = isOut && (this.isHandedOver(record) || !this.wasMember);
    this.report(isDone ? 'finished' : 'running', record);
  }

  /** Whether enough of the members that had to read this log are left, and all of those have. */
  private isHandedOver(record: MemberRecord): boolean {
    const remainingTargets = record.members.filter((member) => this.handoverTargets.has(member.id));
    const haveRead = remainingTargets.every((member) => this.handedTo.has(member.id));
    return haveRead && remainingTargets.length >= majorityOf(record);
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
    // One that joins in the same moment is no heir; after a start in between, all that are there count.
    if (hasMember(record, own.id) || this.handoverTargets.size === 0) {
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
        // It began anew, perhaps with an empty disk.
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
      runtime.log('info', 'emptying reported', {
        event: 'retirement.reported',
        state: state,
        written,
        epoch: record.epoch,
        members: record.members.length,
        handedTo: this.handedTo.size,
      });
    });
  }
}
