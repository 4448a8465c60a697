/** The forms of crowds, by the names that the scenarios use. All of them leave the limits that clients should stay inside. */
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';
import { SOAK_PORTS } from '../../soak/platform-process.js';
import type { CrowdMember } from './crowd.js';
import { CROWD_HOST, CROWD_KEYS, MAXIMUM_BODY_BYTES } from './crowd-deployment.js';

/** Addresses that crowds come to. */
export interface CrowdTargets {
  readonly gatewayHost: string;
  readonly replicaHost: string;
}

const TIMEOUT_MILLISECONDS = 30_000;
const LARGE_CHUNK_BYTES = 64 * 1024;
/** Bytes of small chunks that are written at once. */
const SMALL_CHUNKS_BYTES = 64 * 1024;
const LONG_HEAD_BYTES = 14_000;
const CHUNK_SIZE_RADIX = 16;
const KEPT_EVENT_BYTES = 4_000;
/** Requests that are written at once. */
const BATCH_REQUESTS = 40;

let requestCount = 0;

/** Returns an id that no other request has. */
function newId(): string {
  requestCount += 1;
  return `crowd-${process.pid}-${requestCount}`;
}

function headOf(path: string, lines: Readonly<Record<string, string>> = {}): string {
  const headers = {
    host: CROWD_HOST,
    [NAMES.requestId]: newId(),
    [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
    [NAMES.key]: `Token ${CROWD_KEYS[0]}`,
    ...lines,
  };
  const text = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${path} HTTP/1.1\r\n${text.join('')}\r\n`;
}

/** Headers by which one request differs from another beside its id, by what a key means. */
const KEYS: readonly ((id: string, index: number) => Record<string, string>)[] = [
  () => ({}),
  (id) => ({ [NAMES.affinity]: id }),
  (id) => ({ [NAMES.program]: id, [NAMES.session]: id, [NAMES.tokenBudget]: '1000' }),
  (id) => ({ [NAMES.program]: id, [NAMES.session]: id, [NAMES.previousTurn]: `${id}-before` }),
  (id) => ({ [NAMES.promptParts]: `${id}:100` }),
  (_id, index) => ({ [NAMES.key]: `Token ${CROWD_KEYS[index % CROWD_KEYS.length]}` }),
];

/** Requests with a new key each and no body. */
function* requestsTo(path: string, count: number, key?: string): Generator<Buffer> {
  for (let sent = 0; sent < count; sent += BATCH_REQUESTS) {
    const batch = Array.from({ length: BATCH_REQUESTS }, (_, index) => {
      const token = key === undefined ? {} : { [NAMES.key]: `Token ${key}-${newId()}` };
      const lines = { ...KEYS[index % KEYS.length]!(newId(), index), ...token };
      return headOf(path, { ...lines, 'content-length': '0' });
    });
    yield Buffer.from(batch.join(''), 'latin1');
  }
}

/** The same bytes again and again. */
function* repeat(part: Buffer, count: number): Generator<Buffer> {
  for (let sent = 0; sent < count; sent += 1) {
    yield part;
  }
}

function chunkOf(bytes: number): Buffer {
  const size = bytes.toString(CHUNK_SIZE_RADIX);
  return Buffer.from(`${size}\r\n${'x'.repeat(bytes)}\r\n`, 'latin1');
}

/** A chunked body whose end is missing; small chunks are written many at once. */
function* unfinishedBody(bodyBytes: number, chunkBytes: number): Generator<Buffer> {
  yield Buffer.from(headOf('/plain/work', { 'transfer-encoding': 'chunked' }), 'latin1');
  const chunk = chunkOf(chunkBytes);
  const chunksAtOnce = Math.max(1, Math.floor(SMALL_CHUNKS_BYTES / chunk.length));
  const part = Buffer.concat(Array.from({ length: chunksAtOnce }, () => chunk));
  yield* repeat(part, Math.ceil(bodyBytes / (chunkBytes * chunksAtOnce)));
}

/** A head that lacks its end. */
function* partialHead(): Generator<Buffer> {
  const head = headOf('/plain/work', { 'x-padding': 'x'.repeat(LONG_HEAD_BYTES) });
  yield Buffer.from(head.slice(0, -'\r\n\r\n'.length), 'latin1');
}

/** A frame of the replicas' protocol whose end is missing. */
function* unfinishedFrame(declaredBytes: number, sentBytes: number): Generator<Buffer> {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(declaredBytes);
  yield length;
  const part = Buffer.alloc(LARGE_CHUNK_BYTES);
  yield* repeat(part, Math.floor(sentBytes / part.length));
}

function members(count: number, create: (index: number) => CrowdMember): CrowdMember[] {
  return Array.from({ length: count }, (_, index) => create(index));
}

function toGateway(
  { gatewayHost: host }: CrowdTargets,
  parts: Iterable<Buffer>,
  reads = false,
): CrowdMember {
  return { host, port: SOAK_PORTS.front, parts, reads };
}

/** Turns to be kept, whose answers are read. */
function keptTurns(turnBytes: number): CrowdForm {
  const path = `/kept/work?stream&events=${turnBytes / KEPT_EVENT_BYTES}&fill=${KEPT_EVENT_BYTES}`;
  return (targets) => members(16, () => toGateway(targets, requestsTo(path, 4_000), true));
}

type CrowdForm = (targets: CrowdTargets) => CrowdMember[];

function ahead(path: string, key?: string): CrowdForm {
  return (targets) => members(32, () => toGateway(targets, requestsTo(path, 12_000, key)));
}

function bodies(count: number, bodyBytes: number, chunkBytes: number): CrowdForm {
  return (targets) =>
    members(count, () => toGateway(targets, unfinishedBody(bodyBytes, chunkBytes), true));
}

function connections(count: number, parts: () => Iterable<Buffer>): CrowdForm {
  return (targets) => members(count, () => toGateway(targets, parts(), true));
}

function unread(path: string): CrowdForm {
  return (targets) =>
    members(100, () =>
      toGateway(targets, [Buffer.from(headOf(path, { 'content-length': '0' }), 'latin1')]),
    );
}

/** Plain requests for what another listener of the gateway serves. */
function aheadAt(port: number, path: string): CrowdForm {
  const request = Buffer.from(`GET ${path} HTTP/1.1\r\nhost: x\r\n\r\n`.repeat(1_000), 'latin1');
  return ({ gatewayHost: host }) =>
    members(60, () => ({ host, port, reads: false, parts: repeat(request, 40) }));
}

function bodiesAt(port: number, bodyBytes: number, chunkBytes: number): CrowdForm {
  return ({ gatewayHost: host }) =>
    members(20, () => ({ host, port, reads: true, parts: unfinishedBody(bodyBytes, chunkBytes) }));
}

function connectionsAt(port: number): CrowdForm {
  return ({ gatewayHost: host }) => members(800, () => ({ host, port, reads: true, parts: [] }));
}

const { control, ready, metrics, peer } = SOAK_PORTS;
const EXCHANGE_PATH = '/ivyloom/snapshot?after=0';

const FORMS: Readonly<Record<string, CrowdForm>> = {
  'requests ahead to a plain route': ahead('/plain/work'),
  'requests ahead to a route without repetition': ahead('/once/work'),
  'requests ahead to a streamed route': ahead('/streamed/work?stream'),
  'requests ahead to a resumable route': ahead('/resumable/work?stream'),
  'requests ahead to a kept route': ahead('/kept/work?stream'),
  'requests ahead to no route': ahead('/nowhere/work'),
  'requests ahead with unknown keys': ahead('/plain/work', 'unknown'),
  'bodies in large chunks': bodies(240, MAXIMUM_BODY_BYTES - LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES),
  'bodies in chunks of 1 KiB': bodies(240, MAXIMUM_BODY_BYTES - SMALL_CHUNKS_BYTES, 1_024),
  'bodies beyond the limit': bodies(240, 4 * MAXIMUM_BODY_BYTES, LARGE_CHUNK_BYTES),
  'bodies in chunks of 1 byte': bodies(240, 800_000, 1),
  'bodies in chunks of 3 bytes': bodies(240, 2_400_000, 3),
  'bodies in chunks of 4 bytes': bodies(240, MAXIMUM_BODY_BYTES - SMALL_CHUNKS_BYTES, 4),
  'short bodies in chunks of 1 byte': bodies(300, 2_000, 1),
  'idle connections': connections(800, () => []),
  'connections with a partial head': connections(800, partialHead),
  'connections of which some leave early': (targets) =>
    members(1_600, (index) => ({
      ...toGateway(targets, index % 2 === 0 ? partialHead() : [], true),
      leavesEarly: index % 5 < 2,
    })),
  'large plain answers unread': unread(`/plain/work?fill=${MAXIMUM_BODY_BYTES}`),
  'large streams unread': unread('/streamed/work?stream&events=2000&fill=4000'),
  'large kept streams unread': unread('/kept/work?stream&events=200&fill=4000'),
  'more kept turns than fit the memory of a replica': keptTurns(100_000),
  'requests ahead for metrics': aheadAt(metrics, '/metrics'),
  'requests ahead for readiness': aheadAt(ready, '/'),
  'requests ahead for the exchange': aheadAt(control, EXCHANGE_PATH),
  'bodies in chunks of 1 byte for metrics': bodiesAt(metrics, 800_000, 1),
  'bodies in chunks of 1 byte for readiness': bodiesAt(ready, 800_000, 1),
  'bodies in chunks of 1 byte for the exchange': bodiesAt(control, 800_000, 1),
  'idle connections for metrics': connectionsAt(metrics),
  'idle connections for readiness': connectionsAt(ready),
  'idle connections for the exchange': connectionsAt(control),
  'unfinished frames at a replica': ({ replicaHost: host }) =>
    members(20, () => ({
      host,
      port: peer,
      reads: true,
      parts: unfinishedFrame(60_000_000, 16_000_000),
    })),
  'idle connections at a replica': ({ replicaHost: host }) =>
    members(800, () => ({ host, port: peer, reads: true, parts: [] })),
};

/** Forms of the crowd that mixes them. */
const MIXED = [
  'requests ahead to a plain route',
  'requests ahead to a streamed route',
  'bodies in large chunks',
  'bodies in chunks of 1 byte',
  'connections of which some leave early',
  'large plain answers unread',
];

/** Creates the crowd of a form. */
export function createCrowd(form: string, targets: CrowdTargets): CrowdMember[] {
  const names = form === 'all forms mixed' ? MIXED : [form];
  return names.flatMap((name) => {
    const create = FORMS[name];
    if (create === undefined) {
      throw new Error(`no crowd has the form "${name}"`);
    }
    return create(targets);
  });
}
