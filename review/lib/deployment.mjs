// A small deployment on loopback addresses: the project's own programs as separate processes, with the commands of the
// deploy file and settings as DEPLOY describes them, and the platform as a stand-in that restarts processes that end.
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { Store } from './store.mjs';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
/** Time after which the platform starts a process again that has ended. */
const RESTART_MILLISECONDS = 500;
const PORT_NAMES = ['front', 'ready', 'control', 'peer', 'metrics', 'store', 'runner'];

/** The bounds of the site, in part. */
export const BOUNDS = {
  SeedLagS: 3,
  AddrReuseS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchUpS: 4.8,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  RecoveryS: 12,
  PassMs: 120,
  RetryAfterS: 0,
  DeadlineS: 10,
  SettleMs: 1000,
};

export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));

/** The command of a role in the deploy file, split at spaces. */
function commandOf(role) {
  const file = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = file.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "([^"]+)"/m.exec(section)?.[1];
  if (run === undefined) {
    throw new Error(`the deploy file has no role ${role}`);
  }
  return run.split(' ');
}

function isFree(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** Draws ports, the same on all machines, and an address block of the loopback range in which they are free. */
async function drawPlace(machineCount) {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const block = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const ports = Object.fromEntries(PORT_NAMES.map((name, index) => [name, first + index]));
    const checks = [];
    for (let number = 1; number <= machineCount; number += 1) {
      Object.values(ports).forEach((port) => checks.push(isFree(`${block}.${number}`, port)));
    }
    if ((await Promise.all(checks)).every(Boolean)) {
      return { block, ports };
    }
  }
  throw new Error('no free ports');
}

/** One machine with one process of the system. */
class Machine {
  constructor(deployment, { name, role, host, zone }) {
    Object.assign(this, { deployment, name, role, host, zone });
    this.folder = join(deployment.folder, name);
    this.exits = [];
    this.isStopped = false;
    this.isFirstStart = true;
    mkdirSync(join(this.folder, 'data'), { recursive: true });
  }

  settings() {
    const { ports, zones, region, seeds, bounds, contracts, memoryMb } = this.deployment;
    const isGateway = this.role === 'gateway';
    return {
      NodeName: this.name,
      Role: this.role,
      MachineClass: isGateway ? 'edge' : 'storage',
      Serves: isGateway ? ['edge', 'control'] : ['storage'],
      Ip: this.host,
      Zone: this.zone,
      Region: region,
      Zones: Object.fromEntries(zones.map((zone) => [zone, region])),
      Listen: isGateway
        ? {
            Front: `${this.host}:${ports.front}`,
            Ready: `${this.host}:${ports.ready}`,
            Control: `${this.host}:${ports.control}`,
          }
        : {},
      InternalPorts: [ports.peer, ports.metrics],
      Seeds: seeds,
      Bootstrap: this.isFirstStart,
      InTolerance: !isGateway,
      Limits: {
        CpuShare: 1,
        Cores: 1,
        MemoryMb: memoryMb[this.role],
        MaxFds: isGateway ? 4100 : 8200,
        LinkMbps: 1000,
        DiskMb: isGateway ? 0 : 440,
      },
      DataDir: isGateway ? null : join(this.folder, 'data'),
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1200,
      Contracts: contracts,
      FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
      Bounds: bounds,
      Platform: {
        Address: `${this.deployment.storeHost}:${ports.store}`,
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        ValueBytes: 1048576,
        MinTtlMs: 1000,
      },
    };
  }

  start() {
    const file = join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(this.settings()));
    const [program, ...words] = commandOf(this.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, IVYLOOM_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, 'log'), { flags: 'a' });
    this.errors = '';
    child.stdout.pipe(log, { end: false });
    child.stderr.on('data', (chunk) => {
      this.errors = (this.errors + chunk.toString()).slice(-4000);
      log.write(chunk);
    });
    this.child = child;
    this.isFirstStart = false;
    child.on('exit', (code, signal) => {
      this.child = undefined;
      log.end();
      if (this.isStopped) {
        return;
      }
      const at = this.deployment.now();
      this.exits.push({ at, code, signal, errors: this.errors });
      this.deployment.note('process ended by itself', {
        machine: this.name,
        exit: code ?? signal,
        error: /^\w*Error.*$/m.exec(this.errors)?.[0] ?? '',
      });
      setTimeout(() => !this.isStopped && this.start(), RESTART_MILLISECONDS);
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  /** Kills the process for good. */
  stop() {
    this.isStopped = true;
    this.child?.kill('SIGCONT');
    this.child?.kill('SIGKILL');
  }
}

/** The machines, the store, and the record of a run. */
export class Deployment {
  constructor(options) {
    Object.assign(
      this,
      {
        gatewayCount: 2,
        replicaCount: 3,
        zones: ['dkr-plateau', 'dkr-yoff', 'dkr-rufisque'],
        region: 'dakar',
        contracts: ['base', 'drain', 'config', 'cost', 'recover', 'agent', 'stream', 'platform'],
        bounds: BOUNDS,
        memoryMb: { gateway: 350, replica: 380 },
        extraHosts: 8,
      },
      options,
    );
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    this.startedAt = performance.now();
    this.lines = [];
    this.closers = [];
  }

  /** Milliseconds since the start of the run. */
  now() {
    return Math.round((performance.now() - this.startedAt) * 10) / 10;
  }

  note(what, fields = {}) {
    this.lines.push({ at: this.now(), what, ...fields });
  }

  async start() {
    const { gatewayCount, replicaCount, extraHosts } = this;
    const { block, ports } = await drawPlace(gatewayCount + replicaCount + extraHosts + 1);
    Object.assign(this, { block, ports });
    this.storeHost = `${block}.${gatewayCount + replicaCount + 1}`;
    const zoneOf = (index) => this.zones[index % this.zones.length];
    const machineOf = (role, index, number) =>
      new Machine(this, {
        name: `${role === 'gateway' ? 'edge' : 'storage'}-${zoneOf(index)}-${index + 1}`,
        role,
        host: `${block}.${number}`,
        zone: zoneOf(index),
      });
    this.seeds = Array.from(
      { length: Math.min(3, gatewayCount) },
      (_, index) => `${block}.${index + 1}:${ports.control}`,
    );
    this.gateways = Array.from({ length: gatewayCount }, (_, index) =>
      machineOf('gateway', index, index + 1),
    );
    this.replicas = Array.from({ length: replicaCount }, (_, index) =>
      machineOf('replica', index, gatewayCount + index + 1),
    );
    await this.store.listen(this.storeHost, ports.store);
    [...this.gateways, ...this.replicas].forEach((machine) => machine.start());
  }

  /** Address of a further machine, such as that of a runner; numbers from 0. */
  extraHost(number) {
    return `${this.block}.${this.gatewayCount + this.replicaCount + 2 + number}`;
  }

  /** Resolves once every gateway says that it is ready and the replicas have a record; throws if that takes too long. */
  async whenReady(milliseconds = 15_000) {
    const until = performance.now() + milliseconds;
    for (;;) {
      const answers = await Promise.all(this.gateways.map((machine) => this.isReady(machine)));
      const members = this.store.get('ivyloom/members');
      const memberCount = members === undefined ? 0 : JSON.parse(members).members.length;
      if (answers.every(Boolean) && memberCount >= Math.min(3, this.replicaCount)) {
        return;
      }
      if (performance.now() > until) {
        throw new Error('the deployment did not become ready');
      }
      await sleep(100);
    }
  }

  async isReady({ host }) {
    try {
      const answer = await fetch(`http://${host}:${this.ports.ready}/api/readyz`, {
        signal: AbortSignal.timeout(1_000),
      });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  onClose(closer) {
    this.closers.push(closer);
  }

  /** Ends all processes and servers that were started, and removes the temporary folder. */
  async close() {
    const machines = [...(this.gateways ?? []), ...(this.replicas ?? [])];
    machines.forEach((machine) => machine.stop());
    this.closers.forEach((closer) => closer());
    this.store.close();
    await sleep(300);
    if (process.env.KEEP_LOGS !== '1') {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/** Runs a case: 1 if `check` returns reasons why the rule is broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, options, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(options);
  let exitCode = 2;
  const guard = setTimeout(() => {
    [...(deployment.gateways ?? []), ...(deployment.replicas ?? [])].forEach((each) => each.stop());
    process.exit(2);
  }, 115_000);
  try {
    await deployment.start();
    const broken = await play(deployment, hasTrouble);
    exitCode = broken.length > 0 ? 1 : 0;
    deployment.note(broken.length > 0 ? 'RULE BROKEN' : 'rule held', { reasons: broken });
    console.log(broken.length > 0 ? `rule broken: ${broken.join('; ')}` : 'rule held');
  } catch (cause) {
    deployment.note('the case could not run', { cause: String(cause?.stack ?? cause) });
    console.log(`the case could not run: ${cause}`);
  }
  await deployment.close();
  clearTimeout(guard);
  const strip = (line) =>
    JSON.stringify(line).replaceAll(deployment.folder, 'FOLDER').replaceAll(ROOT, '.');
  writeFileSync(join(folder, 'record.txt'), `${deployment.lines.map(strip).join('\n')}\n`);
  process.exit(exitCode);
}
