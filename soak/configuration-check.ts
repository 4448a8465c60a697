/**
 * Checks from outside that each gateway that no recent fault affects applies acknowledged configuration
 * changes within SOAK_APPLY_MILLISECONDS: an added route is served, and a dropped route is not.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import { SOAK_APPLY_MILLISECONDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Time after a fault in which a gateway may still be behind, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;
const CHECK_PAUSE_MILLISECONDS = 200;
const RESPONSE_TIMEOUT_MILLISECONDS = 900;
const NOT_FOUND = 404;
const OK = 200;

/** A configuration change that the store acknowledged. */
interface AcknowledgedChange {
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
  /** Returns a number that changes when a gateway's process does; undefined while none runs. */
  readonly lifeOf?: (host: string) => number | undefined;
}

/** Counts of the looks for an older configuration than a client had seen. */
export interface VersionLooks {
  looks: number;
  /** Looks at a gateway that had served a newer one in the same life of its process, which is a violation. */
  olderInLife: number;
  /** Looks at a gateway that started since, while another one had served a newer one. */
  olderAfterStart: number;
}

/** The newest configuration that a client saw at a gateway. */
interface SeenVersion {
  readonly change: AcknowledgedChange;
  readonly life: number | undefined;
}

/** Polls the routes of all gateways and reports overdue configuration changes. */
export class ConfigurationCheck {
  /** Completed checks of gateways that had a change due and were not exempt. */
  completedChecks = 0;
  readonly versionLooks: VersionLooks = { looks: 0, olderInLife: 0, olderAfterStart: 0 };
  private readonly changes: AcknowledgedChange[] = [];
  /** By host of the gateway. */
  private readonly seen = new Map<string, SeenVersion>();
  /** Local time until which a gateway is exempt, by host. */
  private readonly exemptUntil = new Map<string, number>();
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
  exempt(hosts: readonly string[]): () => void {
    hosts.forEach((host) => this.exemptUntil.set(host, Infinity));
    return () => {
      const until = performance.now() + CONTACT_MILLISECONDS;
      hosts.forEach((host) => this.exemptUntil.set(host, until));
    };
  }

  /** Checks all gateways at an interval until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await Promise.all(
        this.options.gatewayHosts.flatMap((host) => [
          this.checkGateway(host),
          this.checkSeen(host),
        ]),
      );
      await new Promise((resolve) => setTimeout(resolve, CHECK_PAUSE_MILLISECONDS));
    }
  }

  private async checkGateway(host: string): Promise<void> {
    const due = this.newestDue;
    if (due === undefined || !this.isInContact(host)) {
      return;
    }
    const added = await this.requestStatus(host, due.added);
    const dropped =
      due.dropped.length === 0 ? 0 : await this.requestStatus(host, due.dropped.at(-1)!);
    if (!this.isInContact(host) || due.version < (this.newestDue?.version ?? 0)) {
      return;
    }
    this.completedChecks += 1;
    const age = Math.round(performance.now() - due.at);
    if (added === NOT_FOUND && !this.isDroppedAfter(due)) {
      this.violate(
        `gateway ${host} does not serve route ${due.added}, added by version ${due.version} ${age} ms ago`,
      );
    }
    if (dropped === OK) {
      const route = due.dropped.at(-1)!;
      this.violate(
        `gateway ${host} still serves route ${route}, dropped by version ${due.version} ${age} ms ago`,
      );
    }
  }

  /** Checks that a gateway serves no older configuration than it did, and notes the newest that it serves. */
  private async checkSeen(host: string): Promise<void> {
    const { lifeOf = () => 0 } = this.options;
    const life = lifeOf(host);
    const newest = this.changes.at(-1);
    const own = this.seen.get(host);
    const newestSeen = [...this.seen.values()].reduce<SeenVersion | undefined>(
      (best, each) => ((best?.change.version ?? 0) < each.change.version ? each : best),
      undefined,
    );
    const expected = own?.life === life ? own : newestSeen;
    if (expected !== undefined) {
      const status = await this.requestStatus(host, expected.change.added);
      this.countLook(host, status, expected, own, life);
    }
    if (newest === undefined) {
      return;
    }
    const status = await this.requestStatus(host, newest.added);
    if (status === OK && life === lifeOf(host)) {
      this.seen.set(host, { change: newest, life });
    }
  }

  private countLook(
    host: string,
    status: number,
    { change }: SeenVersion,
    own: SeenVersion | undefined,
    life: number | undefined,
  ): void {
    const { lifeOf = () => 0 } = this.options;
    if (status === 0 || life !== lifeOf(host) || this.isDroppedAfter(change)) {
      return;
    }
    this.versionLooks.looks += 1;
    if (status !== NOT_FOUND) {
      return;
    }
    if (own?.life === life) {
      this.versionLooks.olderInLife += 1;
      this.violate(`gateway ${host} no longer serves route ${change.added}, which it served`);
    } else {
      this.versionLooks.olderAfterStart += 1;
    }
  }

  /** Whether a newer acknowledged change drops the route; a gateway may apply that change before its bound. */
  private isDroppedAfter({ version, added }: AcknowledgedChange): boolean {
    return this.changes.some(
      (change) => change.version > version && change.dropped.includes(added),
    );
  }

  private get newestDue(): AcknowledgedChange | undefined {
    const since = performance.now() - SOAK_APPLY_MILLISECONDS;
    return this.changes.findLast(({ at }) => at <= since);
  }

  private violate(detail: string): void {
    this.options.violate('configuration', detail);
  }

  /** Whether a gateway is not exempt because of a recent fault. */
  isInContact(host: string): boolean {
    return performance.now() >= (this.exemptUntil.get(host) ?? 0);
  }

  /** Requests a route; resolves to the response status, or 0 without a response. */
  private requestStatus(host: string, route: string): Promise<number> {
    this.requestCount += 1;
    const headers = {
      host: SOAK_HOST,
      [NAMES.requestId]: `look-${host}-${this.requestCount}`,
      [NAMES.timeout]: String(RESPONSE_TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
    };
    return new Promise((resolve) => {
      const target = { host, port: SOAK_PORTS.front, path: `/${route}/look`, headers };
      const client = httpRequest({ ...target, agent: false }, (response) => {
        response.resume();
        response.on('error', () => resolve(0));
        resolve(response.statusCode ?? 0);
      });
      client.setTimeout(RESPONSE_TIMEOUT_MILLISECONDS, () => client.destroy());
      client.on('error', () => resolve(0));
      client.on('close', () => resolve(0));
      client.end();
    });
  }
}
