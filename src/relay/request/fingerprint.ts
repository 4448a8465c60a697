/**
 * Fingerprints of requests: two tries of a request have the same, whatever their request ids, gateways and times. A request
 * has two. One covers what its client sends and the program that it belongs to, the other one the content alone, so that
 * a request is recognized when another program sends it too.
 */
import { hashContent } from '../../runtime/hashing.js';
import type { Fingerprint } from '../../suspects/fingerprint.js';
import type { RelayRequest } from './relay-request.js';

function fingerprintOf(request: RelayRequest, sender: readonly string[]): Fingerprint {
  const { method, path, route, tenant, previousTurn = '', affinityKey = '', body } = request;
  const content = [tenant?.id ?? '', route.host, method, path, previousTurn, affinityKey];
  return hashContent(JSON.stringify([...content, ...sender]), body) as Fingerprint;
}

/** Fingerprints that were computed before. */
const computed = new WeakMap<RelayRequest, readonly [Fingerprint, Fingerprint]>();

/**
 * Returns the fingerprints of a request: that of its program's request, and that of its content, which are the same for
 * requests without a program.
 */
export function fingerprintsOf(request: RelayRequest): readonly [Fingerprint, Fingerprint] {
  const known = computed.get(request);
  if (known !== undefined) {
    return known;
  }
  const content = fingerprintOf(request, []);
  const { program } = request;
  const own =
    program === undefined ? content : fingerprintOf(request, [program.program, program.session]);
  computed.set(request, [own, content]);
  return [own, content];
}
