/**
 * Checks streams that clients resume while runners of several software versions and services serve: a stream gets events of one
 * version and one service, whole and in sequence over all its tries, and resumptions succeed at gateways that no recent fault affects.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { RunnerBehaviour } from '../src/emulator/relay-runner.js';
import { BREAKING_BEHAVIOURS } from '../src/emulator/unframed-answer.js';
import { SOAK_APPLY_MILLISECONDS, SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';
import {
  CALM_SERVICES,
  MOVABLE_ROUTE,
  RESUMABLE_EVENTS,
  RESUMABLE_ROUTE,
  VERSIONED_SERVICE,
  VersionedRunners,
} from './versioned-runners.js';
import type { VersionedRunnersOptions } from './versioned-runners.js';

const CLIENTS = 16;
/** Tries that reach a gateway; refused connections don't count. */
const MAXIMUM_TRIES = 5;
const TIMEOUT_MILLISECONDS = 3_000;
/** Time for which a client comes back while its connections are refused. */
const OUTLIVE_MILLISECONDS = 8_000;
const REFUSED_PAUSE_MILLISECONDS = 100;
/** Pause after an answer without an event, in milliseconds. */
const RETRY_MILLISECONDS = 400;
/** How runners cut off their answers. */
const CUTS: readonly RunnerBehaviour[] = ['cutOff', ...BREAKING_BEHAVIOURS];
/** Shares of the runs that their runner cuts off, and of the streams that their client leaves. */
const CUT_SHARE = 0.15;
const LEAVE_SHARE = 0.35;
/** Shares of the streams that their client names, and of those with the same content as others. */
const NAMED_SHARE = 0.5;
const SHARED_CONTENT_SHARE = 0.1;
/** Longest pause before a client resumes, in milliseconds; a few wait much longer. */
const PAUSE_MILLISECONDS = 80;
const LATE_SHARE = 0.05;
const LATE_MILLISECONDS = 5_000;
/** Number of due resumptions from which on the share that succeeds is checked. */
export const MINIMUM_RESUMPTIONS = 12;
const MINIMUM_SHARE = 0.5;
const OK = 200;

/** Dependencies of the check. */
export interface StreamVersionCheckOptions extends VersionedRunnersOptions {
  readonly gatewayHosts: readonly string[];
  /** Whether no recent fault affects a gateway, or any replica. */
  readonly isInContact: (host: string) => boolean;
  readonly areReplicasInContact: () => boolean;
  /** Whether a replica knows the streams of the last minute, so that unnamed ones can be distinguished. */
  readonly areStreamsKnown: () => boolean;
  readonly violate: (promise: string, detail: string) => void;
  /** Whether versions are released while the check runs. @default true */
  readonly releasesVersions?: boolean;
}

/** Resumptions that count towards the share that must succeed, and those of them that did. */
export interface DueCounts {
  due: number;
  resumed: number;
}

/** What became of streams that were resumed after a change. */
export interface OutcomeCounts {
  /** Streams with events of several versions or services. */
  joined: number;
  resumed: number;
  refused: number;
}

/** Counts of resumed streams. */
export interface ResumptionCounts extends DueCounts {
  streams: number;
  resumptions: number;
  /** Resumptions that went on, whether due or not. */
  wentOn: number;
  /** Streams with events of several versions of a service, and of several services. */
  joinedVersions: number;
  joinedServices: number;
  /** Streams that ended as complete before their last event. */
  endedEarly: number;
  /** Streams with events that are missing, repeated or before earlier ones. */
  outOfSequence: number;
  /** Due resumptions apart: named or unnamed, by the number of versions that serve. */
  readonly dueBy: Record<string, DueCounts>;
  /** Streams that were resumed after a change, by the change, and named or unnamed. */
  readonly outcomes: Record<string, OutcomeCounts>;
}

interface ReceivedEvent {
  readonly id: number;
  readonly origin: string;
}

interface TryResult {
  readonly status: number;
  readonly events: readonly ReceivedEvent[];
  readonly complete: boolean;
  /** Whether no process accepted the connection. */
  readonly isRefused: boolean;
}

/** A stream with all its tries. */
interface ResumedStream {
  readonly route: string;
  readonly path: string;
  readonly isNamed: boolean;
  readonly isShared: boolean;
  /** Request that brought the first event. */
  first: string | undefined;
  readonly received: ReceivedEvent[];
  /** Change since which the stream is resumed, and the events received before; undefined if there was none. */
  change: { readonly label: string; received?: number } | undefined;
  readonly violated: Set<string>;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function eventsOf(text: string): ReceivedEvent[] {
  const events = text.matchAll(/^id: (\d+)\ndata: event \d+ by (\S+)\n\n/gm);
  return [...events].map(([, id, origin]) => ({ id: Number(id), origin: origin! }));
}

function hasRefused(cause: unknown): boolean {
  return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED';
}

/** Runs runners of several versions and services, and resumes streams. */
export class StreamVersionCheck {
  readonly counts: ResumptionCounts = {
    streams: 0,
    resumptions: 0,
    wentOn: 0,
    due: 0,
    resumed: 0,
    joinedVersions: 0,
    joinedServices: 0,
    endedEarly: 0,
    outOfSequence: 0,
    dueBy: {},
    outcomes: {},
  };
  readonly runners: VersionedRunners;
  private requests = 0;
  private readonly streams = new Set<ResumedStream>();
  /** Service of the movable route, and the local time of its last move. */
  private movable: { readonly service: string; readonly since: number } = {
    service: CALM_SERVICES[0],
    since: -Infinity,
  };

  constructor(private readonly options: StreamVersionCheckOptions) {
    this.runners = new VersionedRunners(options);
  }

  /** Starts the runners. */
  async start(): Promise<void> {
    await this.runners.start();
  }

  /** Resumes streams and releases versions until `isOver` returns true, then stops the runners. */
  async run(isOver: () => boolean): Promise<void> {
    const clients = Array.from({ length: CLIENTS }, () => this.runClient(isOver));
    const { releasesVersions = true } = this.options;
    await Promise.all(releasesVersions ? [...clients, this.runners.release(isOver)] : clients);
    await this.runners.stop();
    this.checkShares();
  }

  /** Service of the movable route. */
  get movableService(): string {
    return this.movable.service;
  }

  /** Notes that the movable route moves to another service. */
  noteMove(service: string): void {
    this.movable = { service, since: performance.now() };
  }

  /**
   * Notes a change; what becomes of the unfinished streams is counted under its label.
   * @param route affected route; undefined if all are
   * @param otherLabel label for the streams of other routes; undefined if they are not counted
   */
  noteChange(label: string, route?: string, otherLabel?: string): void {
    for (const stream of this.streams) {
      const isAffected = route === undefined || stream.route === route;
      const own = isAffected ? label : otherLabel;
      if (own !== undefined) {
        stream.change ??= { label: own };
      }
    }
  }

  private async runClient(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const stream = this.createStream();
      this.streams.add(stream);
      await this.runStream(stream);
      this.streams.delete(stream);
      this.countOutcome(stream);
      await sleep(this.options.random.uniform() * PAUSE_MILLISECONDS);
    }
  }

  private createStream(): ResumedStream {
    const { random } = this.options;
    this.counts.streams += 1;
    const route = random.pick([RESUMABLE_ROUTE, MOVABLE_ROUTE]);
    const isShared = random.uniform() < SHARED_CONTENT_SHARE;
    return {
      route,
      path: `/${route}/${isShared ? 'shared' : `work-${this.counts.streams}`}?stream`,
      isNamed: random.uniform() < NAMED_SHARE,
      isShared,
      first: undefined,
      received: [],
      change: undefined,
      violated: new Set(),
    };
  }

  private async runStream(stream: ResumedStream): Promise<void> {
    const { random } = this.options;
    for (let tries = 0; tries < MAXIMUM_TRIES; tries += 1) {
      this.beginTry(stream);
      const isResumption = stream.first !== undefined;
      const { result, id, host, due } = await this.sendUntilAccepted(stream);
      if (isResumption) {
        this.countResumption(
          result,
          due !== undefined && this.options.isInContact(host) ? due : undefined,
        );
      }
      stream.first ??= result.events.length > 0 ? id : undefined;
      stream.received.push(...result.events);
      this.check(stream, result);
      if (result.complete && result.status === OK) {
        return;
      }
      const isLate = random.uniform() < LATE_SHARE;
      const pause = result.events.length === 0 ? RETRY_MILLISECONDS : PAUSE_MILLISECONDS;
      await sleep(random.uniform() * (isLate ? LATE_MILLISECONDS : pause));
    }
  }

  /** A stream without an event before a change is not resumed after it. */
  private beginTry(stream: ResumedStream): void {
    if (stream.change !== undefined && stream.change.received === undefined) {
      stream.change =
        stream.received.length === 0
          ? undefined
          : { ...stream.change, received: stream.received.length };
    }
  }

  /** Sends a request, and again for some seconds while its connection is refused. */
  private async sendUntilAccepted(
    stream: ResumedStream,
  ): Promise<{ result: TryResult; id: string; host: string; due: string | undefined }> {
    const { random, gatewayHosts } = this.options;
    const until = performance.now() + OUTLIVE_MILLISECONDS;
    for (;;) {
      const host = random.pick(gatewayHosts);
      const due = this.dueKindOf(stream, host);
      this.requests += 1;
      const id = `resumed-${this.requests}`;
      const result = await this.send(host, id, stream);
      if (!result.isRefused || performance.now() > until) {
        return { result, id, host, due };
      }
      await sleep(random.uniform() * REFUSED_PAUSE_MILLISECONDS);
    }
  }

  private check(stream: ResumedStream, result: TryResult): void {
    const { first, received } = stream;
    const origins = [...new Set(received.map(({ origin }) => origin))];
    const services = new Set(origins.map((origin) => origin.split('@')[1]));
    const kind = stream.isNamed ? 'named' : 'unnamed';
    if (services.size > 1) {
      this.violate(
        stream,
        'joinedServices',
        'one service',
        `holds events of ${origins.join(', ')}, ${kind}`,
      );
    } else if (origins.length > 1) {
      this.violate(
        stream,
        'joinedVersions',
        'one version',
        `holds events of ${origins.join(', ')}, ${kind}`,
      );
    }
    if (received.some((event, index) => event.id !== index + 1)) {
      const ids = received.map((event) => event.id).join(',');
      this.violate(stream, 'outOfSequence', 'whole answer', `has the events ${ids}`);
    }
    const isEnded = result.complete && result.status === OK;
    if (isEnded && received.length !== RESUMABLE_EVENTS) {
      const detail = `ended as complete after ${received.length} events`;
      this.violate(stream, 'endedEarly', 'whole answer', `${detail}, first ${first}`);
    }
  }

  /** Counts and reports a violation once a stream. */
  private violate(
    stream: ResumedStream,
    count: 'joinedVersions' | 'joinedServices' | 'endedEarly' | 'outOfSequence',
    promise: string,
    detail: string,
  ): void {
    if (!stream.violated.has(count)) {
      stream.violated.add(count);
      this.counts[count] += 1;
      this.options.violate(promise, `stream ${stream.first} ${detail}`);
    }
  }

  private countOutcome({ change, isNamed, received, violated }: ResumedStream): void {
    if (change?.received === undefined) {
      return;
    }
    const label = `${change.label}, ${isNamed ? 'named' : 'unnamed'}`;
    const counts = (this.counts.outcomes[label] ??= { joined: 0, resumed: 0, refused: 0 });
    if (violated.has('joinedVersions') || violated.has('joinedServices')) {
      counts.joined += 1;
    } else if (received.length > change.received || received.length === RESUMABLE_EVENTS) {
      counts.resumed += 1;
    } else {
      counts.refused += 1;
    }
  }

  /** Kind under which a resumption counts towards the share that must succeed; undefined if it need not. */
  private dueKindOf(stream: ResumedStream, host: string): string | undefined {
    const origin = stream.received[0]?.origin;
    const { isInContact, areReplicasInContact, areStreamsKnown } = this.options;
    const now = performance.now();
    const service = stream.route === MOVABLE_ROUTE ? this.movable.service : VERSIONED_SERVICE;
    const hasMoved =
      stream.route === MOVABLE_ROUTE && now - this.movable.since < SOAK_APPLY_MILLISECONDS;
    const serving = this.runners.servingAt(service);
    const usable = serving.filter(
      (runner) => runner.origin === origin && now >= runner.usableSince,
    );
    const isDue = usable.length >= 2 && !hasMoved && isInContact(host) && areReplicasInContact();
    const versions = new Set(serving.map(({ version }) => version)).size;
    const isKnown = stream.isNamed || (areStreamsKnown() && !(stream.isShared && versions > 1));
    if (!isDue || !isKnown) {
      return undefined;
    }
    return `${stream.isNamed ? 'named' : 'unnamed'}, ${versions > 1 ? 'several versions' : 'one version'}`;
  }

  private countResumption({ status, events }: TryResult, due: string | undefined): void {
    const { counts } = this;
    const goesOn = status === OK && events.length > 0 ? 1 : 0;
    counts.resumptions += 1;
    counts.wentOn += goesOn;
    if (due !== undefined) {
      const kind = (counts.dueBy[due] ??= { due: 0, resumed: 0 });
      for (const total of [counts, kind]) {
        total.due += 1;
        total.resumed += goesOn;
      }
    }
  }

  private checkShares(): void {
    const kinds = [['all', this.counts], ...Object.entries(this.counts.dueBy)] as const;
    for (const [name, { due, resumed }] of kinds) {
      if (due >= MINIMUM_RESUMPTIONS && resumed < MINIMUM_SHARE * due) {
        this.options.violate('resumption', `${resumed} of ${due} streams went on (${name})`);
      }
    }
  }

  private send(host: string, id: string, stream: ResumedStream): Promise<TryResult> {
    const { random } = this.options;
    const leavesAfter =
      random.uniform() < LEAVE_SHARE
        ? random.integer(1, RESUMABLE_EVENTS - 1)
        : Number.POSITIVE_INFINITY;
    if (random.uniform() < CUT_SHARE) {
      random.pick(this.runners.live).runner.behaviours.push(random.pick(CUTS));
    }
    const { first, path, isNamed } = stream;
    const lastEvent = stream.received.at(-1)?.id;
    const headers = {
      host: SOAK_HOST,
      'content-length': '0',
      [NAMES.requestId]: id,
      [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
      ...(first === undefined || !isNamed ? {} : { [NAMES.resumes]: first }),
      ...(lastEvent === undefined ? {} : { [NAMES.lastEventId]: String(lastEvent) }),
    };
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
          resolve({ status, complete, events: eventsOf(text), isRefused: false });
        });
      });
      const timer = setTimeout(() => client.destroy(), TIMEOUT_MILLISECONDS + 500);
      client.on('error', (cause) => {
        clearTimeout(timer);
        const isRefused = hasRefused(cause);
        resolve({ status: 0, complete: false, events: eventsOf(text), isRefused });
      });
      client.end();
    });
  }
}
