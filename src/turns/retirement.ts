/**
 * Reports how far the emptying of this replica's machine is. It is done once every member has at some
 * time read all that was here when this replica left the record: what is acknowledged later is not
 * acknowledged here, and a member that read it and is down since still has it on its disk. A replica
 * that stood by and was never a member has nothing to hand over.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MembershipStore } from './membership-store.js';
import { hasMember } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { Replica } from './replica.js';

type Report = 'nothing' | 'running' | 'finished';

/** What the report is made with. */
export interface RetirementOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly store: MembershipStore;
}

/** See the head of this file. */
export class Retirement {
  /** End of the log when this replica was no longer a member; undefined while it is one. */
  private leftAtLogEnd: number | undefined;
  /** Members that have read the log up to there. */
  private readonly handedTo = new Set<string>();
  /** Whether acknowledged writes may be here that only members are sure to have elsewhere. */
  private wasMember: boolean;
  private reported: Report = 'nothing';

  constructor(private readonly options: RetirementOptions) {
    this.wasMember = options.replica.ready;
  }

  /** Notes who has read what and reports what has changed; called now and then. */
  step(record: MemberRecord): void {
    const { self: own, store } = this.options;
    this.wasMember ||= hasMember(record, own.id);
    if (!store.retiringNodes().has(own.node)) {
      return;
    }
    this.noteMembership(record);
    this.noteReaders(record);
    const isOut = this.leftAtLogEnd !== undefined;
    const isRead = record.members.every((member) => this.handedTo.has(member.id));
    const isDone = isOut && (isRead || !this.wasMember);
    this.report(isDone ? 'finished' : 'running', record);
  }

  private noteMembership(record: MemberRecord): void {
    if (hasMember(record, this.options.self.id)) {
      this.leftAtLogEnd = undefined;
      this.handedTo.clear();
    } else {
      this.leftAtLogEnd ??= this.options.replica.state.logEnd;
    }
  }

  private noteReaders(record: MemberRecord): void {
    const logEnd = this.leftAtLogEnd ?? Infinity;
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

  private report(wanted: Report, record: MemberRecord): void {
    if (this.reported === wanted || this.reported === 'finished') {
      return;
    }
    const { self: own, store, runtime } = this.options;
    const before = this.reported;
    this.reported = wanted;
    store.reportRetirement(own.node, wanted === 'finished', (written) => {
      this.reported = written ? wanted : before;
      runtime.log('info', 'emptying reported', {
        event: 'retirement.reported',
        state: wanted,
        written,
        epoch: record.epoch,
        members: record.members.length,
        handedTo: this.handedTo.size,
      });
    });
  }
}
