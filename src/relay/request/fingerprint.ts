/**
 * Fingerprints of requests: two tries of a request have the same, whatever their request ids, gateways and times. A request
 * has two. One covers what its client sends and the program that it belongs to, the other one the content alone, so that
 * a request is recognized when another program sends it too.
 */
import { hashBytes, hashToExactNumber } from '../../runtime/hashing.js';
import type { Fingerprint } from '../../suspects/fingerprint.js';
import type { StreamContent } from '../../turns/stream-origins.js';
import type { RelayRequest } from './relay-request.js';

/** The fingerprints of a request; the same if it belongs to no program. */
export interface RequestFingerprints {
  readonly own: Fingerprint;
  readonly content: Fingerprint;
}

/** Fingerprints that were computed before. */
const computed = new WeakMap<RelayRequest, RequestFingerprints>();

function compute(request: RelayRequest): RequestFingerprints {
  const { method, path, route, tenant, previousTurn = '', affinityKey = '', body } = request;
  const parts = [tenant?.id ?? '', route.host, method, path, previousTurn, affinityKey];
  const bodyHash = hashBytes(body);
  const fingerprintOf = (...sender: string[]): Fingerprint =>
    hashToExactNumber(JSON.stringify([...parts, ...sender]), bodyHash) as Fingerprint;
  const content = fingerprintOf();
  const { program } = request;
  const own = program === undefined ? content : fingerprintOf(program.program, program.session);
  return { own, content };
}

/** Returns what a request has in common with the other tries of its client for the same stream, and with few other requests. */
export function streamContentOf(request: RelayRequest): StreamContent {
  const { promptParts, maximumOutputTokens } = request;
  const text = JSON.stringify([promptParts, maximumOutputTokens]);
  return hashToExactNumber(text, BigInt(fingerprintsOf(request).own)) as StreamContent;
}

/** Returns the fingerprints of a request. */
export function fingerprintsOf(request: RelayRequest): RequestFingerprints {
  let known = computed.get(request);
  if (known === undefined) {
    known = compute(request);
    computed.set(request, known);
  }
  return known;
}
