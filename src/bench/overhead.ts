/**
 * Measures the scheduler's overhead: time to the first token and time per token, compared with
 * calls that go directly to the emulated engine, and CPU time per token.
 */
import { request } from 'undici';
import { LAKESHORE } from './deployments.js';
import { EventStreamReader } from '../platform/event-stream.js';
import { localKeyOf, startLocalCluster } from './local-cluster.js';
import { summarize } from './statistics.js';
import type { Summary } from './statistics.js';

/** Latencies of direct or of scheduled calls. */
export interface CallTimes {
  readonly firstTokenMilliseconds: Summary;
  readonly perTokenMilliseconds: Summary;
}

/** Result of the measurement; printed as JSON. */
export interface OverheadResult {
  readonly seed: number;
  readonly calls: number;
  readonly direct: CallTimes;
  readonly throughScheduler: CallTimes;
  readonly addedFirstTokenMilliseconds: number;
  readonly addedPerTokenMicroseconds: number;
  /** CPU time of the whole process per generated token of a direct call. */
  readonly directCpuMicrosecondsPerToken: number;
  readonly schedulerCpuMicrosecondsPerToken: number;
}

/** Seed and number of calls. */
export interface OverheadOptions {
  readonly seed: number;
  /** Number of direct calls and of scheduled calls; they alternate. */
  readonly calls: number;
}

const ANSWER_TOKENS = 64;
const MODEL = 'catalog-minds';

interface CallMeasurement {
  readonly firstMilliseconds: number;
  readonly perTokenMilliseconds: number;
  readonly cpuMicroseconds: number;
}

async function measureCall(
  url: string,
  headers: Record<string, string>,
  text: string,
): Promise<CallMeasurement> {
  const cpu = process.cpuUsage();
  const started = performance.now();
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify({
      model: MODEL,
      messages: [{ role: 'user', content: `${text} #${ANSWER_TOKENS}` }],
      max_tokens: ANSWER_TOKENS,
      stream: true,
    }),
  });
  const reader = new EventStreamReader();
  let firstMilliseconds = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    if (reader.push(chunk).length > 0 && firstMilliseconds === 0) {
      firstMilliseconds = performance.now() - started;
    }
  }
  const totalMilliseconds = performance.now() - started;
  const used = process.cpuUsage(cpu);
  return {
    firstMilliseconds,
    perTokenMilliseconds: (totalMilliseconds - firstMilliseconds) / ANSWER_TOKENS,
    cpuMicroseconds: used.user + used.system,
  };
}

function summarizeCalls(calls: readonly CallMeasurement[]): CallTimes {
  return {
    firstTokenMilliseconds: summarize(calls.map((call) => call.firstMilliseconds)),
    perTokenMilliseconds: summarize(calls.map((call) => call.perTokenMilliseconds)),
  };
}

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/** Runs the measurement. Calls are sequential, so that none of them waits for another. */
export async function measureOverhead(options: OverheadOptions): Promise<OverheadResult> {
  const { seed, calls } = options;
  const cluster = await startLocalCluster({ deployment: LAKESHORE, seed });
  const key = { authorization: `Bearer ${localKeyOf('brandvold')}` };
  const direct: CallMeasurement[] = [];
  const scheduled: CallMeasurement[] = [];
  const node = cluster.urls[0]!;
  await measureCall(node, key, 'warm up');
  for (let index = 0; index < calls; index += 1) {
    direct.push(await measureCall(cluster.engineUrl, {}, `direct ${index}`));
    scheduled.push(await measureCall(node, key, `scheduled ${index}`));
  }
  await cluster.stop();
  const directCpu = median(direct.map((call) => call.cpuMicroseconds)) / ANSWER_TOKENS;
  const scheduledCpu = median(scheduled.map((call) => call.cpuMicroseconds)) / ANSWER_TOKENS;
  const directTimes = summarizeCalls(direct);
  const scheduledTimes = summarizeCalls(scheduled);
  return {
    seed,
    calls,
    direct: directTimes,
    throughScheduler: scheduledTimes,
    addedFirstTokenMilliseconds:
      scheduledTimes.firstTokenMilliseconds.p50 - directTimes.firstTokenMilliseconds.p50,
    addedPerTokenMicroseconds:
      (scheduledTimes.perTokenMilliseconds.p50 - directTimes.perTokenMilliseconds.p50) * 1_000,
    directCpuMicrosecondsPerToken: directCpu,
    schedulerCpuMicrosecondsPerToken: scheduledCpu,
  };
}
