/**
 * Splits the requests of a route among its services by weight. Requests with the same key (those of a program) stay
 * with one service. A new key goes to the service that is furthest behind its share, so that the shares hold over
 * tens of requests, which random assignment would reach only over thousands.
 */
import type { Route } from '../request/routing-table.js';

/** Largest number of keys kept per route; the least recently used key is dropped first. */
const MAXIMUM_KEYS = 20_000;
/** Number of requests after which all counts are halved, so that recent requests weigh more. */
const HALVING_REQUESTS = 2_000;

interface RouteShares {
  /** Services and weights that the counts refer to; a change starts new counts. */
  readonly signature: string;
  readonly counts: Map<string, number>;
  readonly serviceByKey: Map<string, string>;
  total: number;
}

function signatureOf(route: Route): string {
  return route.services.map(({ service, weight }) => `${service}=${weight}`).join(' ');
}

/** Weighted assignment of keys to services, per route. */
export class TrafficSplit {
  private readonly shares = new Map<string, RouteShares>();

  /** Returns the service for a request with this key, or undefined if the route has no service. */
  pick(route: Route, key: string): string | undefined {
    if (route.services.length <= 1) {
      return route.services[0]?.service;
    }
    const shares = this.sharesOf(route);
    const service = shares.serviceByKey.get(key) ?? furthestBehind(route, shares);
    if (service === undefined) {
      return undefined;
    }
    this.recordPick(shares, key, service);
    return service;
  }

  private sharesOf(route: Route): RouteShares {
    const signature = signatureOf(route);
    const known = this.shares.get(route.name);
    if (known?.signature === signature) {
      return known;
    }
    const fresh = { signature, counts: new Map(), serviceByKey: new Map(), total: 0 };
    this.shares.set(route.name, fresh);
    return fresh;
  }

  private recordPick(shares: RouteShares, key: string, service: string): void {
    shares.counts.set(service, (shares.counts.get(service) ?? 0) + 1);
    shares.total += 1;
    shares.serviceByKey.delete(key);
    shares.serviceByKey.set(key, service);
    if (shares.serviceByKey.size > MAXIMUM_KEYS) {
      shares.serviceByKey.delete(shares.serviceByKey.keys().next().value!);
    }
    if (shares.total >= HALVING_REQUESTS) {
      shares.total /= 2;
      shares.counts.forEach((count, name) => shares.counts.set(name, count / 2));
    }
  }
}

function furthestBehind(route: Route, shares: RouteShares): string | undefined {
  const totalWeight = route.services.reduce((sum, part) => sum + part.weight, 0);
  let best: string | undefined;
  let mostBehind = -Infinity;
  for (const { service, weight } of route.services) {
    const due = ((shares.total + 1) * weight) / totalWeight;
    const behind = due - (shares.counts.get(service) ?? 0);
    if (weight > 0 && behind > mostBehind) {
      best = service;
      mostBehind = behind;
    }
  }
  return best;
}
