/** Load clients of the soak: send every kind of request and check each response against the platform's guarantees. */
import { request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { RelayRunner, RunnerRun } from '../src/emulator/relay-runner.js';
import type { RandomSource } from '../src/runtime/random.js';
import { SOAK_GATEWAY_HEADER } from './evacuation-check.js';
import { LONG_EVENT_BYTES, LONG_EVENTS, LONG_PATH, SlowReading } from './slow-reading.js';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import { SOAK_PORTS } from './platform-process.js';

/** Host name that all routes of the soak match. */
export const SOAK_HOST = 'soak.example';
/** Tenant under which the clients send, and its API key. */
export const SOAK_TENANT = 'soak';
export const SOAK_KEY = 'key-of-soak';
/** Events of each short stream, and tokens in each event. */
export const SOAK_EVENTS = 6;
export const SOAK_TOKENS_PER_EVENT = 10;

/** Body of a failure of a runner. */
const RUNNER_FAILURE = 'failed';
/** Fraction of the turns without a complete answer from which a client tries to continue. */
const CONTINUED_CUT_FRACTION = 0.5;
const MAXIMUM_TOKENS = SOAK_EVENTS * SOAK_TOKENS_PER_EVENT;
const TIMEOUT_MILLISECONDS = 3_000;
/** Fraction of a client's actions that read a long stream with pauses. */
const SLOW_READ_FRACTION = 0.03;
/** Fraction of plain requests that carry the long body, which exceeds what a non-reading runner's socket buffers. */
const LONG_BODY_FRACTION = 0.01;
const LONG_BODY = 'x'.repeat(3 * 1024 * 1024);
/** Programs per client whose last turn is remembered for the final history check. */
const REMEMBERED_PROGRAMS = 12;
/** Statuses by which a gateway guarantees that the request did not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Request headers of one turn; `previous` is the request id of the turn it continues, or empty. */
function turnHeaders(program: string, previous: string): Record<string, string> {
  return {
    [NAMES.program]: program,
    [NAMES.session]: program,
    [NAMES.tokenBudget]: String(MAXIMUM_TOKENS),
    [NAMES.tokenUsage]: `100,${MAXIMUM_TOKENS}`,
    ...(previous === '' ? {} : { [NAMES.previousTurn]: previous }),
  };
}

interface Result {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly complete: boolean;
}

/** Request counts of a soak. */
export interface SoakCounts {
  sent: number;
  answered: number;
  refused: number;
  failed: number;
  kept: number;
  budgetRefused: number;
  /** Long streams that were requested and read slowly, and how many of them were received completely. */
  slowAsked: number;
  slowWhole: number;
}

/** Creates counts that are all zero. */
export function createCounts(): SoakCounts {
  const plain = { sent: 0, answered: 0, refused: 0, failed: 0 };
  return { ...plain, kept: 0, budgetRefused: 0, slowAsked: 0, slowWhole: 0 };
}

/** A completely answered turn: its request id, and the conversation text up to and including its output. */
export interface AnsweredTurn {
  readonly id: string;
  readonly chain: string;
}

/** State and dependencies that the clients of one soak share. */
export interface SoakClientContext {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  /** Every runner started so far, including crashed ones. */
  readonly runners: readonly RelayRunner[];
  readonly counts: SoakCounts;
  readonly violate: (promise: string, detail: string) => void;
}

/** A client that sends one request at a time, of a randomly chosen kind. */
export class SoakClient {
  private programCount = 0;
  /** Last answered turn of each recent program, the newest last. */
  private readonly lastTurns: AnsweredTurn[] = [];

  constructor(
    private readonly name: string,
    private readonly context: SoakClientContext,
  ) {}

  /** Sends requests until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      const draw = this.context.random.uniform();
      if (draw < SLOW_READ_FRACTION) {
        await this.readSlowly();
      } else if (draw < 0.35) {
        await this.sendPlain('single');
      } else if (draw < 0.6) {
        await this.sendPlain('repeatable');
      } else {
        await this.runProgram(isOver);
      }
      await new Promise((resolve) => setTimeout(resolve, 5 + this.context.random.uniform() * 30));
    }
  }

  /** Sends one request to the route of that kind; resolves to true when the response was 200 and complete. */
  async sendPlain(kind: 'single' | 'repeatable'): Promise<boolean> {
    const id = this.newId();
    const body = this.context.random.uniform() < LONG_BODY_FRACTION ? LONG_BODY : '';
    const result = await this.send(`/${kind}/work`, id, {}, body);
    this.recordResult(kind, id, result);
    if (result.status === 200 && result.complete) {
      const signer = /^signed by (.*)$/.exec(String(result.headers[NAMES.signature]))?.[1];
      if (result.body !== `answer of ${signer} to ${id}`) {
        this.context.violate(
          'own answer',
          `request ${id} got the body "${result.body.slice(0, 80)}"`,
        );
      }
      return true;
    }
    if (result.status === 500 && result.complete && result.body !== RUNNER_FAILURE) {
      this.context.violate('own answer', `request ${id} got a failure with body "${result.body}"`);
    }
    return false;
  }

  /** Reads a long stream with pauses; its events must arrive in order, and its end only after the last event. */
  private async readSlowly(): Promise<void> {
    const id = this.newId();
    const reading = new SlowReading(this.context.random);
    const result = await this.send(LONG_PATH, id, {}, '', reading);
    const events = [...result.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    this.recordResult('single', id, result);
    this.checkEvents(id, events, result, LONG_EVENTS, LONG_EVENT_BYTES);
    const { counts } = this.context;
    counts.slowAsked += 1;
    counts.slowWhole += result.status === 200 && result.complete ? 1 : 0;
  }

  /** The last answered turn of each recent program, the newest last. */
  get answeredTurns(): readonly AnsweredTurn[] {
    return this.lastTurns;
  }

  /** Continues from a turn; resolves to true when the response was 200 and complete. */
  async continueFrom(turn: AnsweredTurn): Promise<boolean> {
    const id = this.newId();
    const input = `in ${id};`;
    const result = await this.send('/kept/work?stream', id, turnHeaders(id, turn.id), input);
    this.checkChain(id, turn.chain + input);
    if (result.status === 404) {
      this.context.violate(
        'history',
        `turn ${turn.id} was answered completely, but a continuation got 404`,
      );
    }
    return result.status === 200 && result.complete;
  }

  /** Sends a program's turns, each continuing the last answered one, until its budget is spent or four fail. */
  private async runProgram(isOver: () => boolean): Promise<void> {
    const { random, counts, violate } = this.context;
    this.programCount += 1;
    const program = `${this.name}-p${this.programCount}`;
    const budget = MAXIMUM_TOKENS * random.integer(3, 6);
    let lastTurn: AnsweredTurn = { id: '', chain: '' };
    let deliveredTokens = 0;
    for (let failures = 0; failures < 4 && !isOver();) {
      const id = this.newId();
      const input = `in ${id};`;
      const headers = { ...turnHeaders(program, lastTurn.id), [NAMES.tokenBudget]: String(budget) };
      const result = await this.send('/kept/work?stream', id, headers, input);
      const events = [...result.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
      deliveredTokens += events.length * SOAK_TOKENS_PER_EVENT;
      this.checkEvents(id, events, result);
      this.checkChain(id, lastTurn.chain + input);
      if (deliveredTokens > budget + MAXIMUM_TOKENS) {
        violate(
          'budget',
          `program ${program} received ${deliveredTokens} tokens with a budget of ${budget}`,
        );
      }
      if (result.status === 402) {
        counts.budgetRefused += 1;
        this.checkNotRun(id, 402);
        return;
      }
      if (result.status === 404 && lastTurn.id !== '') {
        violate(
          'history',
          `turn ${lastTurn.id} was answered completely, but a continuation got 404`,
        );
      }
      this.recordResult('single', id, result);
      if (result.status === 200 && result.complete) {
        counts.kept += 1;
        const output = events.map((event) => `event ${event}\n`).join('');
        const answered = { id, chain: lastTurn.chain + input + output };
        this.rememberTurn(answered, lastTurn);
        lastTurn = answered;
      } else {
        failures += 1;
        if (result.status === 200 && random.uniform() < CONTINUED_CUT_FRACTION) {
          await this.continueCutTurn(id, lastTurn.chain + input);
        }
        await new Promise((resolve) => setTimeout(resolve, 100 + random.uniform() * 300));
      }
    }
  }

  /**
   * Continues from a turn whose answer did not arrive completely, under a program of its own. The turn may have been stored, since
   * only the end of its answer may be lost, but then it must be whole.
   */
  private async continueCutTurn(turn: string, chain: string): Promise<void> {
    const id = this.newId();
    const input = `in ${id};`;
    const result = await this.send('/kept/work?stream', id, turnHeaders(id, turn), input);
    const whole = Array.from({ length: SOAK_EVENTS }, (_, index) => `event ${index + 1}\n`).join(
      '',
    );
    this.checkChain(id, chain + whole + input);
    this.recordResult('single', id, result);
  }

  /** Replaces the program's previous turn, and drops the oldest program beyond the limit. */
  private rememberTurn(turn: AnsweredTurn, before: AnsweredTurn): void {
    const index = this.lastTurns.indexOf(before);
    if (index >= 0) {
      this.lastTurns.splice(index, 1);
    }
    this.lastTurns.push(turn);
    if (this.lastTurns.length > REMEMBERED_PROGRAMS) {
      this.lastTurns.shift();
    }
  }

  private checkEvents(
    id: string,
    events: readonly number[],
    result: Result,
    whole = SOAK_EVENTS,
    eventBytes = 0,
  ): void {
    const { violate } = this.context;
    if (result.status !== 200) {
      return;
    }
    const expected = events.map((_, index) => index + 1);
    if (events.some((event, index) => event !== expected[index])) {
      violate('whole answer', `request ${id} received events out of sequence: ${events.join(',')}`);
    }
    const written = Array.from({ length: whole }, (_, index) => {
      const text = `event ${index + 1}`.padEnd(eventBytes, '.');
      return `id: ${index + 1}\ndata: ${text}\n\n`;
    }).join('');
    if (!written.startsWith(result.body)) {
      violate('whole answer', `request ${id} received other bytes than its runner wrote`);
    }
    if (result.complete && events.length !== whole) {
      violate('whole answer', `response to ${id} ended as complete after ${events.length} events`);
    }
  }

  /** Checks that the runner received exactly the conversation so far and the new input. */
  private checkChain(id: string, expected: string): void {
    const run = this.runsOf(id)[0];
    if (run !== undefined && run.body !== expected) {
      this.context.violate(
        'history',
        `request ${id} reached the runner with body "${run.body.slice(0, 120)}"`,
      );
    }
  }

  /** Checks that runners receive the tenant's name and never its API key. */
  private checkTenant(id: string): void {
    for (const { headers } of this.runsOf(id)) {
      if (headers[NAMES.tenant] !== SOAK_TENANT || headers[NAMES.key] !== undefined) {
        this.context.violate(
          'tenant',
          `request ${id} reached a runner with tenant ${String(headers[NAMES.tenant])} or with the API key`,
        );
      }
    }
  }

  private recordResult(kind: 'single' | 'repeatable', id: string, result: Result): void {
    const { counts } = this.context;
    this.checkTenant(id);
    if (result.status === 200 && result.complete) {
      counts.answered += 1;
    } else if (NOT_RUN_STATUSES.has(result.status)) {
      counts.refused += 1;
      this.checkNotRun(id, result.status);
    } else {
      counts.failed += 1;
    }
    if (kind === 'single' && this.runsOf(id).length > 1) {
      this.context.violate('at most once', `request ${id} ran ${this.runsOf(id).length} times`);
    }
  }

  private checkNotRun(id: string, status: number): void {
    if (!id.includes('repeatable') && this.runsOf(id).length > 0) {
      this.context.violate('not run', `request ${id} got status ${status}, but ran`);
    }
  }

  private runsOf(id: string): RunnerRun[] {
    return this.context.runners.flatMap((runner) =>
      runner.runs.filter((run) => run.requestId === id),
    );
  }

  private newId(): string {
    this.context.counts.sent += 1;
    return `${this.name}-${this.context.counts.sent}`;
  }

  private send(
    path: string,
    id: string,
    extra: Record<string, string>,
    body: string,
    reading?: SlowReading,
  ): Promise<Result> {
    const host = this.context.random.pick(this.context.gatewayHosts);
    const headers = {
      host: SOAK_HOST,
      'content-length': String(Buffer.byteLength(body)),
      [SOAK_GATEWAY_HEADER]: host,
      [NAMES.requestId]: id,
      [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
      ...extra,
    };
    const noResponse: Result = { status: 0, headers: {}, body: '', complete: false };
    return new Promise((resolve) => {
      const options = { host, port: SOAK_PORTS.front, path, method: 'POST', headers };
      const client = httpRequest({ ...options, agent: false }, (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        reading?.slowDown(response);
        response.on('error', () => undefined);
        response.on('close', () => {
          clearTimeout(timer);
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
            complete: response.complete,
          });
        });
      });
      const timer = setTimeout(() => client.destroy(), TIMEOUT_MILLISECONDS + 500);
      client.on('error', () => {
        clearTimeout(timer);
        resolve(noResponse);
      });
      client.end(body);
    });
  }
}
