/** Runs a workload on a local cluster with emulated back ends and prints a report. */
import Table from 'cli-table3';
import { createRandom } from '../runtime/random.js';
import { createRealRuntime } from '../runtime/real-runtime.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Deployment } from './deployments.js';
import { HttpCaller } from './http-caller.js';
import { LOCAL_OPERATOR_KEY, localKeyOf, startLocalCluster } from './local-cluster.js';
import type { LocalCluster } from './local-cluster.js';
import { ProgramRunner } from './program-runner.js';
import type { ProgramOutcome } from './program-runner.js';
import { summarize } from './statistics.js';
import { makeScript } from './workloads.js';
import type { WorkloadKind } from './workloads.js';

/** Deployment and workload of a run. */
export interface StartOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Number of programs to run. */
  readonly programs: number;
  /** HTTP port of the first node; 0 selects a free one. */
  readonly httpPort: number;
  /** Whether to exit after the report instead of keeping the cluster up. */
  readonly once: boolean;
}

const PROGRESS_INTERVAL_MILLISECONDS = 2_000;
/** Time between the starts of programs. */
const ARRIVAL_INTERVAL_MILLISECONDS = 60;
/** Factor applied to the scripts' pauses, so that a run takes seconds. */
const PAUSE_SCALE = 0.1;
const MAXIMUM_PROGRAM_STEPS = 8;

function write(line: string): void {
  process.stdout.write(`${line}\n`);
}

function shorten(kind: WorkloadKind): WorkloadKind {
  return {
    ...kind,
    make: (name, random) => {
      const script = kind.make(name, random);
      const steps = script.steps.slice(0, MAXIMUM_PROGRAM_STEPS).map((step) => ({
        ...step,
        pauseMilliseconds: step.pauseMilliseconds * PAUSE_SCALE,
      }));
      return { ...script, steps };
    },
  };
}

function runWorkload(
  options: StartOptions,
  runtime: Runtime,
  port: HttpCaller,
): Promise<ProgramOutcome[]> {
  const random = createRandom(options.seed, 'start');
  const kinds = options.deployment.workloads.flatMap((workload) => workload.kinds).map(shorten);
  const outcomes: ProgramOutcome[] = [];
  return new Promise((resolve) => {
    const progress = setInterval(() => {
      write(`  ${outcomes.length} of ${options.programs} programs finished`);
    }, PROGRESS_INTERVAL_MILLISECONDS);
    for (let index = 0; index < options.programs; index += 1) {
      const script = makeScript(kinds, `run-${options.seed}-${index}`, random);
      const runner = new ProgramRunner({
        runtime,
        port,
        script,
        done: (outcome) => {
          outcomes.push(outcome);
          if (outcomes.length === options.programs) {
            clearInterval(progress);
            resolve(outcomes);
          }
        },
      });
      runtime.setTimer(index * ARRIVAL_INTERVAL_MILLISECONDS, () => runner.start());
    }
  });
}

function printReport(outcomes: readonly ProgramOutcome[], cluster: LocalCluster): void {
  const table = new Table({
    head: ['program', 'count', 'p50 s', 'p95 s', 'p99 s', 'failed'],
    style: { head: [], border: [], compact: true },
  });
  const kinds = [...new Set(outcomes.map((outcome) => outcome.script.kind))].sort();
  for (const kind of ['all', ...kinds]) {
    const chosen = outcomes.filter((outcome) => kind === 'all' || outcome.script.kind === kind);
    const latency = summarize(
      chosen.map((outcome) => (outcome.endedAt - outcome.startedAt) / 1_000),
    );
    const failed = chosen.filter((outcome) => outcome.failed).length;
    table.push([kind, latency.count, latency.p50, latency.p95, latency.p99, failed]);
  }
  write(table.toString());
  const totals = cluster.backEnds.map((backEnd) => backEnd.totals());
  const idle = totals.reduce((sum, total) => sum + total.idleMemory.idle, 0);
  const unused = totals.reduce((sum, total) => sum + total.idleMemory.neverReused, 0);
  const prefill = totals.reduce((sum, total) => sum + total.prefillTokens, 0);
  const cached = totals.reduce((sum, total) => sum + total.cachedTokens, 0);
  const percent = (part: number, whole: number): string =>
    `${((100 * part) / Math.max(1, whole)).toFixed(1)} %`;
  write(`wasted cache: ${percent(unused, idle)} of the memory held was never used again`);
  write(`prompt tokens found in cache: ${percent(cached, cached + prefill)}`);
}

function printHints(options: StartOptions, cluster: LocalCluster): void {
  const url = cluster.urls[0]!;
  const group = options.deployment.groups[0]!.name;
  const model = options.deployment.services[0]!.name;
  const body = JSON.stringify({ model, messages: [{ role: 'user', content: 'hello' }] });
  write('');
  write('The cluster stays up until Ctrl-C. Try:');
  write(
    `  curl -s ${url}/v1/chat/completions -H 'authorization: Bearer ${localKeyOf(group)}' ` +
      `-H 'content-type: application/json' -d '${body}'`,
  );
  write(`  npm run -s ivyloom -- --url ${url} --key ${LOCAL_OPERATOR_KEY} show engines`);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

/** Runs the workload; resolves with the number of failed programs. */
export async function runStart(options: StartOptions): Promise<number> {
  const { deployment, seed, httpPort } = options;
  write(`Starting ${deployment.name}: ${deployment.zones.join(', ')}`);
  const cluster = await startLocalCluster({ deployment, seed, httpPort });
  write(`${cluster.daemons.length} nodes, ${cluster.backEnds.length} emulated back ends are up`);
  const keys = Object.fromEntries(deployment.groups.map(({ name }) => [name, localKeyOf(name)]));
  const caller = new HttpCaller({ urls: cluster.urls, keys });
  const runtime = createRealRuntime({ seed, logLevel: 'error' });
  const outcomes = await runWorkload(options, runtime, caller);
  printReport(outcomes, cluster);
  if (!options.once) {
    printHints(options, cluster);
    await waitForSignal();
    write('Stopping.');
  }
  caller.close();
  await cluster.stop();
  return outcomes.filter((outcome) => outcome.failed).length;
}
