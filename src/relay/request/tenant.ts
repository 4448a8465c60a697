/**
 * Tenants and their API keys. A key is only ever stored and looked up by its digest, so that no log
 * line, metric or dump can reveal one.
 */
import { hash } from 'node:crypto';
import { isEncodable } from '../../http-client/field-value.js';

/** Name of a tenant, also sent to runners. */
export type TenantId = string & { readonly brand: 'TenantId' };
/** A key as a client sends it. */
export type ApiKey = string & { readonly brand: 'ApiKey' };
/** SHA-256 of a key, in base64. */
export type ApiKeyDigest = string & { readonly brand: 'ApiKeyDigest' };

/** Limit on the request rate of a tenant, over all gateways. */
export interface RequestQuota {
  /** Average number of requests per second. */
  readonly ratePerSecond: number;
  /** Number of requests allowed at once beyond the average rate. */
  readonly burst: number;
}

/** One tenant as configured. */
export interface Tenant {
  readonly id: TenantId;
  /** Rank among tenants, 0 is the most urgent; takes precedence over the rank of the route. */
  readonly priority: number;
  /** Undefined if the tenant has no limit. */
  readonly quota: RequestQuota | undefined;
  /** The only regions in which the tenant's requests may be served and stored; undefined for all regions. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
  /** Why its requests are refused although its keys are known; undefined for a valid tenant. */
  readonly unusableBecause?: string | undefined;
}

/** A tenant with its keys. */
export interface TenantSettings extends Tenant {
  readonly keys: readonly ApiKey[];
}

/** Tenants by the digests of their keys. */
export type TenantsByKey = ReadonlyMap<ApiKeyDigest, Tenant>;

/** Returns the digest of a key. */
export function digestOfKey(key: ApiKey): ApiKeyDigest {
  return hash('sha256', key, 'base64') as ApiKeyDigest;
}

/** The look-up table of a configuration, and what is wrong with it; problems name tenants but no keys. */
export interface CheckedTenants {
  readonly byKey: TenantsByKey;
  readonly problems: readonly string[];
}

function validationErrors({ id, quota }: TenantSettings): string[] {
  const rate = quota?.ratePerSecond ?? 0;
  const burst = quota?.burst ?? 0;
  const isNonNegative = (value: number): boolean => Number.isFinite(value) && value >= 0;
  return [
    ...(id === '' ? ['a tenant has no name'] : []),
    ...(isEncodable(id)
      ? []
      : [`tenant ${id}: runners cannot be told a name with such characters`]),
    ...(isNonNegative(rate)
      ? []
      : [`tenant ${id}: the rate must be a finite number of at least 0`]),
    ...(isNonNegative(burst)
      ? []
      : [`tenant ${id}: the burst must be a finite number of at least 0`]),
  ];
}

function repeatedNames(tenants: readonly TenantSettings[]): ReadonlySet<TenantId> {
  const names = new Set<TenantId>();
  const repeated = new Set<TenantId>();
  for (const { id } of tenants) {
    (names.has(id) ? repeated : names).add(id);
  }
  return repeated;
}

/**
 * Builds the look-up table. The keys of a tenant with a mistake stay known, so that its requests are refused as not run, but not
 * with the final answer that an unknown key gets; the mistake of one tenant has no effect on others.
 */
export function createTenantsByKey(tenants: readonly TenantSettings[]): CheckedTenants {
  const byKey = new Map<ApiKeyDigest, Tenant>();
  const problems: string[] = [];
  const repeated = repeatedNames(tenants);
  for (const id of repeated) {
    problems.push(`tenant ${id} is defined more than once`);
  }
  for (const settings of tenants) {
    const { keys, ...valid } = settings;
    const errors = validationErrors(settings);
    problems.push(...errors);
    const mistake = repeated.has(valid.id) ? 'its name is defined more than once' : errors[0];
    const tenant = mistake === undefined ? valid : { ...valid, unusableBecause: mistake };
    for (const key of keys) {
      const digest = digestOfKey(key);
      const owner = byKey.get(digest);
      const isShared = owner !== undefined && owner.id !== tenant.id;
      if (key === '' || isShared) {
        problems.push(`tenant ${tenant.id}: a key is empty or also belongs to another tenant`);
      }
      const unusableBecause = 'the key belongs to several tenants';
      byKey.set(digest, isShared ? { ...tenant, unusableBecause } : tenant);
    }
  }
  return { byKey, problems };
}

/**
 * Returns the name under which replicas store what belongs to a tenant, since tenants may use the
 * same identifiers. Without tenants, returns the identifier itself.
 */
export function tenantScopedId(tenant: Tenant | undefined, id: string): string {
  return tenant === undefined ? id : `${tenant.id.length}:${tenant.id}:${id}`;
}
