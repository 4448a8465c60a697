/**
 * A small deployment on loopback addresses: the project's own programs as separate processes, with the commands of the deploy
 * file and settings of a small site, and the stand-ins beside them.
 */
import { spawn } from 'node:child_process';
import {
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { send } from './client.mjs';
import { Store } from './store.mjs';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
export const HOST_NAME = 'shop.example';
export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));

const ZONES = ['hall-a', 'hall-b', 'hall-c'];
/** The bounds of the small site `kettlewood-pay`. */
const BOUNDS = {
  SeedLagS: 3,
  AddrReuseS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchUpS: 4.3,
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

/** The command of a role, as the deploy file has it. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [program, ...words] = /^run = "(.*)"$/m.exec(section)[1].split(' ');
  return { program: program === 'node' ? process.execPath : program, words };
}

function isFree(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** A process of the project that runs a machine. */
class Machine {
  #child;
  constructor(deployment, role, number) {
    this.deployment = deployment;
    this.role = role;
    this.number = number;
    this.zone = ZONES[(number - 1) % ZONES.length];
    this.name = `${role === 'gateway' ? 'edge' : 'storage'}-${number}`;
    this.host = deployment.addressOf(role === 'gateway' ? number : 100 + number);
    this.folder = join(deployment.folder, this.name);
    this.data = join(this.folder, 'data');
    mkdirSync(this.data, { recursive: true });
  }

  get isRunning() {
    return this.#child !== undefined;
  }

  get processId() {
    return this.#child?.pid;
  }

  start(isFirstStart = false) {
    const { ports, seeds, storeAddressOf, extraBounds, platform } = this.deployment;
    const isGateway = this.role === 'gateway';
    const settings = {
      NodeName: this.name,
      Role: this.role,
      MachineClass: isGateway ? 'edge' : 'storage',
      Serves: isGateway ? ['edge', 'control'] : ['storage'],
      Ip: this.host,
      Zone: this.zone,
      Region: 'bc-south',
      Zones: Object.fromEntries(ZONES.map((zone) => [zone, 'bc-south'])),
      Listen: isGateway
        ? {
            Front: `${this.host}:${ports.front}`,
            Ready: `${this.host}:${ports.ready}`,
            Control: `${this.host}:${ports.control}`,
          }
        : {},
      InternalPorts: [ports.peer, ports.metrics],
      Seeds: seeds,
      Bootstrap: isFirstStart,
      InTolerance: !isGateway,
      Limits: {
        CpuShare: 0.675,
        Cores: 1,
        MemoryMb: isGateway ? 200 : 210,
        MaxFds: isGateway ? 4100 : 8200,
        LinkMbps: 1000.0,
        DiskMb: isGateway ? 0 : 340,
      },
      DataDir: isGateway ? null : this.data,
      Discovery: 'platform',
      Entry: 'vip',
      HeartbeatMs: 1200,
      Contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'recover',
        'agent',
        'stream',
        'engine',
        'platform',
      ],
      FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
      Bounds: { ...BOUNDS, ...extraBounds },
      Platform: {
        Address: storeAddressOf(this.name),
        form: 'kv',
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        ValueBytes: 1048576,
        MinTtlMs: 1000,
        ...platform,
      },
    };
    const file = join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(settings));
    const { program, words } = commandOf(this.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, IVYLOOM_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, 'log'), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.#child = child;
    this.exit = new Promise((done) =>
      child.once('exit', (code, signal) => {
        if (this.#child === child) {
          this.#child = undefined;
        }
        done(signal ?? code);
      }),
    );
  }

  signal(name) {
    this.#child?.kill(name);
  }

  /** Kills the process and waits for its end. */
  async kill() {
    const { exit } = this;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await exit;
  }

  /** Empties the disk of a machine whose process does not run. */
  loseDisk() {
    rmSync(this.data, { recursive: true, force: true });
    mkdirSync(this.data, { recursive: true });
  }
}

/** The processes and the store. */
export class Deployment {
  store = new Store();
  gateways = [];
  replicas = [];
  #closers = [];

  /** Finds free ports on loopback addresses and makes the folder. */
  static async create({ gateways, replicas, bounds = {}, platform = {} }) {
    const deployment = new Deployment();
    deployment.extraBounds = bounds;
    deployment.platform = platform;
    deployment.folder = mkdtempSync(join(tmpdir(), 'ivyloom-review-'));
    deployment.block = 2 + (process.pid % 250);
    const base = 20_000 + Math.floor(Math.random() * 20) * 500;
    const names = ['front', 'ready', 'control', 'peer', 'metrics', 'store', 'runner'];
    const ports = {};
    let port = base;
    for (const name of names) {
      while (!(await isFree(deployment.addressOf(1), port))) {
        port += 1;
      }
      ports[name] = port;
      port += 1;
    }
    deployment.ports = ports;
    const indexOf = (name) => Number(name.split('-')[1]) + (name.startsWith('edge') ? 0 : 100);
    deployment.storeAddressOf = (name) => `${deployment.storeHostOf(indexOf(name))}:${ports.store}`;
    deployment.seeds = Array.from({ length: Math.min(3, gateways) }, (_, index) => {
      return `${deployment.addressOf(index + 1)}:${ports.control}`;
    });
    for (let number = 1; number <= gateways; number += 1) {
      deployment.gateways.push(new Machine(deployment, 'gateway', number));
    }
    for (let number = 1; number <= replicas; number += 1) {
      deployment.replicas.push(new Machine(deployment, 'replica', number));
    }
    for (const { name } of deployment.machines) {
      await deployment.store.listen(name, deployment.storeHostOf(indexOf(name)), ports.store);
    }
    return deployment;
  }

  get machines() {
    return [...this.gateways, ...this.replicas];
  }

  addressOf(index) {
    return `127.${this.block}.1.${index}`;
  }

  storeHostOf(index) {
    return `127.${this.block}.2.${index}`;
  }

  runnerHostOf(index) {
    return `127.${this.block}.3.${index}`;
  }

  /** Starts a runner and lists it in the store. */
  async addRunner(runner, index, service, fields = {}) {
    const host = this.runnerHostOf(index);
    await runner.listen(host, this.ports.runner);
    this.#closers.push(() => runner.close());
    this.store.put(`servers/${runner.id}`, {
      Service: service,
      Address: `${host}:${this.ports.runner}`,
      Zone: ZONES[(index - 1) % ZONES.length],
      Version: 'v1',
      Slots: 64,
      State: 'ready',
      ColdRemainingMs: 0,
      Seq: 1,
      ...fields,
    });
  }

  /** Resolves with whether a gateway says that it is ready. */
  async isReady({ host }) {
    const { status } = await send({
      host,
      port: this.ports.ready,
      method: 'GET',
      path: '/api/readyz',
      headers: {},
      timeout: 1_000,
    });
    return status === 200;
  }

  /** Resolves once all gateways are ready; rejects after a time. */
  async allReady(milliseconds = 15_000) {
    const until = Date.now() + milliseconds;
    for (const gateway of this.gateways) {
      while (!(await this.isReady(gateway))) {
        if (Date.now() > until) {
          throw new Error(`${gateway.name} is not ready`);
        }
        await sleep(50);
      }
    }
  }

  /** Members of the record of the replicas, by the names of their machines. */
  members() {
    return (this.store.read('ivyloom/members')?.members ?? []).map(({ node }) => node);
  }

  /** Ends everything that was started. */
  async close() {
    await Promise.all(
      this.machines.filter(({ isRunning }) => isRunning).map((each) => each.kill()),
    );
    this.#closers.forEach((close) => close());
    this.store.close();
    if (process.env.KEEP_FOLDER === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    } else {
      process.stderr.write(`${this.folder}\n`);
    }
  }
}

/**
 * Runs a case. `play(deployment, note, trouble)` resolves with what broke the rule; an empty list says that the rule held. What is
 * noted goes to the record. The process exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
 */
export async function runCase(folder, options, play) {
  const trouble = process.env.TROUBLE !== '0';
  const startedAt = Date.now();
  const lines = [];
  const note = (text) => lines.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);
  let code = 2;
  let deployment;
  const limit = setTimeout(() => {
    note('the case took too long');
    finish(2);
  }, 110_000);
  const finish = async (result) => {
    clearTimeout(limit);
    await deployment?.close();
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.slice(-3).join('\n')}\n`);
    process.exit(result);
  };
  process.on('SIGTERM', () => finish(2));
  process.on('SIGINT', () => finish(2));
  try {
    note(trouble ? 'with the disruption' : 'without the disruption');
    deployment = await Deployment.create(options);
    const broken = await play(deployment, note, trouble);
    broken.forEach((text) => note(`BROKEN ${text}`));
    note(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    code = broken.length > 0 ? 1 : 0;
  } catch (cause) {
    note(`the case could not run: ${cause.stack ?? cause}`);
  }
  await finish(code);
}
