/**
 * Whether this process reaches enough replicas for what needs them. A cut connection says nothing, so
 * a replica counts as silent once a call has waited too long without any reply from it; silent ones
 * are probed until they answer. Requests that need replicas can then be refused at once, and clients
 * be sent to gateways that reach them, instead of each waiting for its own timeout.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { majorityOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { OneWayMessage } from './messages.js';
import { PRESENCE_PROBE } from './replica-caller.js';
import type { ReplicaCaller, ReplyListener, UnnumberedRequest } from './replica-caller.js';

/** Time without any reply, while calls wait for one, after which a replica counts as silent. */
export const MEMBER_SILENCE_MILLISECONDS = 250;
/** Pause between looks at the calls that wait, and between probes. */
export const REACHABILITY_CHECK_MILLISECONDS = 100;

/** What is known of one replica. */
interface ReplicaContact {
  /** Calls that have no reply yet. */
  pendingCalls: number;
  /** Local time since which a reply is owed, in milliseconds; undefined when none is. */
  dueSince: number | undefined;
}

/** See the head of this file. Passes all calls on to another caller. */
export class ReplicaReachability implements ReplicaCaller {
  private readonly contacts = new Map<string, ReplicaContact>();
  private reachable = true;
  private cancelCheck: CancelTimer | undefined;

  constructor(
    private readonly runtime: Runtime,
    private readonly caller: ReplicaCaller,
    private readonly currentRecord: () => MemberRecord | undefined,
    /** Told each time that a majority is lost or reached again. */
    private readonly onChange: (reachable: boolean) => void = () => undefined,
  ) {}

  /** Whether a majority of the replicas is not silent; true as long as nothing is known of them. */
  get isReachable(): boolean {
    return this.reachable;
  }

  call(
    member: Member,
    request: UnnumberedRequest,
    timeoutMilliseconds: number,
    listener: ReplyListener,
  ): void {
    const contact = this.contactOf(member);
    contact.pendingCalls += 1;
    contact.dueSince ??= this.runtime.now();
    this.scheduleCheck();
    this.caller.call(member, request, timeoutMilliseconds, (reply) => {
      contact.pendingCalls -= 1;
      if (reply !== undefined) {
        contact.dueSince = contact.pendingCalls > 0 ? this.runtime.now() : undefined;
      }
      listener(reply);
    });
  }

  notify(member: Member, message: OneWayMessage): void {
    this.caller.notify(member, message);
  }

  private contactOf(member: Member): ReplicaContact {
    let contact = this.contacts.get(member.id);
    if (contact === undefined) {
      contact = { pendingCalls: 0, dueSince: undefined };
      this.contacts.set(member.id, contact);
    }
    return contact;
  }

  private scheduleCheck(): void {
    this.cancelCheck ??= this.runtime.setTimer(REACHABILITY_CHECK_MILLISECONDS, () => {
      this.cancelCheck = undefined;
      this.check();
    });
  }

  /** Compares what is owed with the clock; goes on as long as something is. */
  private check(): void {
    const record = this.currentRecord();
    if (record === undefined) {
      return;
    }
    this.forgetNonMembers(record);
    const silent = record.members.filter((member) => this.isSilent(member));
    this.updateReachable(record.members.length - silent.length >= majorityOf(record), silent);
    silent.forEach((member) => this.probe(member));
    if (record.members.some((member) => this.contactOf(member).dueSince !== undefined)) {
      this.scheduleCheck();
    }
  }

  private isSilent(member: Member): boolean {
    const { dueSince: dueSince } = this.contactOf(member);
    return dueSince !== undefined && this.runtime.now() - dueSince >= MEMBER_SILENCE_MILLISECONDS;
  }

  private probe(member: Member): void {
    if (this.contactOf(member).pendingCalls === 0) {
      this.call(member, PRESENCE_PROBE, MEMBER_SILENCE_MILLISECONDS, () => undefined);
    }
  }

  private updateReachable(reachable: boolean, silent: readonly Member[]): void {
    if (reachable === this.reachable) {
      return;
    }
    this.reachable = reachable;
    const names = silent.map((member) => member.id).join(' ');
    if (reachable) {
      const fields = { event: 'replicas.reached', silent: names };
      this.runtime.log('info', 'replicas reached', fields);
    } else {
      const fields = { event: 'replicas.lost', silent: names };
      this.runtime.log('warn', 'replicas out of reach', fields);
    }
    this.onChange(reachable);
  }

  private forgetNonMembers(record: MemberRecord): void {
    const members = new Set(record.members.map((member) => member.id));
    for (const id of this.contacts.keys()) {
      if (!members.has(id)) {
        this.contacts.delete(id);
      }
    }
  }
}
