/**
 * Spread of the members over zones and regions: how many members a deployment needs so that a majority survives the
 * losses that it must tolerate, how well a given set of members tolerates them, and which change improves it.
 */
import type { Topology } from '../topology/topology.js';
import { MINIMUM_MEMBERS, membersToTolerate } from './membership.js';
import type { Member } from './membership.js';

/** Numbers of machines, zones and regions; each number of losses must be survived separately. */
export interface LossTolerance {
  readonly machines: number;
  readonly zones: number;
  readonly regions: number;
}

/** What the spread of the members is derived from. */
export interface SpreadRequirement {
  readonly tolerance: LossTolerance;
  readonly topology: Topology;
}

/** The requirement with the target number of members that follows from it. */
export interface SpreadPolicy extends SpreadRequirement {
  readonly wantedMembers: number;
}

/** Number of members by zone, and what it lacks. */
export interface Spread {
  readonly membersByZone: ReadonlyMap<string, number>;
  /** Total number of members. */
  readonly size: number;
  /** Members that a tolerated loss may take beyond those without which a majority remains; 0 when all are tolerated. */
  readonly shortfall: number;
}

/** Rates a set of members: lower is better, first by shortfall, then by concentration. */
interface SpreadScore {
  readonly shortfall: number;
  /** Sums of squares of the numbers of members in a zone and in a region, as far as their losses are tolerated. */
  readonly concentration: number;
}

/** Whether the spread over zones or regions matters. */
export function requiresSpread({ zones, regions }: LossTolerance): boolean {
  return zones > 0 || regions > 0;
}

/** Number of members that may be lost while a majority of `memberCount` remains; negative without members. */
function survivableLosses(memberCount: number): number {
  return Math.floor((memberCount - 1) / 2);
}

function sumOfLargest(counts: Iterable<number>, howMany: number): number {
  const sorted = [...counts].sort((left, right) => right - left);
  return sorted.slice(0, howMany).reduce((sum, count) => sum + count, 0);
}

function sumOfSquares(counts: Iterable<number>): number {
  return [...counts].reduce((sum, count) => sum + count * count, 0);
}

function countBy(
  membersByZone: ReadonlyMap<string, number>,
  groupOf: (zone: string) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const [zone, count] of membersByZone) {
    const group = groupOf(zone);
    counts.set(group, (counts.get(group) ?? 0) + count);
  }
  return counts;
}

function totalOf(membersByZone: ReadonlyMap<string, number>): number {
  return [...membersByZone.values()].reduce((sum, count) => sum + count, 0);
}

function scoreOf(
  { tolerance, topology }: SpreadRequirement,
  membersByZone: ReadonlyMap<string, number>,
): SpreadScore {
  const byRegion = countBy(membersByZone, (zone) => topology.regionOf(zone));
  const worstLoss = Math.max(
    tolerance.machines,
    sumOfLargest(membersByZone.values(), tolerance.zones),
    sumOfLargest(byRegion.values(), tolerance.regions),
  );
  const zoneSquares = tolerance.zones > 0 ? sumOfSquares(membersByZone.values()) : 0;
  const regionSquares = tolerance.regions > 0 ? sumOfSquares(byRegion.values()) : 0;
  return {
    shortfall: Math.max(0, worstLoss - survivableLosses(totalOf(membersByZone))),
    concentration: zoneSquares + regionSquares,
  };
}

function compareScores(left: SpreadScore, right: SpreadScore): number {
  return left.shortfall - right.shortfall || left.concentration - right.concentration;
}

function zoneCountsOf(members: readonly Member[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  members.forEach(({ zone }) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
  return counts;
}

function withChange(
  membersByZone: ReadonlyMap<string, number>,
  zone: string,
  change: 1 | -1,
): ReadonlyMap<string, number> {
  return new Map(membersByZone).set(zone, (membersByZone.get(zone) ?? 0) + change);
}

/** Returns the change by one member that leads to the best score, among the given zones. */
function bestChange(
  requirement: SpreadRequirement,
  membersByZone: ReadonlyMap<string, number>,
  zones: readonly string[],
  change: 1 | -1,
): ReadonlyMap<string, number> | undefined {
  return zones
    .map((zone) => withChange(membersByZone, zone, change))
    .reduce<ReadonlyMap<string, number> | undefined>((best, each) => {
      const isBetter =
        best === undefined ||
        compareScores(scoreOf(requirement, each), scoreOf(requirement, best)) < 0;
      return isBetter ? each : best;
    }, undefined);
}

/** Returns how well members tolerate the losses. */
export function spreadOf(requirement: SpreadRequirement, members: readonly Member[]): Spread {
  const membersByZone = zoneCountsOf(members);
  const { shortfall } = scoreOf(requirement, membersByZone);
  return { membersByZone, size: members.length, shortfall };
}

/**
 * Returns the smallest spread with the least shortfall that a fleet can provide.
 *
 * @param replicasByZone number of replicas in each zone
 */
export function bestSpread(
  requirement: SpreadRequirement,
  replicasByZone: ReadonlyMap<string, number>,
): Spread {
  const minimumSize = Math.min(
    totalOf(replicasByZone),
    membersToTolerate(requirement.tolerance.machines),
  );
  let current: ReadonlyMap<string, number> | undefined = new Map();
  let best: Spread = { membersByZone: current, size: 0, shortfall: Infinity };
  for (let size = 0; current !== undefined; size += 1) {
    const { shortfall } = scoreOf(requirement, current);
    if (size >= minimumSize && shortfall < best.shortfall) {
      best = { membersByZone: current, size, shortfall };
    }
    const counts: ReadonlyMap<string, number> = current;
    const zonesWithRoom = [...replicasByZone.keys()].filter(
      (zone) => (counts.get(zone) ?? 0) < replicasByZone.get(zone)!,
    );
    current = bestChange(requirement, counts, zonesWithRoom, 1);
  }
  return best;
}

/**
 * Returns the spread to aim for, given that any zone may have as many replicas as needed. Without listed zones, each
 * replica is assumed to be in a zone of its own.
 */
export function wantedSpread({ tolerance, topology }: SpreadRequirement): Spread {
  const { machines, zones, regions } = tolerance;
  if (topology.zones.length === 0) {
    const size = membersToTolerate(Math.max(machines, zones, regions));
    return { membersByZone: new Map(), size, shortfall: 0 };
  }
  // As many in each zone suffice: where fewer than half of the zones may be lost, an equal spread tolerates all losses.
  const sufficient = Math.max(MINIMUM_MEMBERS, membersToTolerate(machines));
  return bestSpread(
    { tolerance, topology },
    new Map(topology.zones.map((zone) => [zone, sufficient])),
  );
}

/** What members reach by removing superfluous ones, one by one. */
interface Reduction extends SpreadScore {
  /** Least shortfall on the way, the current one included. */
  readonly shortfall: number;
  /** Concentration at the target number of members. */
  readonly concentration: number;
  /** Largest shortfall on the way. */
  readonly peak: number;
}

function bestReduction(policy: SpreadPolicy, members: readonly Member[]): Reduction {
  let counts = zoneCountsOf(members);
  let score = scoreOf(policy, counts);
  const shortfalls = [score.shortfall];
  for (let size = members.length; size > policy.wantedMembers; size -= 1) {
    const occupied = [...counts.keys()].filter((zone) => counts.get(zone)! > 0);
    counts = bestChange(policy, counts, occupied, -1) ?? counts;
    score = scoreOf(policy, counts);
    shortfalls.push(score.shortfall);
  }
  return {
    shortfall: Math.min(...shortfalls),
    concentration: score.concentration,
    peak: Math.max(...shortfalls),
  };
}

/**
 * Whether a replica should become a member: too few members are left; or those that are left tolerate too little and
 * exchanging one of them for this replica improves it, without tolerating less until the other one has left; or there
 * are too many, of which superfluous ones can't leave without tolerating too little on the way until this one has
 * joined.
 */
export function isJoinUseful(
  policy: SpreadPolicy,
  members: readonly Member[],
  self: Member,
): boolean {
  if (members.length < policy.wantedMembers) {
    return true;
  }
  const joined = [...members, self];
  const { shortfall } = spreadOf(policy, members);
  if (spreadOf(policy, joined).shortfall > shortfall) {
    return false;
  }
  const reduction = bestReduction(policy, members);
  const joinedReduction = bestReduction(policy, joined);
  return shortfall === 0
    ? joinedReduction.peak < reduction.peak
    : compareScores(joinedReduction, reduction) < 0;
}

/** Number of different ratings of zones in which a new member would improve the spread more than in its own zone. */
export function joinRank(policy: SpreadPolicy, members: readonly Member[], zone: string): number {
  const counts = zoneCountsOf(members);
  const own = scoreOf(policy, withChange(counts, zone, 1));
  const better = policy.topology.zones
    .map((other) => scoreOf(policy, withChange(counts, other, 1)))
    .filter((score) => compareScores(score, own) < 0)
    .map(({ shortfall, concentration }) => `${shortfall} ${concentration}`);
  return new Set(better).size;
}

/** Members that may leave as superfluous. */
export interface Departures {
  /** In the order of preference. */
  readonly members: readonly Member[];
  /** Whether the others tolerate no less at any time on the way to the target number. */
  readonly isHarmless: boolean;
}

/**
 * Returns the members that may leave as superfluous. Without any one of them, the others still are as many as wanted and
 * reach a spread that is no worse by further departures, so whoever left has no reason to join again. They also tolerate
 * no less than now, unless no departure meets that.
 */
export function superfluousMembers(policy: SpreadPolicy, members: readonly Member[]): Departures {
  if (members.length <= policy.wantedMembers) {
    return { members: [], isHarmless: true };
  }
  const { shortfall } = spreadOf(policy, members);
  const reduction = bestReduction(policy, members);
  const candidates = members
    .map((member, place) => {
      const others = members.filter(({ id }) => id !== member.id);
      const score = scoreOf(policy, zoneCountsOf(others));
      return { member, place, score, reduction: bestReduction(policy, others) };
    })
    .filter((each) => compareScores(each.reduction, reduction) <= 0)
    // Among equals, the latest member leaves, so that all replicas derive the same order from the record.
    .sort((left, right) => compareScores(left.score, right.score) || right.place - left.place);
  const harmless = candidates.filter(({ score, reduction: { peak } }) =>
    shortfall === 0 ? peak === 0 : score.shortfall <= shortfall,
  );
  const isHarmless = harmless.length > 0;
  const allowed = isHarmless ? harmless : candidates;
  return { members: allowed.map(({ member }) => member), isHarmless };
}
