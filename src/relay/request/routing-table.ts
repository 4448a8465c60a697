/**
 * One version of the routing configuration: which request goes to which service, and within what
 * limits.
 */
import type { TenantsByKey } from './tenant.js';

/**
 * Whether a request may be repeated: `repeatable` requests may run more than once, `single` ones at
 * most once, and a `stream` at most once unless its route is resumable.
 */
export type RequestKind = 'repeatable' | 'single' | 'stream';

/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  /** Share, relative to the other services of the route. */
  readonly weight: number;
}

/** Where requests of one host and path prefix go. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Maximum time that a request may take, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Target time for an answer, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Maximum number of runners that one request may be sent to. */
  readonly maximumAttempts: number;
  /** Whether another runner may resume a broken stream. */
  readonly resumable: boolean;
  /** Whether turns are stored so that later ones can continue them. */
  readonly retained: boolean;
  /** Retention time of a stored turn, in seconds. */
  readonly retentionSeconds: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** The only regions in which requests may be served and stored; undefined for all regions. */
  readonly allowedRegions?: ReadonlySet<string> | undefined;
  /** Why requests are refused although the route is known; undefined for a valid route. */
  readonly unusableBecause?: string | undefined;
  /** Number of runners that may end under one request, over all tries of all clients; 0 for no limit. @default 3 */
  readonly maximumRunnerLosses?: number | undefined;
}

const DEFAULT_MAXIMUM_RUNNER_LOSSES = 3;

/** Returns the number of runners that may end under a request of a route; infinite if there is no limit. */
export function runnerLossLimitOf({
  maximumRunnerLosses = DEFAULT_MAXIMUM_RUNNER_LOSSES,
}: Route): number {
  return maximumRunnerLosses === 0 ? Infinity : maximumRunnerLosses;
}

/** Settings of one service. */
export interface ServiceSettings {
  readonly name: string;
  /** Maximum number of connections that one runner accepts from all callers. */
  readonly maximumConnections: number;
  /** Number of tokens in each event of a stream; 1 if the service is not a model engine. */
  readonly tokensPerEvent: number;
  /** Whether the runners are model engines that cache prompts. */
  readonly cachesPrompts: boolean;
  /** Memory capacity of one runner, in tokens; undefined if not configured. */
  readonly memoryTokens: number | undefined;
  /** Time for which a runner stays cold after a start, in milliseconds; 0 if runners are never cold. */
  readonly coldStartMilliseconds?: number;
  /** Path of the health check of its runners, which also tells which runner answers; undefined if there is none. */
  readonly healthPath?: string | undefined;
  /** Requests per second that one cold runner can take; undefined if there is no limit. */
  readonly coldRequestsPerSecond?: number | undefined;
}

/**
 * Limits on the size of requests, in bytes, and on the time that clients may take, in milliseconds.
 */
export interface RelayLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One version of the routing configuration. */
export interface RoutingTable {
  readonly version: number;
  /** Routes by host; within a host the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, ServiceSettings>;
  readonly limits: RelayLimits;
  /** Undefined if requests carry no keys. */
  readonly tenants: TenantsByKey | undefined;
  readonly completeness: TableCompleteness;
}

/** Whether the table has all that its configuration says; what may be missing is not refused for good. */
export interface TableCompleteness {
  readonly hasAllRoutes: boolean;
  readonly hasAllKeys: boolean;
}

const COMPLETE: TableCompleteness = { hasAllRoutes: true, hasAllKeys: true };

/** Creates a routing table; the routes may be in any order. */
export function createRoutingTable(
  version: number,
  routes: readonly Route[],
  services: readonly ServiceSettings[],
  limits: RelayLimits,
  tenants?: TenantsByKey,
  completeness = COMPLETE,
): RoutingTable {
  const routesByHost = new Map<string, Route[]>();
  for (const route of routes) {
    const host = route.host.toLowerCase();
    routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
  }
  for (const hostRoutes of routesByHost.values()) {
    hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  const byName = new Map(services.map((service) => [service.name, service]));
  return { version, routesByHost, services: byName, limits, tenants, completeness };
}

/** Returns the host of a `Host` header, in lower case and without the port. */
export function hostName(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

/** Returns the route of the host that has the longest matching path prefix. */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
  const queryIndex = path.indexOf('?');
  const pathname = queryIndex < 0 ? path : path.slice(0, queryIndex);
  return table.routesByHost.get(host)?.find((route) => pathname.startsWith(route.pathPrefix));
}
