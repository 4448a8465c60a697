/**
 * Counts what becomes of resumed streams when all gateways are killed at once and versions, entries or a route change before they
 * return: `node dist/soak/gateway-kills.js PROGRAM SEED BLOCK ROUNDS`. Nothing else loads the processes.
 */
import '../src/runtime/prepared-hashing.js';
import { CONFIGURATION_KEY } from '../platform/store-keys.js';
import { createRandom } from '../src/runtime/random.js';
import { SoakConfiguration } from './soak-configuration.js';
import { CHANGES_WHILE_AWAY } from './soak-faults.js';
import { SOAK_ZONES, SoakWorld } from './soak-world.js';
import { StreamVersionCheck } from './stream-version-check.js';
import { MOVABLE_ROUTE, RESUMABLE_ROUTE } from './versioned-runners.js';

/** Time between two kills, so that gateways serve again and streams are under way. */
const SETTLE_MILLISECONDS = 6_000;
/** Longest and shortest time for which all gateways are away, in milliseconds. */
const AWAY_MILLISECONDS: readonly [number, number] = [300, 1_500];

const [program = 'target/main.cjs', seedText = '1', blockText = '0', roundsText = '1'] =
  process.argv.slice(2);
const random = createRandom(Number(seedText), 'kills');
const sizes = { gatewayCount: 3, replicaCount: 3, runnerCount: 1, block: Number(blockText) };
const content = { hasInvalidEntries: false, toleratesZoneLoss: false, onArrival: () => undefined };
const world = new SoakWorld({ ...sizes, program, ...content });
process.once('exit', () => world.processes.forEach((each) => each.signal('SIGKILL')));
const configuration = new SoakConfiguration(random);
const violations: string[] = [];
const check = new StreamVersionCheck({
  random: createRandom(Number(seedText), 'streams'),
  gatewayHosts: world.gatewayHosts,
  zones: SOAK_ZONES,
  store: world.store,
  addressOf: (number) => world.runnerAddressOf(number),
  isInContact: () => false,
  areReplicasInContact: () => false,
  areStreamsKnown: () => false,
  violate: (promise, detail) => violations.push(`${promise}: ${detail}`),
});

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function writeConfiguration(): void {
  world.store.put(CONFIGURATION_KEY, configuration.next().value);
}

async function killAll(
  change: (typeof CHANGES_WHILE_AWAY)[number],
  killsReplicas: boolean,
): Promise<void> {
  const suffix = killsReplicas ? ', replicas killed' : '';
  const victims = killsReplicas ? world.processes : world.processesOf('gateway');
  const ended = victims.map((victim) => victim.whenExited());
  victims.forEach((victim) => victim.signal('SIGKILL'));
  const route = change === 'entries go' ? RESUMABLE_ROUTE : MOVABLE_ROUTE;
  check.noteChange(
    `${change}${suffix}`,
    change === 'nothing' ? undefined : route,
    `nothing${suffix}`,
  );
  await Promise.all(ended);
  if (change === 'entries go') {
    check.runners.removeOldest();
  } else if (change === 'replaced') {
    await check.runners.replace(check.movableService);
  } else if (change === 'route moves') {
    check.noteMove(configuration.moveRoute());
    writeConfiguration();
  }
  await sleep(random.integer(...AWAY_MILLISECONDS));
  victims.forEach((victim) => victim.start());
}

await world.startDependencies();
await check.start();
writeConfiguration();
await world.startProcesses();
let isOver = false;
const streams = check.run(() => isOver);
await sleep(SETTLE_MILLISECONDS);
for (let round = 0; round < Number(roundsText); round += 1) {
  for (const change of CHANGES_WHILE_AWAY) {
    await killAll(change, false);
    await sleep(SETTLE_MILLISECONDS);
  }
  await killAll('replaced', true);
  await sleep(SETTLE_MILLISECONDS);
}
isOver = true;
await streams;
await world.stop();
process.stdout.write(
  `${JSON.stringify({ seed: Number(seedText), counts: check.counts, violations, folder: world.folder }, null, 2)}\n`,
);
process.exit(violations.length > 0 ? 1 : 0);
