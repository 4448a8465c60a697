/**
 * Checks from outside that each gateway in touch holds in force what the store has acknowledged: a route
 * that was added is served, one that was dropped is not, within the bound.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import { SOAK_APPLY_MILLISECONDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Time after a trouble in which a gateway owes nothing, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;
const LOOK_MILLISECONDS = 200;
const ANSWER_MILLISECONDS = 900;
const NOT_FOUND = 404;
const OK = 200;

/** A change that the store took. */
interface Acknowledged {
  readonly at: number;
  readonly version: number;
  readonly added: string;
  /** Routes that this version lacks and an earlier one had. */
  readonly dropped: readonly string[];
}

/** What the check is made with. */
export interface ConfigurationCheckOptions {
  readonly gatewayHosts: readonly string[];
  readonly violate: (promise: string, detail: string) => void;
}

/** See the head of this file. */
export class ConfigurationCheck {
  /** Looks at gateways in touch that had something to show. */
  looks = 0;
  private readonly changes: Acknowledged[] = [];
  /** Local time until which a gateway owes nothing, by host. */
  private readonly excusedUntil = new Map<string, number>();
  private requestCount = 0;

  constructor(private readonly options: ConfigurationCheckOptions) {}

  /** Notes a change that the store took at a local time, in milliseconds. */
  acknowledge(
    version: number,
    added: string,
    dropped: readonly string[],
    at = performance.now(),
  ): void {
    this.changes.push({ at, version, added, dropped });
  }

  /** Notes that a trouble begins for gateways; returns how to note its end. */
  excuse(hosts: readonly string[]): () => void {
    hosts.forEach((host) => this.excusedUntil.set(host, Infinity));
    return () => {
      const until = performance.now() + CONTACT_MILLISECONDS;
      hosts.forEach((host) => this.excusedUntil.set(host, until));
    };
  }

  /** Looks at all gateways until told to stop. */
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
      this.violate(`${host} has no route ${owed.added} of version ${owed.version}, ${age} ms old`);
    }
    if (dropped === OK) {
      const route = owed.dropped.at(-1)!;
      this.violate(`${host} serves ${route}, dropped by version ${owed.version}, ${age} ms old`);
    }
  }

  /** Whether a newer change that the store took has dropped the route: who is faster than the bound is right. */
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

  /** Status of the answer on a route; 0 when none came. */
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
