/**
 * Computes how urgent a request is at its runner, as a rank from 0 (the most urgent) to 9: from the
 * priorities of its tenant and route, and from whether its program is late.
 */
import type { RelayRequest } from './relay-request.js';

export const LEAST_URGENT_RANK = 9;
/**
 * Ranks between adjacent route priorities; less than the late penalty, so that a late program is
 * ranked below on-time ones of the next priority.
 */
const RANKS_PER_PRIORITY = 2;
/** Ranks between adjacent tenant priorities; routes are ranked within them. */
const RANKS_PER_TENANT = 3;
/** Number of ranks by which a late program is less urgent. */
const LATE_RANK_PENALTY = 3;

/** Whether the deadline of the request's program has passed. */
export function isLate(request: RelayRequest, now: number): boolean {
  return request.programDeadlineAt !== undefined && request.programDeadlineAt <= now;
}

/** Returns the rank of a request whose program is in time. */
export function baseRankOf({ tenant, route }: RelayRequest): number {
  const rank =
    tenant === undefined
      ? route.priority * RANKS_PER_PRIORITY
      : tenant.priority * RANKS_PER_TENANT + Math.min(route.priority, RANKS_PER_TENANT - 1);
  return Math.min(LEAST_URGENT_RANK, Math.max(0, rank));
}

/** Returns the rank of a request, with the penalty if its program is late. */
export function rankOf(request: RelayRequest, now: number): number {
  const penalty = isLate(request, now) ? LATE_RANK_PENALTY : 0;
  return Math.min(LEAST_URGENT_RANK, baseRankOf(request) + penalty);
}
