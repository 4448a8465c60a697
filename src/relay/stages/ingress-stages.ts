/**
 * What a request passes at the door, in this order. Each stage lets it go on or refuses it at once; nothing
 * waits here. The key is looked up once more when the body is read: what is decided by a proof counts from
 * that moment.
 */
import { RETRY_WITHOUT_PROOF_SECONDS } from '../answers/local-answers.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import { findRoute, hostName } from '../request/routing-table.js';
import { authenticate } from './authenticate.js';
import type { IngressRequest } from './ingress-request.js';
import type { StageRefusal } from './stage.js';
import { MEMORY_STAGE } from './memory-stage.js';

/** One stage at the door: undefined lets the request go on. */
export interface IngressStage {
  readonly name: string;
  readonly check: (ingress: IngressRequest) => LocalAnswer | undefined;
}

/** A configuration follows within this time of a start: the store or a peer has it. */
const RETRY_WITHOUT_CONFIGURATION_SECONDS = 0.2;
/** Bytes that each header takes beside its name and value. */
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
/** The route may have been added since: a 404 would be final for the client. */
const ROUTE_UNKNOWN: LocalAnswer = {
  status: 503,
  detail: 'no route is known here, and the newest configuration could not be read',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_PROOF_SECONDS,
};

/** A refusal of what the client sent. */
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
      return undefined;
    }
    return context.isTableProven() ? NO_ROUTE : ROUTE_UNKNOWN;
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

/** When the head is read. */
export const HEAD_STAGES: readonly IngressStage[] = [
  configuration,
  headerSize,
  route,
  identifier,
  MEMORY_STAGE,
  bodySize,
  key,
];

/** When the body is read too, by the configuration then in force. */
export const BODY_STAGES: readonly IngressStage[] = [key];

/** Passes a request through stages; undefined lets it go on. */
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
