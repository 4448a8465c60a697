/**
 * Checks from outside that each gateway in contact with the store applies acknowledged configuration changes
 * within the bound: an added route is served, and a dropped route is not.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import { SOAK_APPLY_MILLISECONDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Time after a fault in which a gateway may still be behind, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;
const LOOK_MILLISECONDS = 200;
const ANSWER_MILLISECONDS = 900;
const NOT_FOUND = 404;
const OK = 200;

/** A configuration change that the store acknowledged. */
interface Acknowledged {
  /** Time of the acknowledgement by `performance.now()`, in milliseconds. */
  readonly at: number;
  readonly version: number;
  readonly added: string;
  /** Routes of earlier versions that this version lacks. */
  readonly dropped: readonly string[];
}

/** Dependencies of the configuration check. */
export interface ConfigurationCheckOptions {
  readonly gatewayHosts: readonly string[];
  readonly violate: (promise: string, detail: string) => void;
}

/** Polls the routes of all gateways and reports overdue configuration changes. */
export class ConfigurationCheck {
  /** Completed checks of gateways that had a change due and were not exempt. */
  looks = 0;
  private readonly changes: Acknowledged[] = [];
  /** Local time until which a gateway is exempt, by host. */
  private readonly excusedUntil = new Map<string, number>();
  private requestCount = 0;

  constructor(private readonly options: ConfigurationCheckOptions) {}

  /** Records a change that the store acknowledged at a local time, in milliseconds. */
  acknowledge(
    version: number,
    added: string,
    dropped: readonly string[],
    at = performance.now(),
  ): void {
    this.changes.push({ at, version, added, dropped });
  }

  /** Exempts gateways for the duration of a fault; returns a function that ends the fault. */
  excuse(hosts: readonly string[]): () => void {
    hosts.forEach((host) => this.excusedUntil.set(host, Infinity));
    return () => {
      const until = performance.now() + CONTACT_MILLISECONDS;
      hosts.forEach((host) => this.excusedUntil.set(host, until));
    };
  }

  /** Checks all gateways at an interval until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await Promise.all(this.options.gatewayHosts.map((host) => this.look(host)));
      await new Promise((resolve) => setTimeout(resolve, LOOK_MILLISECONDS));
    }
  }

  private async look(host: string): Promise<void> {
    const owed = this.newestOwed;
    if (owed === undefined || !this.isInTouch(host)) {
      return;
    }
    const added = await this.statusOf(host, owed.added);
    const dropped = owed.dropped.length === 0 ? 0 : await this.statusOf(host, owed.dropped.at(-1)!);
    if (!this.isInTouch(host) || owed.version < (this.newestOwed?.version ?? 0)) {
      return;
    }
    this.looks += 1;
    const age = Math.round(performance.now() - owed.at);
    if (added === NOT_FOUND && !this.isDroppedAfter(owed)) {
      this.violate(
        `gateway ${host} does not serve route ${owed.added}, added by version ${owed.version} ${age} ms ago`,
      );
    }
    if (dropped === OK) {
      const route = owed.dropped.at(-1)!;
      this.violate(
        `gateway ${host} still serves route ${route}, dropped by version ${owed.version} ${age} ms ago`,
      );
    }
  }

  /** Whether a newer acknowledged change drops the route; a gateway may apply that change before its bound. */
  private isDroppedAfter({ version, added }: Acknowledged): boolean {
    return this.changes.some(
      (change) => change.version > version && change.dropped.includes(added),
    );
  }

  private get newestOwed(): Acknowledged | undefined {
    const since = performance.now() - SOAK_APPLY_MILLISECONDS;
    return this.changes.findLast(({ at }) => at <= since);
  }

  private violate(detail: string): void {
    this.options.violate('configuration', detail);
  }

  private isInTouch(host: string): boolean {
    return performance.now() >= (this.excusedUntil.get(host) ?? 0);
  }

  /** Requests a route; resolves to the response status, or 0 without a response. */
  private statusOf(host: string, route: string): Promise<number> {
    this.requestCount += 1;
    const headers = {
      host: SOAK_HOST,
      [NAMES.requestId]: `look-${host}-${this.requestCount}`,
      [NAMES.timeout]: String(ANSWER_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
    };
    return new Promise((resolve) => {
      const target = { host, port: SOAK_PORTS.front, path: `/${route}/look`, headers };
      const client = httpRequest({ ...target, agent: false }, (response) => {
        response.resume();
        response.on('error', () => resolve(0));
        resolve(response.statusCode ?? 0);
      });
      client.setTimeout(ANSWER_MILLISECONDS, () => client.destroy());
      client.on('error', () => resolve(0));
      client.on('close', () => resolve(0));
      client.end();
    });
  }
}
