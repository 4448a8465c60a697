/**
 * What a request passes at the door, in this order. Each stage lets it go on or refuses it at once; nothing
 * waits here. The key is looked up once more when the body is read: what is decided by a proof counts from
 * that moment.
 */
import { RETRY_WITHOUT_PROOF_SECONDS } from '../answers/own-answers.js';
import type { OwnAnswer } from '../answers/own-answers.js';
import { findRoute, hostName } from '../request/routing-table.js';
import { authenticate } from './authenticate.js';
import type { Door } from './door.js';
import type { StageRefusal } from './stage.js';
import { MEMORY_STAGE } from './memory-stage.js';

/** One stage at the door: undefined lets the request go on. */
export interface DoorStage {
  readonly name: string;
  readonly check: (door: Door) => OwnAnswer | undefined;
}

/** A configuration follows within this time of a start: the store or a peer has it. */
const RETRY_WITHOUT_CONFIGURATION_SECONDS = 0.2;
/** Bytes that each header takes beside its name and value. */
const HEADER_LINE_BYTES = 4;

const NO_CONFIGURATION: OwnAnswer = {
  status: 503,
  detail: 'no configuration is known here yet',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_CONFIGURATION_SECONDS,
};
const NO_ROUTE: OwnAnswer = {
  status: 404,
  detail: 'no route takes this host and path',
  verdict: 'NotRun',
};
/** The route may have been added since: a 404 would be final for the client. */
const ROUTE_UNKNOWN: OwnAnswer = {
  status: 503,
  detail: 'no route is known here, and the newest configuration could not be read',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_PROOF_SECONDS,
};

/** A refusal of what the client sent. */
export function refusal(status: number, detail: string): OwnAnswer {
  return { status, detail, verdict: 'NotRun' };
}

function headerBytes(rawHeaders: readonly string[]): number {
  let bytes = 0;
  for (const part of rawHeaders) {
    bytes += part.length;
  }
  return bytes + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
}

const configuration: DoorStage = {
  name: 'configuration',
  check: (door) => {
    door.table = door.context.currentTable();
    return door.table === undefined ? NO_CONFIGURATION : undefined;
  },
};

const headerSize: DoorStage = {
  name: 'headerSize',
  check: ({ table, head }) =>
    headerBytes(head.rawHeaders) > table!.limits.headerBytes
      ? refusal(431, 'the headers exceed the bound')
      : undefined,
};

const route: DoorStage = {
  name: 'route',
  check: (door) => {
    const { table, head, context } = door;
    door.route = findRoute(table!, hostName(head.header('host') ?? ''), head.path);
    if (door.route !== undefined) {
      return undefined;
    }
    return context.isTableProven() ? NO_ROUTE : ROUTE_UNKNOWN;
  },
};

const identifier: DoorStage = {
  name: 'identifier',
  check: (door) => {
    const { requestId } = door.context.names;
    door.id = door.head.header(requestId);
    const isMissing = door.id === undefined || door.id === '';
    return isMissing ? refusal(400, `the header ${requestId} is missing`) : undefined;
  },
};

const bodySize: DoorStage = {
  name: 'bodySize',
  check: ({ table, head }) =>
    Number(head.header('content-length') ?? 0) > table!.limits.bodyBytes
      ? refusal(413, 'the body exceeds the bound')
      : undefined,
};

const key: DoorStage = {
  name: 'key',
  check: (door) => {
    const { context, head } = door;
    const whose = authenticate(door.table!, door.route!, head.rawHeaders, context.names, () => ({
      isProven: context.isTableProven(),
      areKeysFresh: context.areKeysFresh(),
    }));
    door.tenant = whose.tag === 'Known' ? whose.tenant : undefined;
    return whose.tag === 'Refused' ? whose.answer : undefined;
  },
};

/** When the head is read. */
export const HEAD_STAGES: readonly DoorStage[] = [
  configuration,
  headerSize,
  route,
  identifier,
  MEMORY_STAGE,
  bodySize,
  key,
];

/** When the body is read too, by the configuration then in force. */
export const BODY_STAGES: readonly DoorStage[] = [key];

/** Passes a request through stages; undefined lets it go on. */
export function passDoor(door: Door, stages: readonly DoorStage[]): StageRefusal | undefined {
  for (const { name, check } of stages) {
    const answer = check(door);
    if (answer !== undefined) {
      return { stage: name, answer };
    }
  }
  return undefined;
}
