/** Load generator of the cost measurement: sends turns of programs to one gateway at a constant rate. */
import { Agent, request as httpRequest } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SOAK_PORTS } from '../platform-process.js';
import { SOAK_EVENTS, SOAK_HOST, SOAK_KEY, SOAK_TOKENS_PER_EVENT } from '../soak-client.js';

/** Options of a load. */
export interface CostLoadOptions {
  readonly runtime: Runtime;
  readonly host: string;
  /** Prefix of the program ids, unique per load. */
  readonly name: string;
  /** Requests per second. */
  readonly rate: number;
  readonly seconds: number;
}

/** Result of a load. */
export interface CostLoadCounts {
  readonly sent: number;
  /** Requests with a complete 200 response. */
  readonly answered: number;
}

const MILLISECONDS_IN_SECOND = 1_000;
const TIMEOUT_MILLISECONDS = 3_000;
/** Turns per program. */
const TURNS_PER_PROGRAM = 5;
const TURN_TOKENS = SOAK_EVENTS * SOAK_TOKENS_PER_EVENT;
const PROMPT_BYTES = 2_000;
const OK = 200;

/** Sends each turn to a program whose last turn was answered, or to a new program if there is none. */
class CostLoad {
  private readonly agent = new Agent({ keepAlive: true });
  /** Programs whose last turn was answered, with the number of turns so far. */
  private readonly readyPrograms: { readonly program: string; readonly turns: number }[] = [];
  private programs = 0;
  sent = 0;
  answered = 0;

  constructor(private readonly options: CostLoadOptions) {}

  sendNext(): Promise<void> {
    const next = this.readyPrograms.shift() ?? { program: this.newProgram(), turns: 0 };
    this.sent += 1;
    return this.send(next.program, next.turns).then((isAnswered) => {
      this.answered += isAnswered ? 1 : 0;
      if (isAnswered && next.turns + 1 < TURNS_PER_PROGRAM) {
        this.readyPrograms.push({ program: next.program, turns: next.turns + 1 });
      }
    });
  }

  close(): void {
    this.agent.destroy();
  }

  private newProgram(): string {
    this.programs += 1;
    return `${this.options.name}-p${this.programs}`;
  }

  private send(program: string, turn: number): Promise<boolean> {
    const { host } = this.options;
    const body = 'x'.repeat(PROMPT_BYTES);
    const headers = {
      host: SOAK_HOST,
      'content-length': String(body.length),
      [NAMES.requestId]: `${program}-${turn}`,
      [NAMES.timeout]: String(TIMEOUT_MILLISECONDS),
      [NAMES.key]: `Token ${SOAK_KEY}`,
      [NAMES.program]: program,
      [NAMES.session]: program,
      [NAMES.tokenBudget]: String(TURN_TOKENS * (TURNS_PER_PROGRAM + 1)),
      [NAMES.tokenUsage]: `100,${TURN_TOKENS}`,
      ...(turn === 0 ? {} : { [NAMES.previousTurn]: `${program}-${turn - 1}` }),
    };
    const address = { host, port: SOAK_PORTS.front, path: '/kept/work?stream', agent: this.agent };
    return new Promise((resolve) => {
      const client = httpRequest({ ...address, method: 'POST', headers }, (response) => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => resolve(response.statusCode === OK && response.complete));
      });
      client.on('error', () => resolve(false));
      client.end(body);
    });
  }
}

/** Sends requests for `seconds` seconds; resolves when all have ended. */
export async function sendCostLoad(options: CostLoadOptions): Promise<CostLoadCounts> {
  const load = new CostLoad(options);
  const { runtime, rate, seconds } = options;
  const startedAt = runtime.now();
  const requests: Promise<void>[] = [];
  for (let number = 0; number < rate * seconds; number += 1) {
    const dueAt = startedAt + (number * MILLISECONDS_IN_SECOND) / rate;
    await new Promise<void>((resolve) => runtime.setTimer(dueAt - runtime.now(), resolve));
    requests.push(load.sendNext());
  }
  await Promise.all(requests);
  load.close();
  const { sent, answered } = load;
  return { sent, answered };
}
