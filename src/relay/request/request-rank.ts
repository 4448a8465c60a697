/** How urgent a request is at its runner: the rank of its route, and whether its program can still be in time. */
import type { RelayRequest } from './relay-request.js';

/** Least urgent rank. */
export const LEAST_URGENT_RANK = 9;
/** Ranks between neighbouring priorities of routes, so that a late program falls behind the next. */
const RANKS_PER_PRIORITY = 2;
/** Ranks between neighbouring priorities of tenants, within which routes are ranked. */
const RANKS_PER_TENANT = 3;
/** Ranks that a program falls behind once it is late. */
const LATE_RANK_PENALTY = 3;

/** Whether the time by which a request's program should be over has passed. */
export function isLate(request: RelayRequest, now: number): boolean {
  return request.programDeadlineAt !== undefined && request.programDeadlineAt <= now;
}

/** Rank from 0, the most urgent, to 9, of a request whose program is in time. */
export function baseRankOf({ tenant, route }: RelayRequest): number {
  const rank =
    tenant === undefined
      ? route.priority * RANKS_PER_PRIORITY
      : tenant.priority * RANKS_PER_TENANT + Math.min(route.priority, RANKS_PER_TENANT - 1);
  return Math.min(LEAST_URGENT_RANK, Math.max(0, rank));
}

/** Rank from 0, the most urgent, to 9. */
export function rankOf(request: RelayRequest, now: number): number {
  const penalty = isLate(request, now) ? LATE_RANK_PENALTY : 0;
  return Math.min(LEAST_URGENT_RANK, baseRankOf(request) + penalty);
}
