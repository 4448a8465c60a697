/** Decides, as a pure function, how a replica should change the membership record. */
import { hasMember, majorityOf, readQuorumOf, withoutMember } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import { isJoinUseful, joinRank, superfluousMembers } from './member-spread.js';
import type { SpreadPolicy } from './member-spread.js';
import type { MembershipTimings } from './membership-timings.js';

/** The input of a decision where the loss of zones or regions must be tolerated. */
export interface SpreadView {
  readonly policy: SpreadPolicy;
  /** Time since the current record became known, in milliseconds. */
  readonly recordAgeMilliseconds: number;
  /** Time since the record last changed or one of its members was suspected, in milliseconds. */
  readonly calmMilliseconds: number;
  /** Time for which the retirement of this machine has been known, in milliseconds. */
  readonly retiringMilliseconds: number;
}

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
  /** Undefined where only machines may be lost: members are then not spread over zones, and none is superfluous. */
  readonly spread?: SpreadView | undefined;
}

/** Why the record is left unchanged; written to the log. */
export type WaitReason =
  /** The target number of members is present. */
  | 'enough present'
  /** The machine of this replica is being retired. */
  | 'retiring'
  /** Replicas that improve the spread more, or in zones with fewer members, get a head start. */
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
  /** A member that is silent or retiring stays for a while, so that its successor joins first. */
  | 'no successor'
  /** This member is superfluous, but the members have not been stable for long enough. */
  | 'not stable'
  /** This replica and the other remaining members have not read each other's logs to their ends. */
  | 'others not level';

/** The outcome of a decision. */
export type MembershipAction =
  | { readonly tag: 'Wait'; readonly reason: WaitReason }
  /** Write the first record, with this replica as its only member. */
  | { readonly tag: 'Create' }
  /** Add this replica to the record. */
  | { readonly tag: 'Join' }
  | { readonly tag: 'Remove'; readonly member: Member; readonly reason: RemovalReason };

/** Why a member is removed from the record. */
export type RemovalReason = 'retiring' | 'silent' | 'superfluous';

/** Minimum number of complete members that must have read this replica's log before it leaves. */
const MINIMUM_HANDOVER_TARGETS = 2;

/**
 * Minimum number of members after a removal, so that acknowledged writes are on two disks. Without a third machine, two
 * members that can recover from each other tolerate the loss of a disk; with an unreachable third member they would
 * not, since recovery would need two complete members.
 */
const MINIMUM_REMAINING_MEMBERS = 2;

/** Maximum number of head starts that a replica grants to others that improve the spread more. */
export const MAXIMUM_JOIN_RANK = 2;
/** Time without changes or suspected members after which a superfluous member leaves, in milliseconds. */
const STABLE_MILLISECONDS = 1_500;
/** Additional time that a superfluous member grants to each one that should rather leave, in milliseconds. */
const DEPARTURE_STEP_MILLISECONDS = 2_000;

/** Number of such times that a departure waits after which less is tolerated. */
const HARMFUL_DEPARTURE_STEPS = 3;

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
  if (!isVacant(view, record)) {
    return waitFor('enough present');
  }
  if (isHeadStartOfOthers(view, record)) {
    return waitFor('courtesy');
  }
  // With fewer complete members, the majority of the larger record would include an incomplete or absent member.
  const caughtUpMembers = record.members.filter(
    ({ id }) => view.isComplete(id) && view.isCaughtUpWith(id),
  );
  return caughtUpMembers.length >= readQuorumOf(record) ? { tag: 'Join' } : waitFor('not level');
}

function isVacant(view: MembershipView, record: MemberRecord): boolean {
  return view.spread === undefined
    ? view.presentMembers < view.wantedMembers
    : isJoinUseful(view.spread.policy, stayingMembers(view, record), view.self);
}

/** Whether replicas that improve the spread more, or in zones with fewer members, may still join before this one. */
function isHeadStartOfOthers(view: MembershipView, record: MemberRecord): boolean {
  const { spread, self, timings, vacantMilliseconds } = view;
  if (spread === undefined) {
    const sameZoneMembers = record.members.filter(
      (member) => member.zone === self.zone && isPresent(view, member),
    );
    return vacantMilliseconds < sameZoneMembers.length * timings.sameZoneDelayMilliseconds;
  }
  const rank = joinRank(spread.policy, stayingMembers(view, record), self.zone);
  const headStart = Math.min(rank, MAXIMUM_JOIN_RANK) * timings.sameZoneDelayMilliseconds;
  // Each change of the record changes the ranks, so the head starts begin again.
  return Math.min(vacantMilliseconds, spread.recordAgeMilliseconds) < headStart;
}

/** Members that are present and not about to be retired. */
function stayingMembers(view: MembershipView, record: MemberRecord): readonly Member[] {
  return record.members.filter(
    (member) =>
      !view.retiringNodes.has(member.node) &&
      (member.id === view.self.id || isPresent(view, member)),
  );
}

/** Whether a member should remain for now, since a standby is likely to join in its place. */
function isSuccessorAwaited(
  view: MembershipView,
  record: MemberRecord,
  /** Time since which standbys could have joined, in milliseconds. */
  vacantMilliseconds: number,
): boolean {
  const { spread, timings } = view;
  const allowance = (MAXIMUM_JOIN_RANK + 1) * timings.sameZoneDelayMilliseconds;
  return (
    spread !== undefined &&
    stayingMembers(view, record).length < spread.policy.wantedMembers &&
    vacantMilliseconds < allowance
  );
}

function isPresent(view: MembershipView, member: Member): boolean {
  return view.silentMilliseconds(member.id) < view.timings.removalMilliseconds;
}

function decideLeave(view: MembershipView, record: MemberRecord): MembershipAction {
  // A standby begins to read once it knows of the retirement, as long before it may join as with a silent member.
  const retiringMilliseconds = view.spread?.retiringMilliseconds ?? Infinity;
  if (isSuccessorAwaited(view, record, retiringMilliseconds - view.timings.removalMilliseconds)) {
    return waitFor('no successor');
  }
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

/** Returns the silent member to remove first: where spread matters, one of the zone with the most members. */
function silentMember(view: MembershipView, record: MemberRecord): Member | undefined {
  const silent = record.members.filter(
    (member) => member.id !== view.self.id && !isPresent(view, member),
  );
  if (view.spread === undefined) {
    return silent[0];
  }
  const zoneSize = ({ zone }: Member): number =>
    record.members.filter((member) => member.zone === zone).length;
  return silent.sort((left, right) => zoneSize(right) - zoneSize(left))[0];
}

/** Decides whether this member leaves because the others suffice; each member decides only on itself. */
function decideDeparture(view: MembershipView, record: MemberRecord): MembershipAction {
  const { spread, self } = view;
  if (spread === undefined) {
    return waitFor('nobody silent');
  }
  const { members, isHarmless } = superfluousMembers(spread.policy, stayingMembers(view, record));
  const place = members.findIndex(({ id }) => id === self.id);
  if (place < 0) {
    return waitFor('nobody silent');
  }
  // Members of an older build never leave; others further down the order leave in their place. A departure after which
  // less is tolerated waits longer, since a standby may join that makes it unnecessary.
  const steps = place + (isHarmless ? 0 : HARMFUL_DEPARTURE_STEPS);
  if (spread.calmMilliseconds < STABLE_MILLISECONDS + steps * DEPARTURE_STEP_MILLISECONDS) {
    return waitFor('not stable');
  }
  const others = withoutMember(record, self.id).members;
  return others.every(({ id }) => isMutuallyCaughtUp(view, id))
    ? { tag: 'Remove', member: self, reason: 'superfluous' }
    : waitFor('not handed over');
}

function decideRemoval(view: MembershipView, record: MemberRecord): MembershipAction {
  const silent = silentMember(view, record);
  if (silent === undefined) {
    return decideDeparture(view, record);
  }
  const vacantMilliseconds = view.silentMilliseconds(silent.id) - view.timings.removalMilliseconds;
  if (isSuccessorAwaited(view, record, vacantMilliseconds)) {
    return waitFor('no successor');
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
