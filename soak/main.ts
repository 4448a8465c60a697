/** Command line of the fault soak: `npm run soak`. */
import '../src/runtime/prepared-hashing.js';
import meow from 'meow';
import { BuildError, buildProgram } from './built-program.js';
import { FAULTS, ZONE_FAULTS } from './soak-faults.js';
import { MAXIMUM_BLOCK } from './soak-hosts.js';
import { runSoak } from './run-soak.js';
import { UPGRADE_ENDS, UPGRADE_ORDERS } from './soak-upgrade.js';
import type { UpgradePlan } from './soak-upgrade.js';

const EXIT_USAGE_ERROR = 2;

const cli = meow(
  `
  Usage
    $ npm run -s soak -- [--seed N] [--minutes M] [--clients C] [--gateways G] [--replicas R] [--block B] [--faults A,B,…]

  Starts gateways, replicas and stand-ins as real processes and servers on loopback,
  injects faults from outside, and checks the platform's guarantees by what clients and runners observe.

  Options
    --seed N      seed of the faults and the load (default: from the time)
    --minutes M   how long faults are injected (default 2)
    --clients C   number of concurrent clients with a connection for each request (default 8); half as many
                  others keep their connections and send requests ahead
    --gateways G  number of gateways (default 3)
    --replicas R  number of replicas, three of them members (default 4)
    --faults A,B  fault kinds to inject (default all), or none: ${FAULTS.join(', ')};
                  also ${ZONE_FAULTS.join(', ')}, with settings that tolerate the loss of a zone
    --tolerate-zone  let the settings tolerate the loss of a zone also without these faults
    --no-strangers  put no invalid runner entries of other writers into the store: older builds exit on them
    --upgrade-from COMMIT  start all machines with the build of this commit, and restart one after another
                  with the current build
    --program-of COMMIT  run all machines with the build of this commit, to see what the checks find there
    --order O     which machines are upgraded first: ${UPGRADE_ORDERS.join(', ')} (default ${UPGRADE_ORDERS[0]})
    --upgrade-end E  how far the upgrade goes: ${UPGRADE_ENDS.join(', ')} (default ${UPGRADE_ENDS[0]});
                  back rolls back from halfway
    --no-judge-refusals  allow refused requests during an upgrade without faults, for a machine that is busy
                  with other work; connections closed over unreadable messages still fail the run
    --block B     block of loopback addresses, 0 to ${MAXIMUM_BLOCK}: soaks in different blocks can run
                  concurrently (default 0)

  Exit codes
    0  no guarantee violated
    1  a guarantee was violated; the report names it, the seed and the folder with the logs
    2  invalid usage, a commit that is not in the clone or can't be built, or ended by a signal
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: Date.now() % 1_000_000 },
      minutes: { type: 'number', default: 2 },
      clients: { type: 'number', default: 8 },
      gateways: { type: 'number', default: 3 },
      replicas: { type: 'number', default: 4 },
      block: { type: 'number', default: 0 },
      faults: { type: 'string', default: FAULTS.join(',') },
      judgeRefusals: { type: 'boolean', default: true },
      tolerateZone: { type: 'boolean', default: false },
      strangers: { type: 'boolean', default: true },
      upgradeFrom: { type: 'string' },
      programOf: { type: 'string' },
      order: { type: 'string', default: UPGRADE_ORDERS[0], choices: [...UPGRADE_ORDERS] },
      upgradeEnd: { type: 'string', default: UPGRADE_ENDS[0], choices: [...UPGRADE_ENDS] },
    },
  },
);

const { seed, minutes, clients: clientCount, gateways: gatewayCount, block } = cli.flags;
const { replicas: replicaCount } = cli.flags;
const MINIMUM_REPLICAS = 3;
const isValidBlock = Number.isInteger(block) && block >= 0 && block <= MAXIMUM_BLOCK;
const hasGateways = Number.isInteger(gatewayCount) && gatewayCount >= 1;
const hasReplicas = Number.isInteger(replicaCount) && replicaCount >= MINIMUM_REPLICAS;
if (!isValidBlock || !hasGateways || !hasReplicas) {
  process.stderr.write(
    'soak: --block, --gateways and --replicas must be whole numbers within their bounds\n',
  );
  process.exit(EXIT_USAGE_ERROR);
}
const requestedFaults = cli.flags.faults === 'none' ? [] : cli.flags.faults.split(',');
const allFaults = [...FAULTS, ...ZONE_FAULTS];
const unknownFaults = requestedFaults.filter((name) => !allFaults.some((fault) => fault === name));
if (unknownFaults.length > 0) {
  process.stderr.write(`soak: unknown fault kinds in --faults: ${unknownFaults.join(', ')}\n`);
  process.exit(EXIT_USAGE_ERROR);
}
const faults = allFaults.filter((fault) => requestedFaults.includes(fault));
const toleratesZoneLoss =
  cli.flags.tolerateZone || ZONE_FAULTS.some((fault) => requestedFaults.includes(fault));

/** Builds the old commit and returns the upgrade plan; exits when the commit can't be built. */
function createUpgradePlan(from: string): UpgradePlan {
  const { order, upgradeEnd, judgeRefusals } = cli.flags;
  try {
    return {
      from,
      program: buildProgram(from),
      order: order as UpgradePlan['order'],
      end: upgradeEnd as UpgradePlan['end'],
      checks: faults.length > 0 ? 'nothing' : judgeRefusals ? 'refusals' : 'connections',
    };
  } catch (cause) {
    if (cause instanceof BuildError) {
      process.stderr.write(`soak: ${cause.message}\n`);
      process.exit(EXIT_USAGE_ERROR);
    }
    throw cause;
  }
}

const { upgradeFrom } = cli.flags;
const upgrade = upgradeFrom === undefined ? undefined : createUpgradePlan(upgradeFrom);
/** Builds the commit with which all machines run; exits when it can't be built. */
function programOf(commit: string): string {
  try {
    return buildProgram(commit);
  } catch (cause) {
    if (cause instanceof BuildError) {
      process.stderr.write(`soak: ${cause.message}\n`);
      process.exit(EXIT_USAGE_ERROR);
    }
    throw cause;
  }
}

const program = cli.flags.programOf === undefined ? undefined : programOf(cli.flags.programOf);
const { strangers: hasInvalidEntries } = cli.flags;
const sizes = { clientCount, gatewayCount, replicaCount };
const content = { hasInvalidEntries, toleratesZoneLoss, program };
const soak = runSoak({ seed, minutes, ...sizes, block, faults, upgrade, ...content });
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(EXIT_USAGE_ERROR));
}
// Runs even when the soak itself throws, so that no child process is left behind.
process.once('exit', () => soak.killAll());
const report = await soak.report;
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exit(report.violations.length > 0 ? 1 : 0);
