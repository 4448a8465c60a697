/** Runs one seeded history of concurrent programs and operators under faults and checks its record. */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import { SimulatedCluster } from '../simulation/simulated-cluster.js';
import { DEFAULT_OWNER_LIMITS } from '../program/program-limits.js';
import { checkRun } from './checkers.js';
import type { Violation } from './checkers.js';
import { FaultInjector } from './fault-injector.js';
import { planFaults } from './fault-plan.js';
import type { FaultKind, PlannedFault } from './fault-plan.js';
import { HistoryCaller } from './history-caller.js';
import type { PlannedCall, PlannedProgram } from './history-caller.js';
import { createEmptyRun } from './recorded-events.js';
import type { RecordedRun } from './recorded-events.js';

/** Time from the start of a history in which faults start. */
export const BUSY_MILLISECONDS = 14_000;
/** Time that programs have to end after the faults. */
const RECOVERY_MILLISECONDS = 45_000;
/** Time after the last call within which engines must release memory. */
const SETTLE_MILLISECONDS = 16_000;
const PROGRAM_COUNT = 6;
const SMALL_BUDGET = 1_200;
const AMPLE_BUDGET = 1_000_000_000;

/** Result of a history. */
export interface HistoryResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly faults: ReadonlyMap<FaultKind, number>;
  readonly calls: number;
  readonly run: RecordedRun;
}

function planCall(random: RandomSource, label: string): PlannedCall {
  const isTool = random.uniform() < 0.3;
  return {
    service: isTool ? 'order-desk' : 'catalog-minds',
    kind: isTool ? 'tool' : 'chat',
    repeatable: !isTool || random.uniform() < 0.3,
    streaming: !isTool && random.uniform() < 0.5,
    text: isTool ? `{"order":"${label}"}` : `${label} please #${random.integer(6, 40)}`,
    pauseMilliseconds: random.exponential(500),
  };
}

function planPrograms(random: RandomSource): PlannedProgram[] {
  return Array.from({ length: PROGRAM_COUNT }, (_, index) => {
    const program = `p${index}`;
    const group = index % 3 === 2 ? 'teranga' : 'brandvold';
    const calls = Array.from({ length: random.integer(3, 8) }, (_unused, turn) =>
      planCall(random, `${program}-${turn + 1}`),
    );
    return { program, group, calls };
  });
}

function createCluster(seed: number): SimulatedCluster {
  return new SimulatedCluster({
    seed,
    zones: ['hall-erie', 'hall-huron', 'hall-superior'],
    interZoneMilliseconds: 1.5,
    shardCount: 3,
    services: [
      { name: 'catalog-minds', kind: 'model', runners: 2, concurrency: 4 },
      { name: 'order-desk', kind: 'tool', runners: 2, concurrency: 4 },
    ],
    groups: [
      { name: 'brandvold', share: 1, budget: AMPLE_BUDGET },
      // Small enough that some programs of the group are refused.
      { name: 'teranga', share: 1, budget: SMALL_BUDGET },
    ],
    limits: { ...DEFAULT_OWNER_LIMITS, idleMilliseconds: 600_000 },
  });
}

function watchRevisions(cluster: SimulatedCluster, run: RecordedRun): () => void {
  const observer = cluster.createProcess('observer').start();
  const lastRevisions = new Map<string, number>();
  return setRepeatingTimer(observer, 100, () => {
    for (const node of cluster.livingNodes()) {
      const { self } = node.options;
      const { revision } = node.configuration.current;
      // A new process has revision 0 until it has read a configuration, and serves nothing before that.
      if (revision > 0 && lastRevisions.get(self) !== revision) {
        lastRevisions.set(self, revision);
        run.revisions.push({ node: self, revision, at: cluster.clock.now });
      }
    }
  });
}

function readHistories(
  cluster: SimulatedCluster,
  run: RecordedRun,
  programs: PlannedProgram[],
): void {
  const node = cluster.livingNodes()[0];
  const answeredPrograms = new Set(
    run.calls.filter((call) => call.result.type === 'answered').map((call) => call.program),
  );
  for (const { program, group } of programs) {
    node?.gateway.requestProgram(`read-${program}`, 'history', program, group, (result) => {
      if (result.status === 200) {
        run.histories.push(JSON.parse(result.body) as RecordedRun['histories'][number]);
      } else if (answeredPrograms.has(program)) {
        run.unreadablePrograms.push(program);
      }
    });
  }
}

function readAccounts(cluster: SimulatedCluster, run: RecordedRun): void {
  for (const { name, budget } of cluster.options.groups) {
    let granted = 0;
    let spent = 0;
    let reserved = 0;
    const ledShards = cluster
      .livingNodes()
      .flatMap((node) => node.listShards().filter((roles) => roles.host.canServe()));
    for (const roles of ledShards) {
      const slice = roles.host.state.slices.get(name);
      granted += roles.host.state.ledgers.get(name)?.outstanding ?? 0;
      spent += slice?.spent ?? 0;
      reserved += slice?.reserved ?? 0;
    }
    run.accounts.push({ group: name, budget, granted, spent, reserved });
  }
}

function readBackEnds(cluster: SimulatedCluster, run: RecordedRun): void {
  for (const backEnd of cluster.backEnds.values()) {
    run.executions.push(...backEnd.executions);
    const held = backEnd.isUp ? backEnd.report().held : [];
    run.holds.push(...held.map(({ program }) => ({ engine: backEnd.name, program })));
  }
}

/** Runs the history of a seed, with its planned faults or given ones. */
export function runHistory(seed: number, faults?: readonly PlannedFault[]): HistoryResult {
  const cluster = createCluster(seed);
  const run = createEmptyRun();
  cluster.start();
  const stopWatching = watchRevisions(cluster, run);
  const programs = planPrograms(createRandom(seed, 'programs'));
  const injector = new FaultInjector(cluster, run, [...cluster.backEnds.keys()]);
  injector.schedule(faults ?? planFaults(createRandom(seed, 'faults'), BUSY_MILLISECONDS));
  let running = programs.length;
  for (const plan of programs) {
    const process = cluster.createProcess(`caller-${plan.program}`);
    const runtime = process.start();
    const endpoint = { process, zone: 'clients' };
    const caller = new HistoryCaller({
      cluster,
      run,
      endpoint,
      runtime,
      plan,
      onDone: () => {
        running -= 1;
      },
    });
    caller.start();
  }
  const { clock } = cluster;
  clock.runUntil(clock.now + BUSY_MILLISECONDS);
  injector.healAll();
  clock.runUntil(clock.now + RECOVERY_MILLISECONDS, () => running === 0);
  clock.runUntil(clock.now + SETTLE_MILLISECONDS);
  injector.healAll();
  readHistories(cluster, run, programs);
  clock.runUntil(clock.now + 3_000);
  readAccounts(cluster, run);
  readBackEnds(cluster, run);
  stopWatching();
  run.livingNodes.push(...cluster.livingNodes().map((node) => node.options.self));
  run.endedAt = clock.now;
  const { faultCounts } = injector;
  return { seed, violations: checkRun(run), faults: faultCounts, calls: run.calls.length, run };
}
