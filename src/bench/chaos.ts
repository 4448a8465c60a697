/**
 * Runs daemon processes on loopback under load while they are killed, paused, gracefully stopped
 * and restarted. The checkers of the simulations verify what callers and back ends observed.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Agent, request } from 'undici';
import { writeFirstConfiguration } from '../emulator/first-configuration.js';
import { KeyValueModel } from '../emulator/key-value-model.js';
import { KeyValueServer } from '../emulator/key-value-server.js';
import { checkRun } from '../histories/checkers.js';
import type { Violation } from '../histories/checkers.js';
import { createEmptyRun } from '../histories/recorded-events.js';
import type { RecordedCall, RecordedRun } from '../histories/recorded-events.js';
import type { Verdict } from '../model/verdict.js';
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import { createRealRuntime } from '../runtime/real-runtime.js';
import { DaemonProcess } from './daemon-process.js';
import { LAKESHORE } from './deployments.js';
import { findFreePorts } from './free-ports.js';
import {
  listDocuments,
  LOCAL_OPERATOR_KEY,
  localKeyOf,
  LOOPBACK,
  createNodeSettings,
  serveBackEnds,
} from './local-cluster.js';
import { summarize } from './statistics.js';
import type { Summary } from './statistics.js';

/** Seed and duration of a run. */
export interface ChaosOptions {
  readonly seed: number;
  readonly minutes: number;
}

/** Result of a run; printed as JSON. */
export interface ChaosResult {
  readonly seed: number;
  readonly calls: number;
  readonly answered: number;
  readonly programs: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: readonly Violation[];
  /** Longest time to an answer of the calls first sent around each kill, in seconds. */
  readonly secondsToAnswerAfterDeath: Summary;
  /** Number of graceful stops whose exit code was not 0. */
  readonly badExits: number;
}

type ChaosFault = 'kill' | 'pause' | 'plannedStop';

const GROUP = 'brandvold';
const CALLER_COUNT = 8;
const CALLS_PER_PROGRAM = 6;
const FAULT_INTERVAL_MILLISECONDS = 3_500;
const PAUSE_DURATION_MILLISECONDS = 2_500;
const DOWNTIME_MILLISECONDS = 1_000;
const TIMEOUT_SECONDS = 20;
const MAXIMUM_ATTEMPTS = 40;
const RETRY_DELAY_MILLISECONDS = 250;
const ANSWER_TOKENS = 40;
/** Calls sent within this time before or after a kill count as affected by it. */
const DEATH_WINDOW_MILLISECONDS = 1_000;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

interface Rig {
  readonly seed: number;
  readonly daemons: readonly DaemonProcess[];
  readonly run: RecordedRun;
  readonly random: RandomSource;
  readonly agent: Agent;
  readonly faults: Map<ChaosFault, number>;
  readonly deaths: number[];
  /** Time of the first attempt of each answered call, and its duration up to the answer. */
  readonly answerTimes: { readonly sentAt: number; readonly seconds: number }[];
  badExits: number;
  isStopping: boolean;
}

function keyHeader(key: string): Record<string, string> {
  return { authorization: `Bearer ${key}` };
}

async function sendOnce(rig: Rig, call: RecordedCall): Promise<void> {
  const daemon = rig.daemons.find((candidate) => candidate.settings.node === call.node)!;
  const chat = call.kind === 'chat';
  const path = chat ? '/v1/chat/completions' : `/v1/services/${call.service}/calls`;
  const body = chat
    ? JSON.stringify({
        model: call.service,
        messages: call.messages,
        max_tokens: call.maximumTokens,
      })
    : call.payload;
  try {
    const response = await request(daemon.url + path, {
      method: 'POST',
      dispatcher: rig.agent,
      headers: {
        ...keyHeader(localKeyOf(GROUP)),
        'content-type': 'application/json',
        'ivyloom-program': call.program,
        'ivyloom-sequence': String(call.sequence),
        'ivyloom-repeatable': String(call.repeatable),
        'ivyloom-timeout': String(TIMEOUT_SECONDS),
      },
      body,
    });
    call.result = readResult(response.statusCode, await response.body.text(), call);
    const name = response.headers['ivyloom-call'];
    Object.assign(call, { call: typeof name === 'string' ? name : call.call });
  } catch (cause) {
    call.result = resultOfBrokenConnection(cause);
  }
  call.endedAt = performance.now();
}

function readResult(status: number, text: string, call: RecordedCall): RecordedCall['result'] {
  if (status !== 200) {
    const problem = JSON.parse(text) as {
      title: string;
      verdict: Verdict;
      detail: string;
      call_id?: string;
    };
    Object.assign(call, { call: problem.call_id ?? call.call });
    const { verdict, detail } = problem;
    const tag = problem.title as 'Unavailable';
    return { type: 'failed', error: { tag, verdict, detail, retryAfterSeconds: 0 } };
  }
  if (call.kind === 'tool') {
    return { type: 'answered', text, tokens: 0 };
  }
  const body = JSON.parse(text) as {
    choices: { message: { content: string } }[];
    usage: { total_tokens: number };
  };
  const content = body.choices[0]!.message.content;
  return { type: 'answered', text: content, tokens: body.usage.total_tokens };
}

function resultOfBrokenConnection(cause: unknown): RecordedCall['result'] {
  const { code } = cause as { code?: string };
  if (code !== 'ECONNREFUSED') {
    return { type: 'broken' };
  }
  const error = {
    tag: 'Unavailable',
    verdict: 'NotRun',
    detail: code,
    retryAfterSeconds: 0,
  } as const;
  return { type: 'failed', error };
}

function createCall(rig: Rig, program: string, sequence: number, attempt: number): RecordedCall {
  // Seeded by program and sequence, so that every attempt sends the same request.
  const random = createRandom(rig.seed, `${program}:${sequence}`);
  const tool = random.uniform() < 0.3;
  const text = `${program} turn ${sequence} #${random.integer(5, ANSWER_TOKENS)}`;
  return {
    call: `unsent-${program}-${sequence}-${attempt}`,
    program,
    group: GROUP,
    sequence,
    service: tool ? 'order-desk' : 'catalog-minds',
    kind: tool ? 'tool' : 'chat',
    repeatable: !tool,
    messages: tool ? [] : [{ role: 'user', content: text }],
    payload: tool ? JSON.stringify({ order: text }) : '',
    maximumTokens: tool ? 64 : ANSWER_TOKENS,
    node: rig.random.pick(rig.daemons).settings.node,
    sentAt: performance.now(),
    streamed: '',
    streaming: false,
    result: { type: 'pending' },
    endedAt: Infinity,
  };
}

async function runCall(rig: Rig, program: string, sequence: number): Promise<boolean> {
  const sentAt = performance.now();
  for (let attempt = 1; attempt <= MAXIMUM_ATTEMPTS; attempt += 1) {
    const call = createCall(rig, program, sequence, attempt);
    rig.run.calls.push(call);
    await sendOnce(rig, call);
    if (call.result.type === 'answered') {
      rig.answerTimes.push({ sentAt, seconds: (performance.now() - sentAt) / 1_000 });
      return true;
    }
    const isFinalFailure =
      call.result.type === 'failed' &&
      call.result.error.verdict !== 'NotRun' &&
      !call.repeatable &&
      attempt > 3;
    if (isFinalFailure) {
      return true;
    }
    await sleep(RETRY_DELAY_MILLISECONDS);
  }
  return false;
}

async function runCaller(rig: Rig, caller: number): Promise<void> {
  for (let index = 0; !rig.isStopping; index += 1) {
    const program = `chaos-${caller}-${index}`;
    let complete = true;
    for (let sequence = 1; sequence <= CALLS_PER_PROGRAM && complete; sequence += 1) {
      complete = await runCall(rig, program, sequence);
    }
  }
}

async function injectFault(rig: Rig): Promise<void> {
  const daemon = rig.random.pick(rig.daemons.filter((candidate) => candidate.isRunning));
  const fault = rig.random.pick<ChaosFault>(['kill', 'pause', 'plannedStop']);
  rig.faults.set(fault, (rig.faults.get(fault) ?? 0) + 1);
  switch (fault) {
    case 'kill':
      rig.deaths.push(performance.now());
      daemon.signal('SIGKILL');
      await daemon.waitForExit();
      await sleep(DOWNTIME_MILLISECONDS);
      daemon.start();
      break;
    case 'pause':
      daemon.signal('SIGSTOP');
      await sleep(PAUSE_DURATION_MILLISECONDS);
      daemon.signal('SIGCONT');
      break;
    case 'plannedStop': {
      const { node } = daemon.settings;
      const stop = { node, beganAt: performance.now(), endedAt: Infinity, interrupted: false };
      rig.run.stops.push(stop);
      daemon.signal('SIGTERM');
      const code = await daemon.waitForExit();
      stop.endedAt = performance.now();
      rig.badExits += code === 0 ? 0 : 1;
      daemon.start();
    }
  }
  await daemon.waitUntilReady();
}

async function readFinalState(rig: Rig): Promise<void> {
  const url = rig.daemons[0]!.url;
  const programs = [...new Set(rig.run.calls.map((call) => call.program))];
  for (const program of programs) {
    const response = await request(`${url}/v1/programs/${program}/history`, {
      dispatcher: rig.agent,
      headers: keyHeader(localKeyOf(GROUP)),
    });
    const text = await response.body.text();
    if (response.statusCode === 200) {
      rig.run.histories.push(JSON.parse(text) as RecordedRun['histories'][number]);
    } else {
      rig.run.unreadablePrograms.push(program);
    }
  }
  const answer = await request(`${url}/v1/operator/statements`, {
    method: 'POST',
    dispatcher: rig.agent,
    headers: { ...keyHeader(LOCAL_OPERATOR_KEY), 'content-type': 'application/json' },
    body: JSON.stringify({ statement: 'show groups' }),
  });
  const { rows } = (await answer.body.json()) as { rows: RecordedRun['accounts'] };
  rig.run.accounts.push(...rows);
}

/** Runs the daemons under faults; resolves after all processes and servers have ended. */
export async function runChaos(options: ChaosOptions): Promise<ChaosResult> {
  const folder = mkdtempSync(join(tmpdir(), 'ivyloom-chaos-'));
  const platform = createRealRuntime({ seed: options.seed, logLevel: 'error' });
  const keyValue = new KeyValueModel(platform);
  const keyValueServer = new KeyValueServer(keyValue);
  const port = await new Promise<number>((resolve) => keyValueServer.listen(LOOPBACK, 0, resolve));
  const servedBackEnds = await serveBackEnds(platform, LAKESHORE);
  writeFirstConfiguration(keyValue, listDocuments(LAKESHORE, servedBackEnds));
  const keyValueUrl = `http://${LOOPBACK}:${port}`;
  const nodeSettings = await createNodeSettings(
    { deployment: LAKESHORE, seed: options.seed },
    keyValueUrl,
  );
  const httpPorts = await findFreePorts(LOOPBACK, nodeSettings.length);
  const daemons = nodeSettings.map(
    (settings, index) =>
      new DaemonProcess({ ...settings, httpPort: httpPorts[index]! }, join(folder, settings.node)),
  );
  const rig: Rig = {
    seed: options.seed,
    daemons,
    run: createEmptyRun(),
    random: createRandom(options.seed, 'chaos'),
    agent: new Agent({ connections: 64, headersTimeout: 40_000 }),
    faults: new Map(),
    deaths: [],
    answerTimes: [],
    badExits: 0,
    isStopping: false,
  };
  daemons.forEach((daemon) => daemon.start());
  await Promise.all(daemons.map((daemon) => daemon.waitUntilReady()));
  await runFaults(rig, options.minutes);
  await readFinalState(rig);
  rig.run.executions.push(...servedBackEnds.flatMap(({ backEnd }) => backEnd.executions));
  await killDaemons(rig);
  servedBackEnds.forEach(({ server, backEnd }) => {
    server.close();
    backEnd.stop();
  });
  keyValueServer.close();
  rmSync(folder, { recursive: true, force: true });
  return summarizeRun(rig, options.seed);
}

async function runFaults(rig: Rig, minutes: number): Promise<void> {
  const callers = Array.from({ length: CALLER_COUNT }, (_, caller) => runCaller(rig, caller));
  const endsAt = performance.now() + minutes * 60_000;
  while (performance.now() < endsAt) {
    await sleep(FAULT_INTERVAL_MILLISECONDS);
    await injectFault(rig);
  }
  rig.isStopping = true;
  await Promise.all(callers);
  rig.run.endedAt = performance.now();
}

async function killDaemons(rig: Rig): Promise<void> {
  for (const daemon of rig.daemons) {
    daemon.signal('SIGKILL');
    await daemon.waitForExit();
  }
  await rig.agent.destroy();
}

function summarizeRun(rig: Rig, seed: number): ChaosResult {
  const longestAnswerSeconds = rig.deaths.map((death) =>
    Math.max(
      0,
      ...rig.answerTimes
        .filter(({ sentAt }) => Math.abs(sentAt - death) < DEATH_WINDOW_MILLISECONDS)
        .map(({ seconds }) => seconds),
    ),
  );
  const answered = rig.run.calls.filter((call) => call.result.type === 'answered');
  return {
    seed,
    calls: rig.run.calls.length,
    answered: answered.length,
    programs: new Set(rig.run.calls.map((call) => call.program)).size,
    faults: Object.fromEntries(rig.faults),
    violations: checkRun(rig.run),
    secondsToAnswerAfterDeath: summarize(longestAnswerSeconds),
    badExits: rig.badExits,
  };
}
