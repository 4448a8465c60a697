/** Decides, as a pure function, how a replica should change the membership record. */
import { hasMember, majorityOf, readQuorumOf, withoutMember } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { MembershipTimings } from './membership-timings.js';

/** The input of a decision. */
export interface MembershipView {
  readonly self: Member;
  /** The stored record; undefined when the store holds none yet. */
  readonly record: MemberRecord | undefined;
  /** Whether this replica's state is complete. */
  readonly ready: boolean;
  /** Whether this replica has recently read another member's log to its end. */
  readonly isCaughtUpWith: (memberId: string) => boolean;
  /** Whether another member has recently read this replica's log to its end. */
  readonly hasRead: (memberId: string) => boolean;
  /** Whether another member's state was complete at its last reply. */
  readonly isComplete: (memberId: string) => boolean;
  /** Time since the last reply of a member, in milliseconds. */
  readonly silentMilliseconds: (memberId: string) => number;
  /** Names of the machines that operators are retiring. */
  readonly retiringNodes: ReadonlySet<string>;
  /** Target number of present members; further replicas remain standbys. */
  readonly wantedMembers: number;
  /**
   * Number of members in the record that are not silent. A member that is lost for good is removed only when enough
   * others remain, so its successor joins first.
   */
  readonly presentMembers: number;
  /** Time for which fewer members than wanted have been present, in milliseconds. */
  readonly vacantMilliseconds: number;
  readonly timings: MembershipTimings;
}

/** Why the record is left unchanged; written to the log. */
export type WaitReason =
  /** The target number of members is present. */
  | 'enough present'
  /** The machine of this replica is being retired. */
  | 'retiring'
  /** Replicas in zones with fewer members get a head start. */
  | 'courtesy'
  /** The logs of too few complete members have been read to their ends. */
  | 'not level'
  /** This member's state is incomplete. */
  | 'incomplete'
  /** Too few other members have read this replica's log to its end. */
  | 'not handed over'
  /** All members reply. */
  | 'nobody silent'
  /** Too few members would remain, or too few of the remaining ones are present. */
  | 'too few left'
  /** A present member with a lower id is responsible for the removal. */
  | 'not first'
  /** This replica and the other remaining members have not read each other's logs to their ends. */
  | 'others not level';

/** The outcome of a decision. */
export type MembershipAction =
  | { readonly tag: 'Wait'; readonly reason: WaitReason }
  /** Write the first record, with this replica as its only member. */
  | { readonly tag: 'Create' }
  /** Add this replica to the record. */
  | { readonly tag: 'Join' }
  | { readonly tag: 'Remove'; readonly member: Member; readonly reason: 'retiring' | 'silent' };

/** Minimum number of complete members that must have read this replica's log before it leaves. */
const MINIMUM_HANDOVER_TARGETS = 2;

/**
 * Minimum number of members after a removal, so that acknowledged writes are on two disks. Without a third machine, two
 * members that can recover from each other tolerate the loss of a disk; with an unreachable third member they would
 * not, since recovery would need two complete members.
 */
const MINIMUM_REMAINING_MEMBERS = 2;

function waitFor(reason: WaitReason): MembershipAction {
  return { tag: 'Wait', reason };
}

/** Returns how this replica should change the membership record, or why it should wait. */
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
  // With fewer complete members, the majority of the larger record would include an incomplete or absent member.
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
  // Writes held only by this replica and one other must reach a majority of the members that can acknowledge.
  const handoverTargets = present.filter((member) => view.isComplete(member.id));
  const isEnough =
    handoverTargets.length >= Math.max(MINIMUM_HANDOVER_TARGETS, majorityOf(remaining));
  const isHandedOver = isEnough && present.every((member) => view.hasRead(member.id));
  return isHandedOver
    ? { tag: 'Remove', member: view.self, reason: 'retiring' }
    : waitFor('not handed over');
}

/** Whether this replica and a complete member have recently read each other's logs to their ends. */
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
  // Other silent members are not required to be caught up, but the present ones must form a majority without them.
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
