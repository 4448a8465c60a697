/** `npm run soak`: the fault soak from the command line. */
import '../src/runtime/prepared-hashing.js';
import meow from 'meow';
import { BuildError, buildProgram } from './built-program.js';
import { FAULTS } from './soak-faults.js';
import { MOST_BLOCKS } from './soak-hosts.js';
import { runSoak } from './run-soak.js';
import { UPGRADE_ENDS, UPGRADE_ORDERS } from './soak-upgrade.js';
import type { UpgradePlan } from './soak-upgrade.js';

const EXIT_WRONG_USE = 2;

const cli = meow(
  `
  Usage
    $ npm run -s soak -- [--seed N] [--minutes M] [--clients C] [--gateways G] [--replicas R] [--block B] [--faults A,B,…]

  Starts gateways, replicas and stand-ins as real processes and servers on loopback,
  strikes them with faults from outside, and checks the promises from what clients and runners see.

  Options
    --seed N      faults and load depend on it (default: the time)
    --minutes M   how long faults strike (default 2)
    --clients C   clients at work (default 8)
    --gateways G  gateways at work (default 3)
    --replicas R  replicas at work, three of them members (default 4)
    --faults A,B  kinds of faults that strike (default all), or none: ${FAULTS.join(', ')}
    --no-strangers  no entries of other writers stand in the store: older builds end over them
    --upgrade-from COMMIT  all machines start with the build of this commit, and one after the other begins
                  again with the build at hand
    --order O     which machines come first: ${UPGRADE_ORDERS.join(', ')} (default ${UPGRADE_ORDERS[0]})
    --upgrade-end E  how far the upgrade goes: ${UPGRADE_ENDS.join(', ')} (default ${UPGRADE_ENDS[0]});
                  back is a step back from halfway
    --no-judge-refusals  an upgrade without faults may refuse requests, as on a machine that is busy otherwise;
                  no connection may end over a message all the same
    --block B     block of loopback addresses, 0 to ${MOST_BLOCKS}: soaks of different blocks run beside
                  one another (default 0)

  Exit codes
    0  no promise broken
    1  a promise was broken; the report names it, the seed and the folder with the logs
    2  wrong use, a commit that is not at hand or can't be built, or ended by a signal
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
      strangers: { type: 'boolean', default: true },
      upgradeFrom: { type: 'string' },
      order: { type: 'string', default: UPGRADE_ORDERS[0], choices: [...UPGRADE_ORDERS] },
      upgradeEnd: { type: 'string', default: UPGRADE_ENDS[0], choices: [...UPGRADE_ENDS] },
    },
  },
);

const { seed, minutes, clients: clientCount, gateways: gatewayCount, block } = cli.flags;
const { replicas: replicaCount } = cli.flags;
const LEAST_REPLICAS = 3;
const isWhole = Number.isInteger(block) && block >= 0 && block <= MOST_BLOCKS;
const hasGateways = Number.isInteger(gatewayCount) && gatewayCount >= 1;
const hasReplicas = Number.isInteger(replicaCount) && replicaCount >= LEAST_REPLICAS;
if (!isWhole || !hasGateways || !hasReplicas) {
  process.stderr.write(
    'soak: --block, --gateways and --replicas are whole numbers within their bounds\n',
  );
  process.exit(EXIT_WRONG_USE);
}
const named = cli.flags.faults === 'none' ? [] : cli.flags.faults.split(',');
const unknown = named.filter((name) => !FAULTS.some((fault) => fault === name));
if (unknown.length > 0) {
  process.stderr.write(`soak: no such faults: ${unknown.join(', ')}\n`);
  process.exit(EXIT_WRONG_USE);
}
const faults = FAULTS.filter((fault) => named.includes(fault));

/** The upgrade to be played; ends the soak where its commit is not at hand. */
function upgradeOf(from: string): UpgradePlan {
  const { order, upgradeEnd, judgeRefusals } = cli.flags;
  try {
    return {
      from,
      program: buildProgram(from),
      order: order as UpgradePlan['order'],
      end: upgradeEnd as UpgradePlan['end'],
      judged: faults.length > 0 ? 'nothing' : judgeRefusals ? 'refusals' : 'connections',
    };
  } catch (cause) {
    if (cause instanceof BuildError) {
      process.stderr.write(`soak: ${cause.message}\n`);
      process.exit(EXIT_WRONG_USE);
    }
    throw cause;
  }
}

const { upgradeFrom } = cli.flags;
const upgrade = upgradeFrom === undefined ? undefined : upgradeOf(upgradeFrom);
const { strangers: hasStrangeEntries } = cli.flags;
const sizes = { clientCount, gatewayCount, replicaCount };
const soak = runSoak({ seed, minutes, ...sizes, block, faults, upgrade, hasStrangeEntries });
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(EXIT_WRONG_USE));
}
// Also where the soak itself fails: no process of it stays behind.
process.once('exit', () => soak.killAll());
const report = await soak.report;
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exit(report.violations.length > 0 ? 1 : 0);
