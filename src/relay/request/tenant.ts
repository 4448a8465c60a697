/**
 * Tenants and their API keys. A key is only ever stored and looked up by its digest, so that no log
 * line, metric or dump can reveal one.
 */
import { hash } from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';

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

function validationErrors({ id, quota }: TenantSettings): string[] {
  const rate = quota?.ratePerSecond ?? 0;
  const burst = quota?.burst ?? 0;
  const isNonNegative = (value: number): boolean => Number.isFinite(value) && value >= 0;
  return [
    ...(id === '' ? ['a tenant has no name'] : []),
    ...(isNonNegative(rate)
      ? []
      : [`tenant ${id}: the rate must be a finite number of at least 0`]),
    ...(isNonNegative(burst)
      ? []
      : [`tenant ${id}: the burst must be a finite number of at least 0`]),
  ];
}

/**
 * Builds the look-up table, or returns a description of what is invalid, which names tenants but no
 * keys.
 */
export function createTenantsByKey(
  tenants: readonly TenantSettings[],
): E.Either<string, TenantsByKey> {
  const byKey = new Map<ApiKeyDigest, Tenant>();
  const names = new Set<TenantId>();
  const errors: string[] = [];
  for (const settings of tenants) {
    const { keys, ...tenant } = settings;
    errors.push(...validationErrors(settings));
    if (names.has(tenant.id)) {
      errors.push(`tenant ${tenant.id} is defined more than once`);
    }
    names.add(tenant.id);
    for (const key of keys) {
      const digest = digestOfKey(key);
      const owner = byKey.get(digest);
      if (key === '' || (owner !== undefined && owner.id !== tenant.id)) {
        errors.push(`tenant ${tenant.id}: a key is empty or also belongs to another tenant`);
      }
      byKey.set(digest, tenant);
    }
  }
  return errors.length === 0 ? E.right(byKey) : E.left(errors.join('; '));
}

/**
 * Returns the name under which replicas store what belongs to a tenant, since tenants may use the
 * same identifiers. Without tenants, returns the identifier itself.
 */
export function tenantScopedId(tenant: Tenant | undefined, id: string): string {
  return tenant === undefined ? id : `${tenant.id.length}:${tenant.id}:${id}`;
}
