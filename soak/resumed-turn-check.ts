/**
 * Checks turns that are retained and may be resumed: each of their clients leaves some of its streams, or loses its gateway, and resumes
 * them at any gateway. A turn that was received whole must reach the runner of the next turn whole.
 */
import { request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { RelayRunner } from '../src/emulator/relay-runner.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_GATEWAY_HEADER } from './evacuation-check.js';
import { SOAK_PORTS } from './platform-process.js';
import { SOAK_HOST, SOAK_KEY } from './soak-client.js';

/** Route that retains its turns, and lets clients resume them. */
export const RESUMABLE_TURN_ROUTE = 'resumable-turns';

const CLIENTS = 4;
const TURNS = 5;
const TRIES = 6;
const EVENTS = 8;
const TIMEOUT_MILLISECONDS = 3_000;
/** Share of the tries that their client leaves after some events, and of the turns that it names when it resumes them. */
const LEAVE_SHARE = 0.5;
const NAMED_SHARE = 0.6;
/** Longest pause before a try, in milliseconds. */
const PAUSE_MILLISECONDS = 150;
const OK = 200;
const NOT_FOUND = 404;

/** Dependencies of the check. */
export interface ResumedTurnCheckOptions {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  /** Every runner started so far, including crashed ones. */
  readonly runners: readonly RelayRunner[];
  readonly violate: (promise: string, detail: string) => void;
}

/** Counts of turns. */
export interface ResumedTurnCounts {
  /** Turns that were received whole. */
  whole: number;
  /** Those of them that took several requests. */
  resumed: number;
  /** Resumptions that were refused. */
  refused: number;
}

/** A conversation so far. */
interface Conversation {
  /** Id of the last turn that was received whole; empty before the first. */
  readonly lastTurn: string;
  /** What the runner of the next turn must get before its input. */
  readonly chain: string;
}

/** A turn that is sent until it has been received whole. */
interface TurnInProgress {
  readonly conversation: Conversation;
  readonly input: string;
  readonly isNamed: boolean;
  readonly received: number[];
  /** Request whose answer brought the first event. */
  first: string | undefined;
}

interface TryResult {
  readonly status: number;
  readonly events: readonly number[];
  readonly complete: boolean;
}

function eventsOf(text: string): number[] {
  return [...text.matchAll(/^id: (\d+)\ndata: event \d+\n\n/gm)].map((match) => Number(match[1]));
}

/** Runs conversations whose turns are resumed. */
export class ResumedTurnCheck {
  readonly counts: ResumedTurnCounts = { whole: 0, resumed: 0, refused: 0 };
  private requestCount = 0;

  constructor(private readonly options: ResumedTurnCheckOptions) {}

  /** Runs conversations until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    await Promise.all(Array.from({ length: CLIENTS }, () => this.runClient(isOver)));
  }

  private async runClient(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      let conversation: Conversation | undefined = { lastTurn: '', chain: '' };
      for (let turn = 0; turn < TURNS && conversation !== undefined && !isOver(); turn += 1) {
        conversation = await this.runTurn(conversation);
      }
    }
  }

  /** Sends a turn until it was received whole; undefined if it never was. */
  private async runTurn(conversation: Conversation): Promise<Conversation | undefined> {
    const { random, violate } = this.options;
    const input = `in ${this.requestCount} of ${random.uniform()};`;
    const isNamed = random.uniform() < NAMED_SHARE;
    const turn: TurnInProgress = { conversation, input, isNamed, received: [], first: undefined };
    for (let tries = 1; tries <= TRIES; tries += 1) {
      this.requestCount += 1;
      const id = `resumed-turn-${this.requestCount}`;
      const isResumption = turn.received.length > 0;
      const result = await this.send(id, turn);
      this.checkRun(id, turn);
      this.checkFound(turn, result);
      this.counts.refused += isResumption && result.status !== OK && result.status !== 0 ? 1 : 0;
      turn.first ??= result.events.length > 0 ? id : undefined;
      turn.received.push(...result.events);
      if (turn.received.some((event, index) => event !== index + 1)) {
        violate('whole answer', `turn ${id} has the events ${turn.received.join(',')}`);
        return undefined;
      }
      if (result.status === OK && result.complete) {
        return this.finishTurn(id, turn, tries);
      }
      await new Promise((resolve) => setTimeout(resolve, random.uniform() * PAUSE_MILLISECONDS));
    }
    return undefined;
  }

  private finishTurn(id: string, turn: TurnInProgress, tries: number): Conversation | undefined {
    const { received, conversation, input } = turn;
    if (received.length !== EVENTS) {
      const detail = `turn ${id} ended as complete after ${received.length} events`;
      this.options.violate('whole answer', detail);
      return undefined;
    }
    this.counts.whole += 1;
    this.counts.resumed += tries > 1 && turn.first !== id ? 1 : 0;
    const output = received.map((event) => `event ${event}\n`).join('');
    return { lastTurn: id, chain: conversation.chain + input + output };
  }

  /** Checks that the runner got the whole conversation so far. */
  private checkRun(id: string, { conversation, input }: TurnInProgress): void {
    const runs = this.options.runners.flatMap((runner) =>
      runner.runs.filter((run) => run.requestId === id),
    );
    const wrong = runs.find(({ body }) => body !== conversation.chain + input);
    if (wrong !== undefined) {
      const detail = `request ${id} ran with ${wrong.body.length} bytes in place of ${conversation.chain.length + input.length}`;
      this.options.violate('history', `${detail}, after ${conversation.lastTurn}`);
    }
  }

  private checkFound({ conversation }: TurnInProgress, { status }: TryResult): void {
    if (status === NOT_FOUND && conversation.lastTurn !== '') {
      const detail = `turn ${conversation.lastTurn} was received whole, but a continuation got 404`;
      this.options.violate('history', detail);
    }
  }

  private send(id: string, turn: TurnInProgress): Promise<TryResult> {
    const { random, gatewayHosts } = this.options;
    const host = random.pick(gatewayHosts);
    const leaveAfter =
      random.uniform() < LEAVE_SHARE ? random.integer(1, EVENTS) : Number.POSITIVE_INFINITY;
    const { first, isNamed, received, conversation, input } = turn;
    const lastEvent = received.at(-1);
    const headers = {
      host: SOAK_HOST,
      'content-length': String(Buffer.byteLength(input)),
      [SOAK_GATEWAY_HEADER]: host,
      [NAMES.requestId]: id,
      [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
      ...(conversation.lastTurn === '' ? {} : { [NAMES.previousTurn]: conversation.lastTurn }),
      ...(first === undefined || !isNamed ? {} : { [NAMES.resumes]: first }),
      ...(lastEvent === undefined ? {} : { [NAMES.lastEventId]: String(lastEvent) }),
    };
    const path = `/${RESUMABLE_TURN_ROUTE}/work?stream&events=${EVENTS}`;
    return new Promise((resolve) => {
      const options = { host, port: SOAK_PORTS.front, path, method: 'POST', headers };
      let text = '';
      let hasLeft = false;
      const client = httpRequest({ ...options, agent: false }, (response) => {
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
          if (eventsOf(text).length >= leaveAfter) {
            hasLeft = true;
            client.destroy();
          }
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          const { statusCode: status = 0 } = response;
          // The parser may have seen the end behind the event after which the client left.
          resolve({ status, events: eventsOf(text), complete: response.complete && !hasLeft });
        });
      });
      const timer = setTimeout(() => client.destroy(), TIMEOUT_MILLISECONDS + 500);
      client.on('error', () => {
        clearTimeout(timer);
        resolve({ status: 0, events: [], complete: false });
      });
      client.end(input);
    });
  }
}
