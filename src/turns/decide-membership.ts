/** Decides what a replica should do about the record of members; plain data in, an action out. */
import { hasMember, majorityOf, readQuorumOf, withoutMember } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { MembershipTimings } from './membership-timings.js';

/** What is known when a decision is taken. */
export interface MembershipView {
  readonly self: Member;
  /** The stored record; undefined when the store holds none yet. */
  readonly record: MemberRecord | undefined;
  /** Whether this replica's state is complete. */
  readonly ready: boolean;
  /** Whether this replica has lately read all that another member has. */
  readonly isCaughtUpWith: (memberId: string) => boolean;
  /** Whether another member has lately read all that this replica has. */
  readonly hasRead: (memberId: string) => boolean;
  /** Whether another member's state was complete when it was last heard. */
  readonly isComplete: (memberId: string) => boolean;
  /** Time for which a member has not been heard, in milliseconds. */
  readonly silentMilliseconds: (memberId: string) => number;
  /** Names of machines that operators want emptied. */
  readonly retiringNodes: ReadonlySet<string>;
  /** Members that are to be present; others stand by. */
  readonly wantedMembers: number;
  /**
   * Members of the record that are not silent. One that is gone for good is taken out only when enough
   * others remain, so who takes its place joins first.
   */
  readonly presentMembers: number;
  /** Time for which a place has been vacant, in milliseconds. */
  readonly vacantMilliseconds: number;
  readonly timings: MembershipTimings;
}

/** Why nothing is done, as it stands in the log. */
export type WaitReason =
  /** As many members as wanted are present. */
  | 'enough present'
  /** The machine of this replica is to be emptied. */
  | 'retiring'
  /** The place is left to one of a zone with fewer members for a while. */
  | 'courtesy'
  /** Too few complete members have been read to their end. */
  | 'not level'
  /** A member whose state is not complete decides nothing. */
  | 'incomplete'
  /** Too few others have read all that is here. */
  | 'not handed over'
  /** All members are heard. */
  | 'nobody silent'
  /** Too few members would be left. */
  | 'too few left'
  /** Another member comes first. */
  | 'not first'
  /** Those that would be left have not read all of one another. */
  | 'others not level';

/** What to do. */
export type MembershipAction =
  | { readonly tag: 'Wait'; readonly reason: WaitReason }
  /** Write the first record, with this replica alone. */
  | { readonly tag: 'Create' }
  /** Add this replica. */
  | { readonly tag: 'Join' }
  | { readonly tag: 'Remove'; readonly member: Member; readonly reason: 'retiring' | 'silent' };

/** Complete members that have read all that was here before this replica leaves. */
const MINIMUM_HANDOVER_TARGETS = 2;

/**
 * Members that are left when a silent one is taken out: what they acknowledge is on two disks. Where no machine is
 * there for a third, two that may refill one another bear the loss of a disk; a gone one beside them would not.
 */
const MINIMUM_REMAINING_MEMBERS = 2;

function waitFor(reason: WaitReason): MembershipAction {
  return { tag: 'Wait', reason };
}

/** See the head of this file. */
export function decideMembership(view: MembershipView): MembershipAction {
  const { record, self } = view;
  if (record === undefined) {
    return { tag: 'Create' };
  }
  if (!hasMember(record, self.id)) {
    return decideJoin(view, record);
  }
  if (!view.ready) {
    return waitFor('incomplete');
  }
  if (view.retiringNodes.has(self.node)) {
    return decideLeave(view, record);
  }
  return decideRemoval(view, record);
}

function decideJoin(view: MembershipView, record: MemberRecord): MembershipAction {
  if (view.retiringNodes.has(view.self.node)) {
    return waitFor('retiring');
  }
  if (view.presentMembers >= view.wantedMembers) {
    return waitFor('enough present');
  }
  const sameZoneMembers = record.members.filter(
    (member) => member.zone === view.self.zone && isPresent(view, member),
  );
  if (view.vacantMilliseconds < sameZoneMembers.length * view.timings.sameZoneDelayMilliseconds) {
    return waitFor('courtesy');
  }
  // With fewer complete ones the larger record would need an incomplete or gone one for each write.
  const caughtUpMembers = record.members.filter(
    ({ id }) => view.isComplete(id) && view.isCaughtUpWith(id),
  );
  return caughtUpMembers.length >= readQuorumOf(record) ? { tag: 'Join' } : waitFor('not level');
}

function isPresent(view: MembershipView, member: Member): boolean {
  return view.silentMilliseconds(member.id) < view.timings.removalMilliseconds;
}

function decideLeave(view: MembershipView, record: MemberRecord): MembershipAction {
  const remaining = withoutMember(record, view.self.id);
  const present = remaining.members.filter((member) => isPresent(view, member));
  // What only this replica and one other have must be with a majority of those that may acknowledge.
  const handoverTargets = present.filter((member) => view.isComplete(member.id));
  const isEnough =
    handoverTargets.length >= Math.max(MINIMUM_HANDOVER_TARGETS, majorityOf(remaining));
  const isHandedOver = isEnough && present.every((member) => view.hasRead(member.id));
  return isHandedOver
    ? { tag: 'Remove', member: view.self, reason: 'retiring' }
    : waitFor('not handed over');
}

/** Whether this replica and another complete one have lately read all of one another. */
function isMutuallyCaughtUp(view: MembershipView, member: string): boolean {
  return view.isComplete(member) && view.isCaughtUpWith(member) && view.hasRead(member);
}

function decideRemoval(view: MembershipView, record: MemberRecord): MembershipAction {
  const silent = record.members.find(
    (member) => member.id !== view.self.id && !isPresent(view, member),
  );
  if (silent === undefined) {
    return waitFor('nobody silent');
  }
  const remaining = withoutMember(record, silent.id);
  // Others that are gone as well have nothing to say here: those present must be a majority without them.
  const present = remaining.members.filter(
    (member) => member.id !== view.self.id && isPresent(view, member),
  );
  if (
    remaining.members.length < MINIMUM_REMAINING_MEMBERS ||
    present.length + 1 < majorityOf(remaining)
  ) {
    return waitFor('too few left');
  }
  if (!present.every((member) => view.self.id < member.id)) {
    return waitFor('not first');
  }
  return present.every(({ id }) => isMutuallyCaughtUp(view, id))
    ? { tag: 'Remove', member: silent, reason: 'silent' }
    : waitFor('others not level');
}
