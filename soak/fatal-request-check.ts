/**
 * Checks requests that end the runner that runs them, while their clients ask again at other gateways under other ids and
 * other clients send ordinary requests, beside runners that crash by chance: no more than a few runners end under one
 * request, and no ordinary request is refused for it.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { StandInStore } from '../platform/stand-in/store-server.js';
import type { FatalEffect } from '../src/emulator/fatal-effect.js';
import type { RelayRunner, RunnerRun } from '../src/emulator/relay-runner.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_PORTS } from './platform-process.js';
import { RestartingRunners } from './restarting-runners.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Service whose runners end, and its routes by their kind. */
export const BRITTLE_SERVICE = 'brittle';
export const BRITTLE_ROUTES = {
  repeatable: 'brittle-repeatable',
  resumable: 'brittle-resumable',
  once: 'brittle-once',
  broken: 'brittle-broken',
} as const;
/** Runners that one request may end, over all tries of all clients. */
export const MAXIMUM_ENDED_RUNNERS = 3;

const RUNNERS = 14;
/** First address, beyond those of the other runners. */
const FIRST_ADDRESS = 205;
const EVENTS = 8;
const EVENT_MILLISECONDS = 8;
const ORDINARY_CLIENTS = 12;
const ORDINARY_PAUSE_MILLISECONDS = 30;
/** Share of the ordinary requests that are all alike. */
const COMMON_SHARE = 0.25;
/** The same share where one request is popular. */
const POPULAR_SHARE = 0.5;
const COMMON_ITEM = 'common';
const ORDINARY_TRIES = 3;
const FATAL_TRIES = 5;
const TRY_PAUSE_MILLISECONDS = 250;
/** Share of the tries that follow the one before at once. */
const PROMPT_SHARE = 0.3;
/** Pause between two fatal requests, or groups of them, in milliseconds. */
const FATAL_PAUSE_MILLISECONDS = 2_500;
const MAXIMUM_GROUP = 3;
const CRASH_PAUSE_MILLISECONDS = 1_500;
const CRASHES_AT_ONCE = 3;
const POLL_MILLISECONDS = 50;
/** Time in which a change of the list of runners is known everywhere. */
const LISTED_MILLISECONDS = 1_200;
const TIMEOUT_MILLISECONDS = 2_000;
/** Time after which a client gives up, beyond the time that it allows. */
const LATE_ANSWER_MILLISECONDS = 500;
/** Effects of fatal requests; those that are answered whole show nothing against their request. */
const EFFECTS: readonly FatalEffect[] = [
  'crash',
  'crash',
  'crashMidway',
  'crashLate',
  'freeze',
  'dark',
];
/** Effect that clients do not wait for, and the time after which they leave, in milliseconds. */
const LATE_EFFECT: FatalEffect = 'crashLate';
const LATE_LEAVE_MILLISECONDS = 80;
/** Share of the ordinary tries whose client leaves early, and the longest time after which it does, in milliseconds. */
const IMPATIENT_SHARE = 0.2;
const IMPATIENT_MILLISECONDS = 60;
/** Text by which a gateway explains that it refuses a request since runners ended under it. */
const SUSPECTED_TEXT = /runners (have )?ended/;
const OK = 200;
const MILLISECONDS_IN_DAY = 86_400_000;
const UNAVAILABLE = 503;

/** Kind of a request. */
export type RouteKind = keyof typeof BRITTLE_ROUTES;

/** Dependencies of the check. */
export interface FatalRequestCheckOptions {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  readonly zones: readonly string[];
  readonly store: StandInStore;
  /** Returns the address of a runner. */
  readonly addressOf: (number: number) => string;
  readonly violate: (promise: string, detail: string) => void;
  /** Effects of the fatal requests. @default crashes at the start and midway, and runners that stand still */
  readonly effects?: readonly FatalEffect[];
  /** Whether runners also crash by chance. @default true */
  readonly crashesByChance?: boolean;
}

/** Counts of the check. */
export interface FatalRequestCounts {
  /** Fatal requests, and the runners that ended under all of them. */
  fatal: number;
  endedRunners: number;
  /** Largest number of runners that ended under one request. */
  mostEnded: number;
  /** Fatal requests that arrived at a runner after as many had ended under them as may. */
  sentOn: number;
  /** Runners that crashed by chance. */
  crashes: number;
  /** Ordinary requests that may be repeated or resumed, and those of them that were served, with tries of their client. */
  repeatable: number;
  repeatableServed: number;
  /** Ordinary requests that run once, and those of them that were served. */
  once: number;
  onceServed: number;
  /** Ordinary requests that were refused since as many runners had ended under them as may, by chance or beside others. */
  unlucky: number;
}

/** How a client asks again. */
export interface AskingPace {
  readonly tries: number;
  /** Pause after each try, in milliseconds. */
  readonly pauseMilliseconds: () => number;
  /** Time after which the client leaves, in milliseconds. @default it waits for an answer */
  readonly leaveMilliseconds?: number;
  /** Whether the request looks like one that many clients send: only the ids of its tries tell what it does. */
  readonly looksCommon?: boolean;
  /** Further headers of a try. */
  readonly headers?: (tries: number) => Record<string, string>;
  /** Called when a try is sent, with the number of earlier ones and its gateway. */
  readonly onTry?: (tries: number, host: string) => void;
}

/** What a client received in one try. */
export interface TryResult {
  readonly status: number;
  readonly body: string;
  readonly complete: boolean;
}

/** How one try differs from others. */
interface SendOptions {
  readonly requestId?: string;
  readonly lastEvent?: string | undefined;
  readonly headers?: Record<string, string>;
  /** Time after which the client leaves, in milliseconds. */
  readonly leaveMilliseconds?: number | undefined;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function lastEventOf(text: string): string | undefined {
  return [...text.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)].at(-1)?.[1];
}

/** Sends fatal and ordinary requests, and counts the runners that end. */
export class FatalRequestCheck {
  readonly counts: FatalRequestCounts = {
    fatal: 0,
    endedRunners: 0,
    mostEnded: 0,
    sentOn: 0,
    crashes: 0,
    repeatable: 0,
    repeatableServed: 0,
    once: 0,
    onceServed: 0,
    unlucky: 0,
  };
  private readonly runners: RestartingRunners;
  /** Subjects of the fatal requests by the ids of their tries. */
  private readonly subjectsById = new Map<string, string>();
  /** Runners that ended under a fatal request, by its subject. */
  private readonly ended = new Map<string, Set<string>>();
  /** Number of runners that ended while an ordinary request was there, by its item. */
  private readonly endedBeside = new Map<string, number>();
  /** What happened to each fatal request, for the report of a violation. */
  private readonly histories = new Map<string, string[]>();
  /** Numbers of such arrivals by subject. */
  private readonly sentOn = new Map<string, number>();
  private requests = 0;

  constructor(private readonly options: FatalRequestCheckOptions) {
    const { zones, store, addressOf } = options;
    this.runners = new RestartingRunners({
      service: BRITTLE_SERVICE,
      count: RUNNERS,
      zones,
      store,
      addressOf: (place) => addressOf(FIRST_ADDRESS + place),
      onArrival: (requestId) => this.noteArrival(requestId),
      onFatal: (runner, run) => this.noteEnded(runner, run),
      onEnd: (paths) => this.noteBeside(paths),
      eventCount: EVENTS,
      eventMilliseconds: EVENT_MILLISECONDS,
    });
  }

  /** Starts the runners. */
  async start(): Promise<void> {
    await this.runners.start();
  }

  /** Stops the runners. */
  async stop(): Promise<void> {
    await this.runners.stop();
  }

  /** Resolves once all runners are up and listed for long enough that the gateways use them. */
  async untilAllUp(): Promise<void> {
    while (this.runners.liveRunners.length < RUNNERS) {
      await sleep(POLL_MILLISECONDS);
    }
    await sleep(LISTED_MILLISECONDS);
  }

  /** Names a new fatal request. */
  nameSubject(): string {
    this.counts.fatal += 1;
    const subject = String(this.counts.fatal);
    this.ended.set(subject, new Set());
    return subject;
  }

  /** Returns how many runners ended under a fatal request. */
  endedUnder(subject: string): number {
    return this.ended.get(subject)?.size ?? 0;
  }

  /** Sends requests until `isOver` returns true, then stops the runners. */
  async run(isOver: () => boolean): Promise<void> {
    const clients = Array.from({ length: ORDINARY_CLIENTS }, () => this.runOrdinary(isOver));
    const { crashesByChance = true } = this.options;
    const others = crashesByChance ? [this.crashByChance(isOver)] : [];
    await Promise.all([...clients, ...others, this.runFatal(isOver)]);
    await this.stop();
  }

  /** Returns how often a fatal request arrived at a runner after as many had ended under it as may. */
  sentOnAfterLimit(subject: string): number {
    return this.sentOn.get(subject) ?? 0;
  }

  /** Sends a fatal request, with all tries of its client, each at the next gateway. */
  async askFatal(
    kind: RouteKind,
    effect: FatalEffect,
    subject = this.nameSubject(),
    pace: Partial<AskingPace> = {},
  ): Promise<readonly TryResult[]> {
    const { random, gatewayHosts, violate } = this.options;
    const {
      tries: maximumTries = FATAL_TRIES,
      pauseMilliseconds = () => (random.uniform() < PROMPT_SHARE ? 0 : TRY_PAUSE_MILLISECONDS),
      leaveMilliseconds,
      looksCommon = false,
      headers = () => ({}),
      onTry = () => undefined,
    } = pace;
    const query = looksCommon ? `item=${COMMON_ITEM}` : `fatal=${effect}&subject=${subject}`;
    const results: TryResult[] = [];
    const first = random.integer(0, gatewayHosts.length - 1);
    let received = '';
    for (let tries = 0; tries < maximumTries; tries += 1) {
      const host = gatewayHosts[(first + tries) % gatewayHosts.length]!;
      const requestId = this.nextRequestId() + (looksCommon ? `-fatal-${effect}` : '');
      this.subjectsById.set(requestId, subject);
      this.note(subject, `try ${tries + 1} at ${host} as ${requestId}`);
      onTry(tries, host);
      const result = await this.send(host, kind, query, {
        requestId,
        lastEvent: lastEventOf(received),
        headers: headers(tries),
        leaveMilliseconds,
      });
      this.note(subject, `try ${tries + 1} got ${result.status}`);
      results.push(result);
      received += kind === 'resumable' ? result.body : '';
      if (result.status === OK && result.complete) {
        break;
      }
      await sleep(pauseMilliseconds());
    }
    const ended = this.endedUnder(subject);
    // Of a request that looks common, each call ends a runner that no other one could tell it from.
    const maximumEnded = MAXIMUM_ENDED_RUNNERS + (looksCommon ? results.length - 1 : 0);
    if (ended > maximumEnded) {
      const history = this.histories.get(subject)?.join('; ') ?? '';
      const detail = `request ${subject} (${kind}, ${effect}) ended ${ended} runners in ${results.length} tries: ${history}`;
      violate('ended runners', detail);
    }
    return results;
  }

  /** Sends ordinary requests that may be repeated, half of them alike, until a promise is settled. */
  async askCommonDuring(work: Promise<unknown>): Promise<void> {
    let isOver = false;
    const clients = Array.from({ length: ORDINARY_CLIENTS }, () =>
      this.runOrdinary(() => isOver, ['repeatable'], POPULAR_SHARE),
    );
    await work.finally(() => (isOver = true));
    await Promise.all(clients);
  }

  private noteArrival(requestId: string): void {
    const subject = this.subjectsById.get(requestId);
    if (subject !== undefined && this.endedUnder(subject) >= MAXIMUM_ENDED_RUNNERS) {
      this.counts.sentOn += 1;
      this.sentOn.set(subject, this.sentOnAfterLimit(subject) + 1);
    }
  }

  private noteBeside(paths: readonly string[]): void {
    const items = paths.flatMap((path) => /item=(\w+)/.exec(path)?.[1] ?? []);
    new Set(items).forEach((item) =>
      this.endedBeside.set(item, (this.endedBeside.get(item) ?? 0) + 1),
    );
  }

  private note(subject: string, text: string): void {
    const lines = this.histories.get(subject) ?? [];
    this.histories.set(subject, [...lines, `${Date.now() % MILLISECONDS_IN_DAY} ${text}`]);
  }

  private noteEnded(runner: RelayRunner, { requestId }: RunnerRun): void {
    const subject = this.subjectsById.get(requestId) ?? '';
    this.note(subject, `${runner.id} ends under ${requestId}`);
    const runners = this.ended.get(subject);
    runners?.add(runner.id);
    this.counts.endedRunners += 1;
    this.counts.mostEnded = Math.max(this.counts.mostEnded, runners?.size ?? 0);
  }

  private async runFatal(isOver: () => boolean): Promise<void> {
    const { random, effects = EFFECTS } = this.options;
    const kinds = Object.keys(BRITTLE_ROUTES) as RouteKind[];
    while (!isOver()) {
      await sleep(random.uniform() * FATAL_PAUSE_MILLISECONDS);
      const group = Array.from({ length: random.integer(1, MAXIMUM_GROUP) }, () =>
        this.askAny(random.pick(kinds), random.pick(effects)),
      );
      await Promise.all(group);
    }
  }

  /** Sends a fatal request; the client does not wait for an effect that comes late, but for its next try. */
  private askAny(kind: RouteKind, effect: FatalEffect): Promise<unknown> {
    const isLate = effect === LATE_EFFECT;
    const pauseMilliseconds = (): number => TRY_PAUSE_MILLISECONDS;
    const pace = isLate ? { leaveMilliseconds: LATE_LEAVE_MILLISECONDS, pauseMilliseconds } : {};
    return this.askFatal(kind, effect, this.nameSubject(), pace);
  }

  private async crashByChance(isOver: () => boolean): Promise<void> {
    const { random } = this.options;
    while (!isOver()) {
      await sleep((0.5 + random.uniform()) * CRASH_PAUSE_MILLISECONDS);
      const count = random.uniform() < 0.5 ? 1 : CRASHES_AT_ONCE;
      for (let index = 0; index < count; index += 1) {
        const { liveRunners } = this.runners;
        if (liveRunners.length > RUNNERS / 2) {
          this.counts.crashes += 1;
          this.runners.crash(random.pick(liveRunners));
        }
      }
    }
  }

  private async runOrdinary(
    isOver: () => boolean,
    kinds = Object.keys(BRITTLE_ROUTES) as RouteKind[],
    commonShare = COMMON_SHARE,
  ): Promise<void> {
    const { random } = this.options;
    while (!isOver()) {
      await this.askOrdinary(random.pick(kinds), commonShare);
      await sleep(random.uniform() * ORDINARY_PAUSE_MILLISECONDS);
    }
  }

  private async askOrdinary(kind: RouteKind, commonShare: number): Promise<void> {
    const { random, gatewayHosts, violate } = this.options;
    const { counts } = this;
    const mayRepeat = kind === 'repeatable' || kind === 'resumable';
    const item = random.uniform() < commonShare ? COMMON_ITEM : String(this.requests);
    let received = '';
    let isServed = false;
    for (let tries = 0; tries < (mayRepeat ? ORDINARY_TRIES : 1) && !isServed; tries += 1) {
      const host = random.pick(gatewayHosts);
      const lastEvent = lastEventOf(received);
      const leaveMilliseconds =
        random.uniform() < IMPATIENT_SHARE ? random.uniform() * IMPATIENT_MILLISECONDS : undefined;
      const result = await this.send(host, kind, `item=${item}`, { lastEvent, leaveMilliseconds });
      received += kind === 'resumable' ? result.body : '';
      isServed = result.status === OK && result.complete;
      if (result.status === UNAVAILABLE && SUSPECTED_TEXT.test(result.body)) {
        const ended = this.endedBeside.get(item) ?? 0;
        if (item !== COMMON_ITEM && ended >= MAXIMUM_ENDED_RUNNERS) {
          counts.unlucky += 1;
        } else {
          const detail = `item ${item} (${kind}) was refused after ${ended} ended runners: ${result.body}`;
          violate('innocent request', detail);
        }
      }
    }
    counts[mayRepeat ? 'repeatable' : 'once'] += 1;
    counts[mayRepeat ? 'repeatableServed' : 'onceServed'] += isServed ? 1 : 0;
  }

  private nextRequestId(): string {
    this.requests += 1;
    return `brittle-${this.requests}`;
  }

  private send(
    host: string,
    kind: RouteKind,
    query: string,
    {
      requestId = this.nextRequestId(),
      lastEvent,
      headers: more = {},
      leaveMilliseconds = TIMEOUT_MILLISECONDS + LATE_ANSWER_MILLISECONDS,
    }: SendOptions,
  ): Promise<TryResult> {
    const isStream = kind === 'resumable' || kind === 'broken';
    const headers = {
      host: SOAK_HOST,
      'content-length': '0',
      [NAMES.requestId]: requestId,
      [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
      ...(lastEvent === undefined ? {} : { [NAMES.lastEventId]: lastEvent }),
      ...more,
    };
    const path = `/${BRITTLE_ROUTES[kind]}/work?${isStream ? 'stream&' : ''}${query}`;
    return new Promise((resolve) => {
      const options = { host, port: SOAK_PORTS.front, path, method: 'POST', headers };
      let body = '';
      const client = httpRequest({ ...options, agent: false }, (response) => {
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => (body += chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          resolve({ status: response.statusCode ?? 0, body, complete: response.complete });
        });
      });
      const timer = setTimeout(() => client.destroy(), leaveMilliseconds);
      client.on('error', () => {
        clearTimeout(timer);
        resolve({ status: 0, body, complete: false });
      });
      client.end();
    });
  }
}
