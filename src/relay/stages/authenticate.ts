/**
 * Identifies the tenant of a request by its API key. Clients take a 401 as final, so it is returned
 * only if the newest configuration is known not to contain the key. A key that may have been
 * revoked in the meantime is not accepted.
 */
import type { LocalAnswer } from '../answers/local-answers.js';
import type { HeaderNames } from '../request/header-names.js';
import { RETRY_WITHOUT_PROOF_SECONDS } from '../answers/local-answers.js';
import type { Route, RoutingTable } from '../request/routing-table.js';
import { digestOfKey } from '../request/tenant.js';
import type { ApiKey, Tenant } from '../request/tenant.js';

/** Maximum length of a key, in characters; longer ones are not looked up. */
const MAXIMUM_KEY_LENGTH = 1_024;

/** Expected form of the header's value: `Token KEY`. */
const KEY_PATTERN = /^token +([\x21-\x7e]+) *$/i;

/** How recent the configuration in force is known to be. */
export interface ConfigurationFreshness {
  /** Whether the configuration is proven to be the newest, within the time allowed for changes. */
  readonly isProven: boolean;
  /** Whether keys may be accepted: none can have been revoked longer ago than the allowed delay. */
  readonly areKeysFresh: boolean;
}

/** Result of an authentication: the tenant, or a refusal. */
export type Authentication =
  /** The configuration has no tenants, or the route needs no key. */
  | { readonly tag: 'Open' }
  | { readonly tag: 'Known'; readonly tenant: Tenant }
  | { readonly tag: 'Refused'; readonly answer: LocalAnswer };

function refused(answer: Omit<LocalAnswer, 'verdict'>): Authentication {
  return { tag: 'Refused', answer: { ...answer, verdict: 'NotRun' } };
}

const OPEN: Authentication = { tag: 'Open' };
const NO_KEY = refused({ status: 401, detail: 'one key is expected, as `Token KEY`' });
const UNKNOWN_KEY = refused({ status: 401, detail: 'the key is not known' });
const UNPROVEN_KEY = refused({
  status: 503,
  detail: 'the key is not known here, and the newest configuration could not be read',
  retryAfterSeconds: RETRY_WITHOUT_PROOF_SECONDS,
});
const STALE_KEYS = refused({
  status: 503,
  detail: 'whether the key is still valid could not be read',
  retryAfterSeconds: RETRY_WITHOUT_PROOF_SECONDS,
});

function unusable({ id, unusableBecause: reason }: Tenant): Authentication {
  return refused({ status: 503, detail: `tenant ${id} is configured with a mistake: ${reason}` });
}

/** Returns all values of a header. */
function headerValues(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) {
      values.push(rawHeaders[index + 1]!);
    }
  }
  return values;
}

/**
 * Returns the key of a request; undefined if there is none, more than one, or one of another
 * scheme.
 */
function parseKey(rawHeaders: readonly string[], header: string): ApiKey | undefined {
  const [value, second] = headerValues(rawHeaders, header);
  if (value === undefined || second !== undefined) {
    return undefined;
  }
  const key = KEY_PATTERN.exec(value)?.[1];
  return key === undefined || key.length > MAXIMUM_KEY_LENGTH ? undefined : (key as ApiKey);
}

/** Authenticates a request; `freshness` is called only if the request carries a key. */
export function authenticate(
  table: RoutingTable,
  route: Route,
  rawHeaders: readonly string[],
  names: HeaderNames,
  freshness: () => ConfigurationFreshness,
): Authentication {
  const { tenants } = table;
  if (tenants === undefined || route.isPublic) {
    return OPEN;
  }
  const key = parseKey(rawHeaders, names.key);
  if (key === undefined) {
    return NO_KEY;
  }
  const tenant = tenants.get(digestOfKey(key));
  const { isProven, areKeysFresh } = freshness();
  if (tenant === undefined) {
    return isProven && table.completeness.hasAllKeys ? UNKNOWN_KEY : UNPROVEN_KEY;
  }
  if (tenant.unusableBecause !== undefined) {
    return unusable(tenant);
  }
  return areKeysFresh ? { tag: 'Known', tenant } : STALE_KEYS;
}
