/** Generates the configuration versions of a soak: each adds a route and a key, and drops older ones. */
import type { RandomSource } from '../src/runtime/random.js';
import { BRITTLE_ROUTES, BRITTLE_SERVICE } from './fatal-request-check.js';
import { HEALTH_PATH } from '../src/emulator/relay-runner.js';
import { SOAK_COLD } from './platform-process.js';
import { RESUMABLE_TURN_ROUTE } from './resumed-turn-check.js';
import { SOAK_HOST, SOAK_KEY, SOAK_TENANT, SOAK_TOKENS_PER_EVENT } from './soak-client.js';
import { LIMITED_KEY, LIMITED_RATE, LIMITED_TENANT } from './tenant-check.js';
import {
  CALM_SERVICES,
  MOVABLE_ROUTE,
  RESUMABLE_ROUTE,
  VERSIONED_SERVICE,
} from './versioned-runners.js';

/** Service that is the target of all routes. */
export const SOAK_SERVICE = 'workers';
/** Number of the newest added routes that a version contains. */
const ADDED_ROUTE_COUNT = 2;
/** Largest increment of the version number. */
const MAXIMUM_VERSION_STEP = 4;

/** One new configuration version and its difference to earlier ones. */
export interface ConfigurationChange {
  readonly version: number;
  /** The complete configuration, as written to the store. */
  readonly value: Record<string, unknown>;
  readonly addedRoute: string;
  readonly droppedRoutes: readonly string[];
  /** API key of the guest tenant that this version revokes. */
  readonly removedKey: string;
}

function route(name: string, kind: string, more: Record<string, unknown>): Record<string, unknown> {
  return {
    Name: name,
    Host: SOAK_HOST,
    PathPrefix: `/${name}/`,
    Kind: kind,
    TimeoutMs: 3_000,
    TargetLatencyMs: 200,
    Priority: 1,
    Service: SOAK_SERVICE,
    MaxAttempts: 2,
    ...more,
  };
}

/** Routes to the service whose runners end under requests. */
function brittleRoutes(): Record<string, unknown>[] {
  const { repeatable, resumable, once, broken } = BRITTLE_ROUTES;
  const more = { Service: BRITTLE_SERVICE, MaxAttempts: 3 };
  return [
    route(repeatable, 'idempotent', more),
    route(resumable, 'streaming', { ...more, Resumable: true }),
    route(once, 'non_idempotent', more),
    route(broken, 'streaming', more),
  ];
}

/** Produces one configuration version after another. */
export class SoakConfiguration {
  private version = 1;
  private addedRoutes: string[] = [];
  private guestKey = 'key-of-guest-0';
  private movableService: string = CALM_SERVICES[0];

  constructor(private readonly random: RandomSource) {}

  /** Creates the next version, with a random increment of its number. */
  next(): ConfigurationChange {
    this.version += this.random.integer(1, MAXIMUM_VERSION_STEP);
    const { version, guestKey: removedKey } = this;
    const addedRoute = `added-${version}`;
    this.guestKey = `key-of-guest-${version}`;
    this.addedRoutes.push(addedRoute);
    const droppedRoutes = this.addedRoutes.slice(0, -ADDED_ROUTE_COUNT);
    return { version, value: this.value(), addedRoute, droppedRoutes, removedKey };
  }

  /** Moves a route to the other service from the next version on, and returns that service. */
  moveRoute(): string {
    const [first, second] = CALM_SERVICES;
    this.movableService = this.movableService === first ? second : first;
    return this.movableService;
  }

  private value(): Record<string, unknown> {
    return {
      Version: this.version,
      Routes: [
        route('single', 'non_idempotent', {}),
        route('repeatable', 'idempotent', { TimeoutMs: 2_000 + this.version }),
        route('kept', 'streaming', { Retain: true, RetentionS: 600 }),
        route(RESUMABLE_TURN_ROUTE, 'streaming', {
          Retain: true,
          RetentionS: 600,
          Resumable: true,
        }),
        route('long', 'streaming', {}),
        route(RESUMABLE_ROUTE, 'streaming', { Resumable: true, Service: VERSIONED_SERVICE }),
        route(MOVABLE_ROUTE, 'streaming', { Resumable: true, Service: this.movableService }),
        ...brittleRoutes(),
        ...this.addedRoutes.slice(-ADDED_ROUTE_COUNT).map((name) => route(name, 'idempotent', {})),
      ],
      Services: [
        {
          Name: SOAK_SERVICE,
          MaxConnections: 60,
          ColdPerS: SOAK_COLD.requestsPerSecond,
          Engine: { Stride: SOAK_TOKENS_PER_EVENT },
        },
        { Name: VERSIONED_SERVICE, MaxConnections: 60 },
        ...CALM_SERVICES.map((name) => ({ Name: name, MaxConnections: 60 })),
        { Name: BRITTLE_SERVICE, MaxConnections: 60, HealthPath: HEALTH_PATH },
      ],
      Tenants: [
        { Name: SOAK_TENANT, ApiKeys: [SOAK_KEY], Priority: 0 },
        { Name: 'guest', ApiKeys: [this.guestKey], Priority: 1 },
        {
          Name: LIMITED_TENANT,
          ApiKeys: [LIMITED_KEY],
          Priority: 1,
          RatePerS: LIMITED_RATE,
          Burst: LIMITED_RATE,
        },
      ],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 4_194_304,
        HeaderTimeoutMs: 3_000,
        IdleTimeoutMs: 15_000,
      },
    };
  }
}
