/**
 * Finds out whose a request is, from the key that it carries. A refusal with 401 is final for the
 * client, so it is given only where the newest configuration is known not to have the key; and a key
 * that may have been taken away since is not served.
 */
import type { LocalAnswer } from '../answers/local-answers.js';
import type { HeaderNames } from '../request/header-names.js';
import { RETRY_WITHOUT_PROOF_SECONDS } from '../answers/local-answers.js';
import type { Route, RoutingTable } from '../request/routing-table.js';
import { digestOfKey } from '../request/tenant.js';
import type { ApiKey, Tenant } from '../request/tenant.js';

/** Longest key that is looked up, in characters. */
const MAXIMUM_KEY_LENGTH = 1_024;

/** How the client is to name its key. */
const KEY_PATTERN = /^token +([\x21-\x7e]+) *$/i;

/** What is known of the configuration in force. */
export interface ConfigurationFreshness {
  /** Whether it is proved to be the newest, to within the bound for changes. */
  readonly isProven: boolean;
  /** Whether no key can have been taken away so long ago that it must not be served. */
  readonly areKeysFresh: boolean;
}

/** Whose a request is, or why it is refused. */
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

/** The values of a header, as often as it was sent. */
function headerValues(rawHeaders: readonly string[], name: string): string[] {
  const values: string[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]!.toLowerCase() === name) {
      values.push(rawHeaders[index + 1]!);
    }
  }
  return values;
}

/** The key of a request; undefined when there is none, two, or one of another scheme. */
function parseKey(rawHeaders: readonly string[], header: string): ApiKey | undefined {
  const [value, second] = headerValues(rawHeaders, header);
  if (value === undefined || second !== undefined) {
    return undefined;
  }
  const key = KEY_PATTERN.exec(value)?.[1];
  return key === undefined || key.length > MAXIMUM_KEY_LENGTH ? undefined : (key as ApiKey);
}

/** See the head of this file. */
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
    return isProven ? UNKNOWN_KEY : UNPROVEN_KEY;
  }
  return areKeysFresh ? { tag: 'Known', tenant } : STALE_KEYS;
}
