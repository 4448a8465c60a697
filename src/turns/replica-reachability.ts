/**
 * Tracks whether this process reaches a majority of the replicas. A network partition raises no error, so a replica
 * counts as silent when a call has been pending too long without any reply from it; silent replicas are probed until
 * they reply. Requests that need replicas can then be rejected at once, and clients be redirected to other gateways,
 * instead of each request waiting for its own timeout.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import { majorityOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { OneWayMessage } from './messages.js';
import { PRESENCE_PROBE } from './replica-caller.js';
import type { ReplicaCaller, ReplyListener, UnnumberedRequest } from './replica-caller.js';

/** Time without any reply, while calls are pending, after which a replica counts as silent, in milliseconds. */
export const MEMBER_SILENCE_MILLISECONDS = 250;
/** Interval between checks of the pending calls, and between probes, in milliseconds. */
export const REACHABILITY_CHECK_MILLISECONDS = 100;

/** Requests that a replica answers without writing to its disk, so that their times show the distance. */
const REQUESTS_WITHOUT_WRITES: ReadonlySet<string> = new Set([
  'chain',
  'chainUnder',
  'spend',
  'spendForProgram',
]);

/** The calls to one replica. */
interface ReplicaContact {
  /** Number of calls without a reply. */
  pendingCalls: number;
  /** Local time since which a reply has been due, in milliseconds; undefined when no call is pending. */
  dueSince: number | undefined;
}

/** Forwards all calls to another caller and derives from their replies whether a majority is reachable. */
export class ReplicaReachability implements ReplicaCaller {
  private readonly contacts = new Map<string, ReplicaContact>();
  private reachable = true;
  private cancelCheck: CancelTimer | undefined;

  constructor(
    private readonly runtime: Runtime,
    private readonly caller: ReplicaCaller,
    private readonly currentRecord: () => MemberRecord | undefined,
    /** Called each time a majority becomes unreachable or reachable again. */
    private readonly onChange: (reachable: boolean) => void = () => undefined,
    /** Where there are several regions: lengthens the silence by the distance, and learns distances from calls. */
    private readonly distances?: ZoneDistances,
  ) {}

  /** Whether a majority of the replicas is not silent; true until shown otherwise. */
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
    const calledAt = this.runtime.now();
    this.caller.call(member, request, timeoutMilliseconds, (reply) => {
      contact.pendingCalls -= 1;
      if (reply !== undefined) {
        contact.dueSince = contact.pendingCalls > 0 ? this.runtime.now() : undefined;
        // The caller itself gives the reply `notKnown` on behalf of older replicas, without a round trip.
        if (REQUESTS_WITHOUT_WRITES.has(request.type) && reply.type !== 'notKnown') {
          this.distances?.recordRoundTrip(member.zone, this.runtime.now() - calledAt);
        }
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

  /** Updates the reachability and probes silent replicas; repeats while any reply is due. */
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

  /** Whether replies of a member are overdue; such a member is probed until it replies. */
  isSilent(member: Member): boolean {
    const dueSince = this.contacts.get(member.id)?.dueSince;
    const silence = this.silenceLimitMilliseconds(member);
    return dueSince !== undefined && this.runtime.now() - dueSince >= silence;
  }

  private silenceLimitMilliseconds({ zone }: Member): number {
    return MEMBER_SILENCE_MILLISECONDS + (this.distances?.allowanceMilliseconds(zone) ?? 0);
  }

  private probe(member: Member): void {
    if (this.contactOf(member).pendingCalls === 0) {
      const timeoutMilliseconds = this.silenceLimitMilliseconds(member);
      this.call(member, PRESENCE_PROBE, timeoutMilliseconds, () => undefined);
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
      this.runtime.log('info', 'majority of the replicas reachable again', fields);
    } else {
      const fields = { event: 'replicas.lost', silent: names };
      this.runtime.log('warn', 'majority of the replicas unreachable', fields);
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
