/**
 * Checks streams that clients resume while runners of several software versions serve in one service and are released one
 * after another: a stream gets events of one version, and resumptions succeed at gateways that no recent fault affects.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { StandInStore } from '../platform/stand-in/store-server.js';
import { RUNNER_PREFIX } from '../platform/store-keys.js';
import { RelayRunner } from '../src/emulator/relay-runner.js';
import type { RunnerBehaviour } from '../src/emulator/relay-runner.js';
import { BREAKING_BEHAVIOURS } from '../src/emulator/unframed-answer.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_APPLY_MILLISECONDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Service and route of the streams that are resumed. */
export const VERSIONED_SERVICE = 'minds';
export const RESUMABLE_ROUTE = 'resumable';
const VERSIONS = ['v1', 'v2', 'v3'];
const RUNNERS_PER_VERSION = 3;
const RUNNER_PORT = 18081;
/** Addresses that are used in turn, beyond those of the other runners. */
const FIRST_ADDRESS = 100;
const ADDRESSES = 100;
const EVENTS = 8;
const EVENT_MILLISECONDS = 15;
const CLIENTS = 4;
const MAXIMUM_TRIES = 3;
const TIMEOUT_MILLISECONDS = 3_000;
/** How runners cut off their answers. */
const CUTS: readonly RunnerBehaviour[] = ['cutOff', ...BREAKING_BEHAVIOURS];
/** Shares of the runs that their runner cuts off, and of the streams that their client leaves. */
const CUT_SHARE = 0.15;
const LEAVE_SHARE = 0.35;
const RELEASE_MILLISECONDS = 4_000;
/** Time from the last runner of a new version to the first that leaves, and from its notice to its end. */
const OVERLAP_MILLISECONDS = 1_500;
const DRAIN_MILLISECONDS = 3_000;
/** Longest pause before a client resumes, in milliseconds; a few wait much longer. */
const PAUSE_MILLISECONDS = 80;
const LATE_SHARE = 0.05;
const LATE_MILLISECONDS = 5_000;
/** Number of due resumptions from which on the share that succeeds is checked. */
export const MINIMUM_RESUMPTIONS = 12;
const MINIMUM_SHARE = 0.5;
const OK = 200;

/** Dependencies of the check. */
export interface StreamVersionCheckOptions {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  readonly zones: readonly string[];
  readonly store: StandInStore;
  /** Returns the address of a runner. */
  readonly addressOf: (number: number) => string;
  /** Whether no recent fault affects a gateway, or any replica. */
  readonly isInContact: (host: string) => boolean;
  readonly areReplicasInContact: () => boolean;
  readonly violate: (promise: string, detail: string) => void;
  /** Whether versions are released while the check runs. @default true */
  readonly releasesVersions?: boolean;
}

/** Counts of resumed streams. */
export interface ResumptionCounts {
  streams: number;
  resumptions: number;
  resumed: number;
  /** Resumptions that count towards the share that must succeed, and those of them that did. */
  due: number;
  dueResumed: number;
}

interface VersionedRunner {
  readonly runner: RelayRunner;
  readonly version: string;
  readonly host: string;
  readonly zone: string;
  /** Local time since which all gateways in contact use it; Infinity once it leaves. */
  usableSince: number;
}

interface ReceivedEvent {
  readonly id: number;
  readonly version: string;
}

interface TryResult {
  readonly status: number;
  readonly events: readonly ReceivedEvent[];
  readonly complete: boolean;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function eventsOf(text: string): ReceivedEvent[] {
  const events = text.matchAll(/^id: (\d+)\ndata: event \d+ by (\S+)\n\n/gm);
  return [...events].map(([, id, version]) => ({ id: Number(id), version: version! }));
}

/** Runs runners of several versions, releases them, and resumes streams. */
export class StreamVersionCheck {
  readonly counts: ResumptionCounts = {
    streams: 0,
    resumptions: 0,
    resumed: 0,
    due: 0,
    dueResumed: 0,
  };
  private runners: VersionedRunner[] = [];
  private startedRunners = 0;
  private requests = 0;
  private releases = 0;

  constructor(private readonly options: StreamVersionCheckOptions) {}

  /** Starts the runners of the first two versions. */
  async start(): Promise<void> {
    await this.startRunners(VERSIONS[0]!);
    await this.startRunners(VERSIONS[1]!);
    this.releases = 1;
  }

  /** Resumes streams and releases versions until `isOver` returns true, then stops the runners. */
  async run(isOver: () => boolean): Promise<void> {
    const clients = Array.from({ length: CLIENTS }, () => this.runClient(isOver));
    const { releasesVersions = true } = this.options;
    await Promise.all(releasesVersions ? [...clients, this.release(isOver)] : clients);
    await Promise.all(this.runners.map(({ runner }) => runner.crash()));
    this.checkShare();
  }

  private async startRunners(version: string): Promise<void> {
    for (let index = 0; index < RUNNERS_PER_VERSION; index += 1) {
      const number = FIRST_ADDRESS + (this.startedRunners % ADDRESSES);
      this.startedRunners += 1;
      const { zones, addressOf } = this.options;
      const runner = new RelayRunner({
        id: `minds-${this.startedRunners}`,
        names: NAMES,
        softwareVersion: version,
        eventCount: EVENTS,
        pauseMilliseconds: EVENT_MILLISECONDS,
      });
      const host = addressOf(number);
      await runner.listen(RUNNER_PORT, host);
      const usableSince = performance.now() + SOAK_APPLY_MILLISECONDS;
      const zone = zones[index % zones.length]!;
      const versioned = { runner, version, host, zone, usableSince };
      this.runners.push(versioned);
      this.list(versioned, 'ready');
    }
  }

  private list({ runner, version, host, zone }: VersionedRunner, state: string): void {
    this.options.store.put(RUNNER_PREFIX + runner.id, {
      Service: VERSIONED_SERVICE,
      Address: `${host}:${RUNNER_PORT}`,
      Zone: zone,
      Version: version,
      Slots: 8,
      State: state,
    });
  }

  /** Starts the runners of the next version, then lets those of the oldest leave. */
  private async release(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await sleep(RELEASE_MILLISECONDS);
      const leaving = this.runners.filter(({ version }) => version === this.runners[0]!.version);
      this.releases += 1;
      await this.startRunners(VERSIONS[this.releases % VERSIONS.length]!);
      await sleep(OVERLAP_MILLISECONDS);
      for (const runner of leaving) {
        runner.usableSince = Infinity;
        this.list(runner, 'draining');
      }
      await sleep(DRAIN_MILLISECONDS);
      this.runners = this.runners.filter((runner) => !leaving.includes(runner));
      leaving.forEach(({ runner }) => this.options.store.remove(RUNNER_PREFIX + runner.id));
      await Promise.all(leaving.map(({ runner }) => runner.crash()));
    }
  }

  private async runClient(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.runStream();
      await sleep(this.options.random.uniform() * PAUSE_MILLISECONDS);
    }
  }

  private async runStream(): Promise<void> {
    const { random, gatewayHosts, violate } = this.options;
    this.counts.streams += 1;
    let first: string | undefined;
    const received: ReceivedEvent[] = [];
    for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
      const host = random.pick(gatewayHosts);
      const isDue = first !== undefined && this.isDue(host, received);
      this.requests += 1;
      const id = `resumed-${this.requests}`;
      const result = await this.send(host, id, first, received.at(-1)?.id);
      if (first !== undefined) {
        this.countResumption(result, isDue && this.options.isInContact(host));
      }
      first ??= result.events.length > 0 ? id : undefined;
      received.push(...result.events);
      const versions = new Set(received.map(({ version }) => version));
      if (versions.size > 1) {
        violate('one version', `stream ${first} holds events of ${[...versions].join(', ')}`);
      }
      if (received.some((event, index) => event.id !== index + 1)) {
        const ids = received.map((event) => event.id).join(',');
        violate('whole answer', `stream ${first} has the events ${ids}`);
      }
      if (result.complete && result.status === OK) {
        if (received.length !== EVENTS) {
          violate(
            'whole answer',
            `stream ${first} ended as complete after ${received.length} events`,
          );
        }
        return;
      }
      const isLate = random.uniform() < LATE_SHARE;
      await sleep(random.uniform() * (isLate ? LATE_MILLISECONDS : PAUSE_MILLISECONDS));
    }
  }

  /** Whether a resumption counts towards the share that must succeed. */
  private isDue(host: string, [event]: readonly ReceivedEvent[]): boolean {
    const usable = this.runners.filter(
      ({ version, usableSince }) => version === event?.version && performance.now() >= usableSince,
    );
    const { isInContact, areReplicasInContact } = this.options;
    return usable.length >= 2 && isInContact(host) && areReplicasInContact();
  }

  private countResumption({ status, events }: TryResult, isDue: boolean): void {
    const { counts } = this;
    const goesOn = status === OK && events.length > 0;
    counts.resumptions += 1;
    counts.resumed += goesOn ? 1 : 0;
    counts.due += isDue ? 1 : 0;
    counts.dueResumed += isDue && goesOn ? 1 : 0;
  }

  private checkShare(): void {
    const { due, dueResumed } = this.counts;
    if (due >= MINIMUM_RESUMPTIONS && dueResumed < MINIMUM_SHARE * due) {
      this.options.violate('resumption', `${dueResumed} of ${due} streams went on`);
    }
  }

  private send(
    host: string,
    id: string,
    resumes: string | undefined,
    lastEvent: number | undefined,
  ): Promise<TryResult> {
    const { random } = this.options;
    const leavesAfter =
      random.uniform() < LEAVE_SHARE ? random.integer(1, EVENTS - 1) : Number.POSITIVE_INFINITY;
    if (random.uniform() < CUT_SHARE) {
      random.pick(this.runners).runner.behaviours.push(random.pick(CUTS));
    }
    const headers = {
      host: SOAK_HOST,
      'content-length': '0',
      [NAMES.requestId]: id,
      [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
      ...(resumes === undefined ? {} : { [NAMES.resumes]: resumes }),
      ...(lastEvent === undefined ? {} : { [NAMES.lastEventId]: String(lastEvent) }),
    };
    const path = `/${RESUMABLE_ROUTE}/work?stream`;
    return new Promise((resolve) => {
      const options = { host, port: SOAK_PORTS.front, path, method: 'POST', headers };
      let text = '';
      let hasLeft = false;
      const client = httpRequest({ ...options, agent: false }, (response) => {
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
          if (eventsOf(text).length >= leavesAfter) {
            hasLeft = true;
            client.destroy();
          }
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          const { statusCode: status = 0 } = response;
          // The end may have arrived with the event after which the client left, unread.
          const complete = response.complete && !hasLeft;
          resolve({ status, complete, events: eventsOf(text) });
        });
      });
      const timer = setTimeout(() => client.destroy(), TIMEOUT_MILLISECONDS + 500);
      client.on('error', () => {
        clearTimeout(timer);
        resolve({ status: 0, complete: false, events: eventsOf(text) });
      });
      client.end();
    });
  }
}
