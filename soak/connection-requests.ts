/** Requests of clients that keep their connections, and what their runners' whole answers to them are. */
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { RandomSource } from '../src/runtime/random.js';
import type { ParsedAnswer } from './answer-parser.js';
import { SOAK_GATEWAY_HEADER } from './evacuation-check.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Time that clients give a request, in milliseconds; no route of the soak gives a longer one. */
export const TIMEOUT_MILLISECONDS = 3_000;
/** Kinds of requests: unsafe, repeatable, and streams, which may run once as well. */
export const REQUEST_KINDS = ['single', 'repeatable', 'stream'] as const;
/** A kind of request. */
export type RequestKind = (typeof REQUEST_KINDS)[number];

/** Most bytes of a request's body. */
const MAXIMUM_BODY_BYTES = 3_000;
/** Share of bodies that are sent in chunks. */
const CHUNKED_FRACTION = 0.4;
/** Most events of a stream, and most bytes that an event or a plain answer is padded to. */
const MAXIMUM_EVENTS = 30;
const MAXIMUM_FILL_BYTES = 2_000;
/** Body of a failure of a runner. */
const RUNNER_FAILURE = 'failed';
const OK = 200;
const FAILED = 500;

/** A request, and what became of it. */
export interface ConnectionRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  readonly events: number;
  readonly fillBytes: number;
  /** Address of the gateway. */
  readonly host: string;
  /** Number of its connection. */
  readonly connection: number;
  /** What the client does on the connection. */
  readonly behaviour: string;
  /** Local time at which it was sent, in milliseconds. */
  readonly sentAt: number;
  /** Status of the whole answer; 0 without one. */
  status: number;
  /** Local time at which the answer was whole, in milliseconds; undefined without one. */
  answeredAt: number | undefined;
  /** Local time at which the connection ended without a whole answer, in milliseconds; undefined while it has not. */
  endedAt: number | undefined;
  /** Whether the client left or half-closed the connection before the answer was whole. */
  isAbandoned: boolean;
}

/** Where a request is sent, and by which client. */
export interface RequestPlace {
  readonly id: string;
  readonly host: string;
  readonly connection: number;
  readonly behaviour: string;
}

/** Draws a request; `maximumFillBytes` bounds the length of a plain answer. */
export function drawRequest(
  random: RandomSource,
  place: RequestPlace,
  maximumFillBytes = MAXIMUM_FILL_BYTES,
): ConnectionRequest {
  const kind = random.pick(REQUEST_KINDS);
  const isStream = kind === 'stream';
  const events = random.integer(1, MAXIMUM_EVENTS);
  const fillBytes = random.integer(0, isStream ? MAXIMUM_FILL_BYTES : maximumFillBytes);
  const path = isStream
    ? `/long/work?stream&events=${events}&fill=${fillBytes}`
    : `/${kind}/work?fill=${fillBytes}`;
  const body = `in ${place.id};`.padEnd(random.integer(0, MAXIMUM_BODY_BYTES), '.');
  return {
    ...place,
    kind,
    path,
    body,
    events,
    fillBytes,
    sentAt: performance.now(),
    status: 0,
    answeredAt: undefined,
    endedAt: undefined,
    isAbandoned: false,
  };
}

/** Returns the bytes of a request, its body with a length or in chunks. */
export function textOf(request: ConnectionRequest, random: RandomSource): string {
  const { id, host, path, body } = request;
  const isChunked = random.uniform() < CHUNKED_FRACTION;
  const lines = [
    `POST ${path} HTTP/1.1`,
    `host: ${SOAK_HOST}`,
    `${SOAK_GATEWAY_HEADER}: ${host}`,
    `${NAMES.requestId}: ${id}`,
    `${NAMES.timeout}: ${TIMEOUT_MILLISECONDS}`,
    `${NAMES.key}: Token ${SOAK_KEY}`,
    isChunked ? 'transfer-encoding: chunked' : `content-length: ${body.length}`,
  ];
  const head = `${lines.join('\r\n')}\r\n\r\n`;
  if (!isChunked) {
    return head + body;
  }
  const split = random.integer(1, body.length - 1);
  const chunks = [body.slice(0, split), body.slice(split), ''];
  return head + chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('');
}

/** Returns the whole body that a runner answers a request with. */
function runnerBodyOf({ id, kind, events, fillBytes }: ConnectionRequest, signer: string): string {
  if (kind !== 'stream') {
    return `answer of ${signer} to ${id}`.padEnd(fillBytes, '.');
  }
  return Array.from({ length: events }, (_, index) => {
    const text = `event ${index + 1}`.padEnd(fillBytes, '.');
    return `id: ${index + 1}\ndata: ${text}\n\n`;
  }).join('');
}

/** Tells what is wrong with the body of an answer to a request; undefined if nothing is. */
export function bodyErrorOf(
  request: ConnectionRequest,
  { status, headers, body }: ParsedAnswer,
  isWhole: boolean,
): string | undefined {
  if (status === FAILED && isWhole && body !== RUNNER_FAILURE) {
    return `got a failure with body "${body.slice(0, 80)}"`;
  }
  if (status !== OK) {
    return undefined;
  }
  const signer = /^signed by (.*)$/.exec(headers.get(NAMES.signature) ?? '')?.[1];
  const expected = runnerBodyOf(request, signer ?? '');
  if (signer === undefined) {
    return 'got a success that no runner signed';
  }
  if (!expected.startsWith(body)) {
    return `got other bytes than its runner wrote: "${body.slice(0, 80)}"`;
  }
  return isWhole && body !== expected
    ? `got ${body.length} of ${expected.length} bytes as a whole answer`
    : undefined;
}
