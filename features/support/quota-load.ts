/** The programs that tenants with quotas send: arrivals, kinds, and the times of their requests. */
import type { RandomSource } from '../../src/runtime/random.js';

/** One request of a program, by its time after the program's start. */
export interface PlannedRequest {
  readonly offsetMilliseconds: number;
  /** Route of the request; tool calls have a route of their own. */
  readonly route: string;
}

/** One program as its client sends it if nothing is refused. */
export interface PlannedProgram {
  readonly id: string;
  readonly tenant: number;
  readonly kind: string;
  readonly startsAt: number;
  readonly requests: readonly PlannedRequest[];
}

/** A tenant with its limit and the usual rate of its requests, per second. */
export interface LoadedTenant {
  readonly id: string;
  readonly usualRate: number;
  readonly ratePerSecond: number;
  readonly burst: number;
}

export const TOOL_ROUTE = 'tools';
export const CONVERSATION = 'conversations';
export const QUERY = 'queries';
/** Ratio of a limit to the usual rate of its tenant. */
const LIMIT_TO_USUAL_RATE = 1.6;
const TENANT_COUNT = 83;
const LARGEST_RATE = 30;
const SMALLEST_RATE = 0.3;
const MAXIMUM_TOOL_CALLS = 5;
const CONVERSATION_SHARE = 0.3;

interface ProgramKind {
  readonly name: string;
  readonly turns: readonly [number, number];
  readonly meanRequests: number;
}

const KINDS: readonly ProgramKind[] = [
  { name: CONVERSATION, turns: [9, 13], meanRequests: 38.5 },
  { name: QUERY, turns: [3, 5], meanRequests: 14 },
];
const MEAN_REQUESTS =
  CONVERSATION_SHARE * KINDS[0]!.meanRequests + (1 - CONVERSATION_SHARE) * KINDS[1]!.meanRequests;

/** The tenants of the deployment, from the largest to the smallest. */
export const TENANTS: readonly LoadedTenant[] = Array.from({ length: TENANT_COUNT }, (_, index) => {
  const usualRate = Math.max(SMALLEST_RATE, LARGEST_RATE / (1 + index) ** 1.1);
  const ratePerSecond = usualRate * LIMIT_TO_USUAL_RATE;
  return { id: `tenant-${index}`, usualRate, ratePerSecond, burst: Math.ceil(ratePerSecond) };
});

function requestsOf(turns: number, random: RandomSource): PlannedRequest[] {
  const requests: PlannedRequest[] = [];
  let at = 0;
  for (let turn = 0; turn < turns; turn += 1) {
    requests.push({ offsetMilliseconds: at, route: '' });
    at += 200 + random.uniform() * 300;
    const toolCalls = random.integer(0, MAXIMUM_TOOL_CALLS);
    for (let call = 0; call < toolCalls; call += 1) {
      requests.push({ offsetMilliseconds: at, route: TOOL_ROUTE });
      at += 50 + random.uniform() * 80;
    }
  }
  return requests;
}

/** Draws the programs of one tenant until a time, in the order of their starts. */
export function drawPrograms(
  tenant: number,
  loadFactor: number,
  untilMilliseconds: number,
  random: RandomSource,
): PlannedProgram[] {
  const programs: PlannedProgram[] = [];
  const pause = (1_000 * MEAN_REQUESTS) / (TENANTS[tenant]!.usualRate * loadFactor);
  let at = random.exponential(pause);
  while (at < untilMilliseconds) {
    const { name, turns } = KINDS[random.uniform() < CONVERSATION_SHARE ? 0 : 1]!;
    const requests = requestsOf(random.integer(turns[0], turns[1]), random).map((request) =>
      request.route === '' ? { ...request, route: name } : request,
    );
    const id = `${tenant}-${programs.length}`;
    programs.push({ id, tenant, kind: name, startsAt: at, requests });
    at += random.exponential(pause);
  }
  return programs;
}
