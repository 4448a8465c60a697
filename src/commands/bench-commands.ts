/** Commands of `ivyloom-bench`. */
import { runChaos } from '../bench/chaos.js';
import { DEPLOYMENTS } from '../bench/deployments.js';
import type { Deployment } from '../bench/deployments.js';
import { runExperiment } from '../bench/experiment.js';
import { formatExperiment } from '../bench/experiment-report.js';
import { runHistories, shrinkFaults } from '../histories/run-histories.js';
import {
  planConfigurationHistory,
  planFirstRankedFaults,
} from '../histories/configuration-plan.js';
import { runConfigurationHistories } from '../histories/run-configuration-histories.js';
import { runStreamHistories } from '../histories/run-stream-histories.js';
import { runPowerLossScenario } from '../histories/power-loss-scenario.js';
import { runRetentionHistory } from '../histories/retention-history.js';
import { runTurnHistories } from '../histories/run-turn-histories.js';
import { spreadOverZones } from '../histories/zone-spread.js';
import { measureOverhead } from '../bench/overhead.js';
import { measureScale } from '../bench/scale.js';
import { measureSlopes } from '../bench/slopes.js';
import { runStart } from '../bench/start.js';
import { POLICY_NAMES } from '../scheduling/create-policy.js';
import type { PolicyName } from '../scheduling/create-policy.js';
import type { SpreadPolicy } from '../turns/member-spread.js';

/** Flags of `ivyloom-bench`; its help describes them. */
export interface BenchFlags {
  readonly once: boolean;
  readonly deployment: string;
  readonly programs: number;
  readonly httpPort: number;
  readonly seed: number;
  readonly load: number;
  readonly seconds: number;
  readonly policies: string;
  readonly seeds: string;
  readonly calls: number;
  readonly nodes: string;
  readonly minutes: number;
  /** Replicas. 0 lets the seed decide in turn histories, and uses the default in power-loss days. */
  readonly replicas: number;
  /** Members among the replicas. 0 makes all members in turn histories, and uses the default in power-loss days. */
  readonly members: number;
  /** Replicas lost at the same time in turn histories and power-loss days. */
  readonly losses: number;
  /** Duration of a synced write in turn histories and power-loss days, in milliseconds. */
  readonly write: number;
  /** Time after its start after which a replacement replica counts, in milliseconds. */
  readonly catchUp: number;
  /** Zones, one of which may be lost, in turn histories and power-loss days. 0 tolerates the loss of machines only. */
  readonly zones: number;
  /** Whether turn histories start with a build that knows no spread over zones. */
  readonly olderBuild: boolean;
  /** Gateways in configuration histories. */
  readonly gateways: number;
  /** Whether configuration histories stall the gateways that rank first. */
  readonly firstRanked: boolean;
  readonly json: boolean;
}

/** Replicas and members of a power-loss day when the flags are 0. */
const DEFAULT_DAY_REPLICAS = 8;
const DEFAULT_DAY_MEMBERS = 5;

const EXIT_DONE = 0;
const EXIT_FAILED = 1;
const EXIT_USAGE_ERROR = 2;

function reportUsageError(message: string): number {
  process.stderr.write(`ivyloom-bench: ${message}\n`);
  return EXIT_USAGE_ERROR;
}

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function start(flags: BenchFlags): Promise<number> {
  const deployment = DEPLOYMENTS[flags.deployment];
  if (deployment === undefined) {
    return reportUsageError(
      `no deployment ${flags.deployment}; there are ${listDeploymentNames()}`,
    );
  }
  const { seed, programs, once } = flags;
  const httpPort = once ? 0 : flags.httpPort;
  const failed = await runStart({ deployment, seed, programs, once, httpPort });
  return failed === 0 ? EXIT_DONE : EXIT_FAILED;
}

function listDeploymentNames(): string {
  return Object.keys(DEPLOYMENTS).join(', ');
}

function parsePolicies(text: string): PolicyName[] | undefined {
  const chosen = text === '' ? POLICY_NAMES : text.split(',');
  const known = chosen.flatMap((name) => POLICY_NAMES.filter((policy) => policy === name));
  return known.length === chosen.length ? known : undefined;
}

function experiment(deployment: Deployment | undefined, flags: BenchFlags): number {
  if (deployment === undefined) {
    return reportUsageError(`name an experiment: ${listDeploymentNames()}`);
  }
  const policies = parsePolicies(flags.policies);
  if (policies === undefined) {
    return reportUsageError(`policies are ${POLICY_NAMES.join(', ')}`);
  }
  const { seed, load, seconds } = flags;
  const result = runExperiment({ deployment, seed, load, seconds, policies });
  writeLine(flags.json ? JSON.stringify(result) : formatExperiment(result));
  return EXIT_DONE;
}

const SEED_RANGE = /^(\d+)\.\.(\d+)$/;

interface SeedRange {
  readonly first: number;
  readonly last: number;
}

/** Parses `A..B`; reports a usage error and returns undefined when the text is not a range. */
function parseSeeds(text: string): SeedRange | undefined {
  const range = SEED_RANGE.exec(text);
  if (range === null) {
    reportUsageError('--seeds takes a range, such as 1..2000');
    return undefined;
  }
  return { first: Number(range[1]), last: Number(range[2]) };
}

function histories(flags: BenchFlags): number {
  const seeds = parseSeeds(flags.seeds);
  if (seeds === undefined) {
    return EXIT_USAGE_ERROR;
  }
  const result = runHistories(seeds.first, seeds.last);
  if (flags.json) {
    writeLine(JSON.stringify(result));
  } else {
    const { calls, historiesPerSecond } = result;
    writeLine(`${result.histories} histories, ${calls} calls, ${historiesPerSecond} a second`);
    Object.entries(result.faults).forEach(([kind, count]) => writeLine(`  ${kind}: ${count}`));
    result.violations.forEach((violation) => {
      writeLine(`seed ${violation.seed}: ${violation.condition}: ${violation.detail}`);
    });
  }
  const failing = result.violations[0]?.seed;
  if (failing === undefined) {
    return EXIT_DONE;
  }
  const remainingFaults = shrinkFaults(failing).map((fault) => JSON.stringify(fault));
  process.stderr.write(`seed ${failing} still fails with: ${remainingFaults.join(' ')}\n`);
  return EXIT_FAILED;
}

function spreadOption({ zones, losses }: BenchFlags): { readonly spread?: SpreadPolicy } {
  return zones === 0 ? {} : { spread: spreadOverZones(zones, losses) };
}

function turnHistories(flags: BenchFlags): number {
  const seeds = parseSeeds(flags.seeds);
  if (seeds === undefined) {
    return EXIT_USAGE_ERROR;
  }
  const result = runTurnHistories(seeds.first, seeds.last, {
    ...(flags.replicas === 0 ? {} : { replicaCount: flags.replicas }),
    lossesAtOnce: flags.losses,
    writeMilliseconds: flags.write,
    catchUpMilliseconds: flags.catchUp,
    ...(flags.members === 0 ? {} : { wantedMembers: flags.members }),
    ...spreadOption(flags),
    startsWithOlderBuild: flags.olderBuild,
  });
  writeLine(JSON.stringify(result));
  return result.violations.length === 0 ? EXIT_DONE : EXIT_FAILED;
}

function retentionHistories(flags: BenchFlags): number {
  const seeds = parseSeeds(flags.seeds);
  if (seeds === undefined) {
    return EXIT_USAGE_ERROR;
  }
  let hasViolations = false;
  for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
    const history = runRetentionHistory(seed);
    hasViolations ||= history.violations.length > 0;
    writeLine(JSON.stringify(history));
  }
  return hasViolations ? EXIT_FAILED : EXIT_DONE;
}

function powerLossDays(flags: BenchFlags): number {
  const seeds = parseSeeds(flags.seeds);
  if (seeds === undefined) {
    return EXIT_USAGE_ERROR;
  }
  const options = {
    replicaCount: flags.replicas || DEFAULT_DAY_REPLICAS,
    wantedMembers: flags.members || DEFAULT_DAY_MEMBERS,
    lossesAtOnce: flags.losses,
    writeMilliseconds: flags.write,
    catchUpMilliseconds: flags.catchUp,
    ...spreadOption(flags),
  };
  let hasViolations = false;
  for (let seed = seeds.first; seed <= seeds.last; seed += 1) {
    const day = runPowerLossScenario(seed, options);
    hasViolations ||= day.violations.length > 0;
    writeLine(JSON.stringify(day));
  }
  return hasViolations ? EXIT_FAILED : EXIT_DONE;
}

function configurationHistories(flags: BenchFlags): number {
  const seeds = parseSeeds(flags.seeds);
  if (seeds === undefined || flags.gateways < 1) {
    return EXIT_USAGE_ERROR;
  }
  const drawPlan = flags.firstRanked ? planFirstRankedFaults : planConfigurationHistory;
  const result = runConfigurationHistories(seeds.first, seeds.last, flags.gateways, drawPlan);
  writeLine(JSON.stringify(result));
  return result.violations.length === 0 ? EXIT_DONE : EXIT_FAILED;
}

function streamHistories(flags: BenchFlags): number {
  const seeds = parseSeeds(flags.seeds);
  if (seeds === undefined || flags.gateways < 1) {
    return EXIT_USAGE_ERROR;
  }
  const { gateways } = flags;
  const result = runStreamHistories(seeds.first, seeds.last, gateways);
  writeLine(JSON.stringify(result));
  return result.violations.length === 0 ? EXIT_DONE : EXIT_FAILED;
}

function writeRows(rows: readonly object[], json: boolean): void {
  if (json) {
    writeLine(JSON.stringify(rows));
    return;
  }
  rows.forEach((row) => writeLine(Object.values(row).map(formatValue).join('  ')));
}

function formatValue(value: unknown): string {
  return typeof value === 'number' ? String(Number(value.toPrecision(4))) : String(value);
}

function measureScaleAtSizes(flags: BenchFlags): object[] {
  const sizes = flags.nodes.split(',').map(Number);
  return sizes.map((nodes) => measureScale({ nodes, seed: flags.seed }));
}

/** Runs a command; resolves with the exit code. */
export async function runBenchCommand(
  input: readonly string[],
  flags: BenchFlags,
): Promise<number> {
  const [command, name = ''] = input;
  switch (command) {
    case 'start':
      return start(flags);
    case 'experiment':
      return experiment(DEPLOYMENTS[name], flags);
    case 'overhead':
      writeLine(JSON.stringify(await measureOverhead({ seed: flags.seed, calls: flags.calls })));
      return EXIT_DONE;
    case 'chaos': {
      const result = await runChaos({ seed: flags.seed, minutes: flags.minutes });
      writeLine(JSON.stringify(result));
      return result.violations.length + result.badExits === 0 ? EXIT_DONE : EXIT_FAILED;
    }
    case 'slopes':
      writeRows(measureSlopes(), flags.json);
      return EXIT_DONE;
    case 'scale':
      writeRows(measureScaleAtSizes(flags), flags.json);
      return EXIT_DONE;
    case 'histories':
      return histories(flags);
    case 'turn-histories':
      return turnHistories(flags);
    case 'retention-histories':
      return retentionHistories(flags);
    case 'power-loss-days':
      return powerLossDays(flags);
    case 'configuration-histories':
      return configurationHistories(flags);
    case 'stream-histories':
      return streamHistories(flags);
    default:
      return reportUsageError('name a command; see --help');
  }
}
