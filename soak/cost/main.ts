/** Command line of the cost measurement (`npm run cost`): compares the processor time of builds. */
import '../../src/runtime/prepared-hashing.js';
import meow from 'meow';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { MAXIMUM_BLOCK } from '../soak-hosts.js';
import type { CostWorld } from './cost-world.js';
import { measureCosts } from './measure-costs.js';
import type { CostFigures } from './measure-costs.js';
import { programIn } from '../built-program.js';

const EXIT_USAGE_ERROR = 2;

const cli = meow(
  `
  Usage
    $ npm run -s cost -- [--against FOLDER] [--runs N] [--gateways G] [--idle S] [--rates A,B,…] [--seconds S]

  Measures real processes on loopback: processor time of the gateway and the replicas, in milliseconds.
  Prints for each figure the median, the minimum and the maximum of the runs.

  Options
    --program FOLDER  folder of the build to measure (default target)
    --against FOLDER  folder of a build to compare with; runs alternate between the two
    --runs N          runs per build (default 5)
    --gateways G      number of gateways, all but one hollow (default 16)
    --idle S          seconds of the idle measurement (default 5)
    --rates A,B       requests per second (default 2,15,100)
    --seconds S       seconds per rate (default 5)
    --block B         block of loopback addresses, 0 to ${MAXIMUM_BLOCK} (default 40)
`,
  {
    importMeta: import.meta,
    flags: {
      program: { type: 'string', default: 'target' },
      against: { type: 'string', default: '' },
      runs: { type: 'number', default: 5 },
      gateways: { type: 'number', default: 16 },
      idle: { type: 'number', default: 5 },
      rates: { type: 'string', default: '2,15,100' },
      seconds: { type: 'number', default: 5 },
      block: { type: 'number', default: 40 },
    },
  },
);

const { program, against, runs, gateways: gatewayCount, idle, seconds, block } = cli.flags;
const rates = cli.flags.rates.split(',').filter(Boolean).map(Number);
if (![runs, gatewayCount, idle, seconds, ...rates].every((number) => number > 0)) {
  process.stderr.write(
    'cost: --runs, --gateways, --idle, --seconds and --rates must be positive numbers\n',
  );
  process.exit(EXIT_USAGE_ERROR);
}

let current: CostWorld | undefined;
process.once('exit', () => current?.killAll());
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => process.exit(EXIT_USAGE_ERROR));
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function rounded(value: number): string {
  return value.toFixed(2);
}

function spreadOf(name: string, all: readonly CostFigures[]): string {
  const values = all.map((figures) => figures.get(name)!);
  const ends = `${rounded(Math.min(...values))} to ${rounded(Math.max(...values))}`;
  return `${rounded(median(values))} (${ends})`;
}

const runtime = createRealRuntime({ logLevel: 'error' });
const folders = [...new Set([against, program].filter(Boolean))];
const measured = new Map<string, CostFigures[]>(folders.map((folder) => [folder, []]));
for (let run = 0; run < runs; run += 1) {
  for (const folder of folders) {
    const options = { runtime, program: programIn(folder), gatewayCount, block };
    const parts = { idleSeconds: idle, rates, secondsOfRate: seconds };
    const figures = await measureCosts(options, parts, (world) => {
      current = world;
    });
    measured.get(folder)!.push(figures);
  }
}
for (const name of measured.get(program)![0]!.keys()) {
  const texts = folders.map((folder) => `${folder}: ${spreadOf(name, measured.get(folder)!)}`);
  process.stdout.write(`${name}\n  ${texts.join('\n  ')}\n`);
}
process.exit(0);
