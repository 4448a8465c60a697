/** One version of the routed configuration: which request goes to which service, and within what. */
import type { TenantsByKey } from './tenant.js';

/**
 * What may be done with a request again: `repeatable` requests may run more than once, `single`
 * ones at most once, and a `stream` at most once unless its route says that it may be resumed.
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
  /** Longest time a request may be held, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer is in time, in milliseconds. */
  readonly targetMilliseconds: number;
  /** Rank among routes; 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** Most runners that one request may be sent to. */
  readonly maximumAttempts: number;
  /** Whether a broken stream may be taken up by another runner. */
  readonly resumable: boolean;
  /** Whether turns are kept for later ones to go on from. */
  readonly retained: boolean;
  /** How long a kept turn is kept, in seconds. */
  readonly retentionSeconds: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** Settings of one service. */
export interface ServiceSettings {
  readonly name: string;
  /** Connections one runner takes from all callers together. */
  readonly maximumConnections: number;
  /** Tokens in each event of a stream; 1 where the service is no model engine. */
  readonly tokensPerEvent: number;
  /** Whether the runners are model engines that cache prompts. */
  readonly cachesPrompts: boolean;
  /** Tokens that one runner has memory for; undefined where that is not told. */
  readonly memoryTokens: number | undefined;
}

/** Bounds on what a client may send and how long it may take. */
export interface RelayLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One version of the routed configuration. */
export interface RoutingTable {
  readonly version: number;
  /** Routes by host; within a host the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, ServiceSettings>;
  readonly limits: RelayLimits;
  /** Undefined where requests carry no keys. */
  readonly tenants: TenantsByKey | undefined;
}

/** Builds a table; routes come in any order. */
export function createRoutingTable(
  version: number,
  routes: readonly Route[],
  services: readonly ServiceSettings[],
  limits: RelayLimits,
  tenants?: TenantsByKey,
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
  return { version, routesByHost, services: byName, limits, tenants };
}

/** The host of a `Host` header: lower case, without the port. */
export function hostName(header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase();
}

/** The route of a request: of its host's routes the one with the longest prefix of the path. */
export function findRoute(table: RoutingTable, host: string, path: string): Route | undefined {
  const queryIndex = path.indexOf('?');
  const pathname = queryIndex < 0 ? path : path.slice(0, queryIndex);
  return table.routesByHost.get(host)?.find((route) => pathname.startsWith(route.pathPrefix));
}
