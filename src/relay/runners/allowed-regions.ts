/**
 * Requests that may leave only to certain regions: the rule that excludes the runners elsewhere, whether their turns may be
 * stored, and a report of the limits that leave requests without a place.
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

/**
 * Whether turns of a route and a tenant may be stored where all turns are stored.
 * @param storageRegions regions in which turns are stored; if they are not known, no limit can be kept
 */
export function isStorableEverywhere(
  limits: readonly (Pick<Limited, 'allowedRegions'> | undefined)[],
  storageRegions: ReadonlySet<string>,
): boolean {
  return limits.every((limit) => {
    const allowed = limit?.allowedRegions;
    const storedIn = [...storageRegions];
    return (
      allowed === undefined ||
      (storedIn.length > 0 && storedIn.every((region) => allowed.has(region)))
    );
  });
}

/** A route or a tenant that may limit the regions. */
interface Limited {
  readonly title: string;
  readonly allowedRegions?: ReadonlySet<string> | undefined;
}

function namesOf(regions: ReadonlySet<string>): string {
  return [...regions].join(', ');
}

function unknownRegionProblems({ title, allowedRegions }: Limited, topology: Topology): string[] {
  const unknown = [...(allowedRegions ?? [])].filter((region) => !topology.regions.has(region));
  return unknown.map((region) => `${title}: AllowedRegions lists the unknown region ${region}`);
}

function retentionProblem(title: string, regions: ReadonlySet<string>, retained: string): string {
  const reason = 'turns are stored in all regions';
  return `${title}: AllowedRegions (${namesOf(regions)}) cannot be combined with Retain${retained}: ${reason}`;
}

function problemsOfRoute(
  route: Route,
  tenants: readonly Tenant[],
  storageRegions: ReadonlySet<string>,
): string[] {
  const title = `route ${route.name}`;
  const { allowedRegions, retained } = route;
  const problems: string[] = [];
  if (allowedRegions !== undefined && retained && !isStorableEverywhere([route], storageRegions)) {
    problems.push(retentionProblem(title, allowedRegions, ''));
  }
  for (const tenant of route.isPublic ? [] : tenants) {
    const { id, allowedRegions: ofTenant } = tenant;
    if (ofTenant !== undefined && retained && !isStorableEverywhere([tenant], storageRegions)) {
      problems.push(retentionProblem(`tenant ${id}`, ofTenant, ` of ${title}`));
    } else if (ofTenant !== undefined && allowedRegions !== undefined) {
      const common = [...ofTenant].filter((region) => allowedRegions.has(region));
      const both = `${title} allows the regions ${namesOf(allowedRegions)}`;
      const other = `tenant ${id} only ${namesOf(ofTenant)}`;
      problems.push(...(common.length > 0 ? [] : [`${both}, ${other}: none is allowed by both`]));
    }
  }
  return problems;
}

/** Returns which requests the allowed regions leave without a place to run or to be stored, and why. */
export function allowedRegionsProblems(
  routes: readonly Route[],
  tenants: readonly Tenant[],
  topology: Topology,
): readonly string[] {
  const limited: readonly Limited[] = [
    ...routes.map((route) => ({ ...route, title: `route ${route.name}` })),
    ...tenants.map((tenant) => ({ ...tenant, title: `tenant ${tenant.id}` })),
  ];
  return [
    ...limited.flatMap((each) => unknownRegionProblems(each, topology)),
    ...routes.flatMap((route) => problemsOfRoute(route, tenants, topology.regions)),
  ];
}
