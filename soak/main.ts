/** `npm run soak`: the fault soak from the command line. */
import '../src/runtime/prepared-hashing.js';
import meow from 'meow';
import { FAULTS } from './soak-faults.js';
import { MOST_BLOCKS } from './soak-hosts.js';
import { runSoak } from './run-soak.js';

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
    --faults A,B  kinds of faults that strike (default all): ${FAULTS.join(', ')}
    --block B     block of loopback addresses, 0 to ${MOST_BLOCKS}: soaks of different blocks run beside
                  one another (default 0)

  Exit codes
    0  no promise broken
    1  a promise was broken; the report names it, the seed and the folder with the logs
    2  wrong use, or ended by a signal
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
const named = cli.flags.faults.split(',');
const unknown = named.filter((name) => !FAULTS.some((fault) => fault === name));
if (unknown.length > 0) {
  process.stderr.write(`soak: no such faults: ${unknown.join(', ')}\n`);
  process.exit(EXIT_WRONG_USE);
}
const faults = FAULTS.filter((fault) => named.includes(fault));
const soak = runSoak({ seed, minutes, clientCount, gatewayCount, replicaCount, block, faults });
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(EXIT_WRONG_USE));
}
// Also where the soak itself fails: no process of it stays behind.
process.once('exit', () => soak.killAll());
const report = await soak.report;
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exit(report.violations.length > 0 ? 1 : 0);
