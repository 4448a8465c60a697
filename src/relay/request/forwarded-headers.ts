/** Selects the headers to forward to a runner, and those of its answer to forward to the client. */
import { encodeFieldValue } from '../../http-client/field-value.js';
import type { HeaderNames } from './header-names.js';
import type { RelayRequest } from './relay-request.js';

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
/** Methods whose requests carry no `content-length` if they have no body. */
const BODILESS_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'DELETE']);
const CONTENT_LENGTH = 'content-length';

/** Returns the names that `Connection` headers declare as hop-by-hop. */
function connectionTokens(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === 'connection') {
      rawHeaders[index + 1]!.split(',').forEach((name) => names.add(name.trim().toLowerCase()));
    }
  }
  return names;
}

/** Returns the raw headers without hop-by-hop ones, `content-length`, and those to drop. */
function forwardableHeaders(
  rawHeaders: readonly string[],
  isDropped: (name: string) => boolean,
): string[] {
  const connectionHeaders = connectionTokens(rawHeaders);
  const kept: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (
      !HOP_BY_HOP.has(name) &&
      !connectionHeaders.has(name) &&
      name !== CONTENT_LENGTH &&
      !isDropped(name)
    ) {
      kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
  }
  return kept;
}

/** Values that the relay adds to a request for a runner. */
export interface RunnerInstructions {
  readonly runnerId: string;
  readonly remainingMilliseconds: number;
  /** Rank at the runner, from 0 (the most urgent) to 9. */
  readonly rank: number;
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
}

/** Returns the headers of a request to a runner, names and values alternating. */
export function headersToRunner(
  request: RelayRequest,
  names: HeaderNames,
  instructions: RunnerInstructions,
): string[] {
  const replaced = new Set([names.timeout, names.priority, names.lastEventId]);
  if (request.stripsKey) {
    // Drops what the client sent: only the gateway names the tenant to runners.
    [names.key, names.tenant].forEach((name) => replaced.add(name));
  }
  const headers = forwardableHeaders(
    request.rawHeaders,
    (name) => names.reserved.has(name) || replaced.has(name),
  );
  if (request.tenant !== undefined) {
    headers.push(names.tenant, encodeFieldValue(request.tenant.id));
  }
  headers.push(names.timeout, String(Math.max(1, Math.floor(instructions.remainingMilliseconds))));
  headers.push(names.expectedRunner, instructions.runnerId);
  headers.push(names.priority, String(instructions.rank));
  if (instructions.lastEventId !== undefined) {
    headers.push(names.lastEventId, instructions.lastEventId);
  }
  if (instructions.bodyBytes > 0 || !BODILESS_METHODS.has(request.method)) {
    headers.push(CONTENT_LENGTH, String(instructions.bodyBytes));
  }
  return headers;
}

/** Returns the headers of a runner's answer that are forwarded to the client. */
export function headersToClient(rawHeaders: readonly string[]): string[] {
  return forwardableHeaders(rawHeaders, () => false);
}
