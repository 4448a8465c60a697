/** `npm run soak`: the fault soak from the command line. */
import meow from 'meow';
import { runSoak } from './run-soak.js';

const cli = meow(
  `
  Usage
    $ npm run -s soak -- [--seed N] [--minutes M] [--clients C]

  Starts three gateways, three replicas and stand-ins as real processes and servers on loopback,
  strikes them with faults from outside, and checks the promises from what clients and runners see.

  Options
    --seed N      faults and load depend on it (default: the time)
    --minutes M   how long faults strike (default 2)
    --clients C   clients at work (default 8)

  Exit codes
    0  no promise broken
    1  a promise was broken; the report names it, the seed and the folder with the logs
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: Date.now() % 1_000_000 },
      minutes: { type: 'number', default: 2 },
      clients: { type: 'number', default: 8 },
    },
  },
);

const { seed, minutes, clients } = cli.flags;
const report = await runSoak({ seed, minutes, clientCount: clients });
process.stdout.write(`${JSON.stringify(report, null, 2)}\n`);
process.exit(report.violations.length > 0 ? 1 : 0);
