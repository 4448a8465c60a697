/**
 * Requests that may leave only to certain regions: the rule that excludes the runners elsewhere, and the check that a
 * configuration can be kept.
 */
import type { Topology } from '../../topology/topology.js';
import type { Route } from '../request/routing-table.js';
import type { Tenant } from '../request/tenant.js';
import type { RunnerExclusion } from './runner-exclusions.js';

/** Excludes runners outside the regions that the route and the tenant of a request allow. */
export function allowedRegionsRule(topology: Topology): RunnerExclusion {
  return {
    name: 'allowed-regions',
    excludes: ({ zone }, { route, tenant }) => {
      const allows = (regions: ReadonlySet<string> | undefined): boolean =>
        regions === undefined || regions.has(topology.regionOf(zone));
      return !allows(route.allowedRegions) || !allows(tenant?.allowedRegions);
    },
  };
}

/** A route or a tenant that may limit the regions. */
interface Limited {
  readonly title: string;
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

function namesOf(regions: ReadonlySet<string>): string {
  return [...regions].join(', ');
}

function unknownRegionErrors({ title, allowedRegions }: Limited, topology: Topology): string[] {
  const unknown = [...(allowedRegions ?? [])].filter((region) => !topology.regions.has(region));
  return unknown.map((region) => `${title}: AllowedRegions lists the unknown region ${region}`);
}

function retentionError(title: string, regions: ReadonlySet<string>, retained: string): string {
  const reason = 'turns are stored in all regions';
  return `${title}: AllowedRegions (${namesOf(regions)}) cannot be combined with Retain${retained}: ${reason}`;
}

function errorsOfRoute(route: Route, tenants: readonly Tenant[]): string[] {
  const title = `route ${route.name}`;
  const { allowedRegions, retained } = route;
  const errors: string[] = [];
  if (allowedRegions !== undefined && retained) {
    errors.push(retentionError(title, allowedRegions, ''));
  }
  for (const { id, allowedRegions: ofTenant } of route.isPublic ? [] : tenants) {
    if (ofTenant !== undefined && retained) {
      errors.push(retentionError(`tenant ${id}`, ofTenant, ` of ${title}`));
    } else if (ofTenant !== undefined && allowedRegions !== undefined) {
      const common = [...ofTenant].filter((region) => allowedRegions.has(region));
      const both = `${title} allows the regions ${namesOf(allowedRegions)}`;
      const other = `tenant ${id} only ${namesOf(ofTenant)}`;
      errors.push(...(common.length > 0 ? [] : [`${both}, ${other}: none is allowed by both`]));
    }
  }
  return errors;
}

/** Returns what is wrong with the allowed regions of a configuration; empty if nothing is. */
export function allowedRegionsErrors(
  routes: readonly Route[],
  tenants: readonly Tenant[],
  topology: Topology,
): readonly string[] {
  const limited: readonly Limited[] = [
    ...routes.map((route) => ({ ...route, title: `route ${route.name}` })),
    ...tenants.map((tenant) => ({ ...tenant, title: `tenant ${tenant.id}` })),
  ];
  return [
    ...limited.flatMap((each) => unknownRegionErrors(each, topology)),
    ...routes.flatMap((route) => errorsOfRoute(route, tenants)),
  ];
}
