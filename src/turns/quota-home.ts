/**
 * The order in which members are asked about a tenant's quota, by rendezvous hashing of the tenant: gateways and members
 * derive the same order from the same membership record, and a change of one member moves only that member's tenants.
 * The first member is the tenant's home.
 */
import { hashToNumber, mixHashes } from '../runtime/hashing.js';
import type { Member, MemberRecord } from './membership.js';

const hashesOfMembers = new Map<string, number>();
/** Number of remembered hashes from which on all are forgotten. */
const MAXIMUM_HASHES = 1_000;

function hashOf(memberId: string): number {
  const known = hashesOfMembers.get(memberId);
  if (known !== undefined) {
    return known;
  }
  if (hashesOfMembers.size >= MAXIMUM_HASHES) {
    hashesOfMembers.clear();
  }
  const hash = hashToNumber(memberId);
  hashesOfMembers.set(memberId, hash);
  return hash;
}

/** Returns the members of a record in the order in which they are asked about a tenant. */
export function membersByTenant({ members }: MemberRecord, tenant: string): Member[] {
  const tenantHash = hashToNumber(tenant);
  return members
    .map((member) => ({ member, weight: mixHashes(tenantHash, hashOf(member.id)) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ member }) => member);
}

/** Returns the first of the given members in that order; undefined if there are none. */
export function homeAmong(memberIds: readonly string[], tenant: string): string | undefined {
  const tenantHash = hashToNumber(tenant);
  let home: string | undefined;
  let highest = -1;
  for (const id of memberIds) {
    const weight = mixHashes(tenantHash, hashOf(id));
    if (weight > highest) {
      highest = weight;
      home = id;
    }
  }
  return home;
}
