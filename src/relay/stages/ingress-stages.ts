/**
 * The stages of a request at ingress, in order. Each lets the request continue or refuses it at
 * once; none waits. The key is checked again after the body was read, since it may have been
 * revoked while the body arrived.
 */
import { RETRY_WITHOUT_PROOF_SECONDS } from '../answers/local-answers.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import { isStorableEverywhere } from '../runners/allowed-regions.js';
import { findRoute, hostName } from '../request/routing-table.js';
import { authenticate } from './authenticate.js';
import type { IngressRequest } from './ingress-request.js';
import type { StageRefusal } from './stage.js';
import { MEMORY_STAGE } from './memory-stage.js';

/** One stage at ingress; `check` returns undefined to let the request continue. */
export interface IngressStage {
  readonly name: string;
  readonly check: (ingress: IngressRequest) => LocalAnswer | undefined;
}

/**
 * Retry delay while no configuration is known, in seconds: the store or a peer provides one within
 * this time of a start.
 */
const RETRY_WITHOUT_CONFIGURATION_SECONDS = 0.2;
/** Bytes of the separators of each header line: `: ` and the line break. */
const HEADER_LINE_BYTES = 4;

const NO_CONFIGURATION: LocalAnswer = {
  status: 503,
  detail: 'no configuration is known here yet',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_CONFIGURATION_SECONDS,
};
const NO_ROUTE: LocalAnswer = {
  status: 404,
  detail: 'no route takes this host and path',
  verdict: 'NotRun',
};
/** Answer if the route may have been added in the meantime: a client takes a 404 as final. */
const ROUTE_UNKNOWN: LocalAnswer = {
  status: 503,
  detail: 'no route is known here, and the newest configuration could not be read',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_PROOF_SECONDS,
};
/** Answer to a turn whose allowed regions don't include all regions in which turns are stored. */
const STORED_ELSEWHERE: LocalAnswer = {
  status: 503,
  detail: 'turns are stored in all regions, and the route or the tenant does not allow all of them',
  verdict: 'NotRun',
};

/** Returns an answer that refuses a request that was not run. */
export function refusal(status: number, detail: string): LocalAnswer {
  return { status, detail, verdict: 'NotRun' };
}

function headerBytes(rawHeaders: readonly string[]): number {
  let bytes = 0;
  for (const part of rawHeaders) {
    bytes += part.length;
  }
  return bytes + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
}

const configuration: IngressStage = {
  name: 'configuration',
  check: (ingress) => {
    ingress.table = ingress.context.currentTable();
    return ingress.table === undefined ? NO_CONFIGURATION : undefined;
  },
};

const headerSize: IngressStage = {
  name: 'headerSize',
  check: ({ table, head }) =>
    headerBytes(head.rawHeaders) > table!.limits.headerBytes
      ? refusal(431, 'the headers exceed the bound')
      : undefined,
};

const route: IngressStage = {
  name: 'route',
  check: (ingress) => {
    const { table, head, context } = ingress;
    ingress.route = findRoute(table!, hostName(head.header('host') ?? ''), head.path);
    if (ingress.route !== undefined) {
      const { name, unusableBecause: reason } = ingress.route;
      const detail = `route ${name} is configured with a mistake: ${reason}`;
      return reason === undefined ? undefined : refusal(503, detail);
    }
    const isFinal = context.isTableProven() && table!.completeness.hasAllRoutes;
    return isFinal ? NO_ROUTE : ROUTE_UNKNOWN;
  },
};

const identifier: IngressStage = {
  name: 'identifier',
  check: (ingress) => {
    const { requestId } = ingress.context.names;
    ingress.id = ingress.head.header(requestId);
    const isMissing = ingress.id === undefined || ingress.id === '';
    return isMissing ? refusal(400, `the header ${requestId} is missing`) : undefined;
  },
};

const bodySize: IngressStage = {
  name: 'bodySize',
  check: ({ table, head }) =>
    Number(head.header('content-length') ?? 0) > table!.limits.bodyBytes
      ? refusal(413, 'the body exceeds the bound')
      : undefined,
};

const key: IngressStage = {
  name: 'key',
  check: (ingress) => {
    const { context, head } = ingress;
    const authentication = authenticate(
      ingress.table!,
      ingress.route!,
      head.rawHeaders,
      context.names,
      () => ({
        isProven: context.isTableProven(),
        areKeysFresh: context.areKeysFresh(),
      }),
    );
    ingress.tenant = authentication.tag === 'Known' ? authentication.tenant : undefined;
    return authentication.tag === 'Refused' ? authentication.answer : undefined;
  },
};

/** Refuses turns that would be stored in a region that their route or tenant doesn't allow. */
const storage: IngressStage = {
  name: 'storage',
  check: ({ route, tenant, context }) => {
    const mayBeStored = isStorableEverywhere([route, tenant], context.storageRegions);
    return route!.retained && !mayBeStored ? STORED_ELSEWHERE : undefined;
  },
};

/** Stages after the head was read. */
export const HEAD_STAGES: readonly IngressStage[] = [
  configuration,
  headerSize,
  route,
  identifier,
  MEMORY_STAGE,
  bodySize,
  key,
  storage,
];

/** Stages after the body was read, with the configuration then in force. */
export const BODY_STAGES: readonly IngressStage[] = [key, storage];

/**
 * Runs a request through stages; returns the first refusal, or undefined if the request may
 * continue.
 */
export function runIngressStages(
  ingress: IngressRequest,
  stages: readonly IngressStage[],
): StageRefusal | undefined {
  for (const { name, check } of stages) {
    const answer = check(ingress);
    if (answer !== undefined) {
      return { stage: name, answer };
    }
  }
  return undefined;
}
