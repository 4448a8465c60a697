/** The bundled program as a process, with what it may meet while it starts: pipes that block it, and addresses that are held. */
import { execFileSync, spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { copyFileSync, mkdirSync, mkdtempSync, readFileSync, renameSync, rmSync } from 'node:fs';
import { writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { CONFIGURATION_KEY } from '../../platform/store-keys.js';
import { StandInStore } from '../../platform/stand-in/store-server.js';
import type { PlatformRole } from '../../soak/platform-process.js';
import { SOAK_PORTS } from '../../soak/platform-process.js';
import { SoakConfiguration } from '../../soak/soak-configuration.js';
import { createRandom } from '../../src/runtime/random.js';

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Transport and port of a listener. */
export interface ListenerAddress {
  readonly transport: 'tcp' | 'udp';
  readonly port: number;
}

/** Listeners of the processes, by the name that the scenarios use. */
export const LISTENERS: Readonly<Record<string, ListenerAddress>> = {
  clients: { transport: 'tcp', port: SOAK_PORTS.front },
  readiness: { transport: 'tcp', port: SOAK_PORTS.ready },
  exchange: { transport: 'tcp', port: SOAK_PORTS.control },
  metrics: { transport: 'tcp', port: SOAK_PORTS.metrics },
  calls: { transport: 'tcp', port: SOAK_PORTS.peer },
  gossip: { transport: 'udp', port: SOAK_PORTS.peer },
  proofs: { transport: 'udp', port: SOAK_PORTS.metrics },
};

const POLL_MILLISECONDS = 20;
const STORE_PORT = 18_000;
const SEED = 1;
/** Hosts of the loopback network from which one is chosen, so that test runs beside one another have their own. */
const FIRST_HOST = 10;
const HOSTS = 200;

let bundle: string | undefined;

/** Builds the program at the first call; returns the folder. */
export function bundleFolder(): string {
  if (bundle === undefined) {
    bundle = mkdtempSync(join(tmpdir(), 'ivyloom-bundle-'));
    execFileSync(process.execPath, ['scripts/bundle.mjs', bundle]);
  }
  return bundle;
}

/** Removes what was built. */
export function removeBundle(): void {
  if (bundle !== undefined) {
    rmSync(bundle, { recursive: true, force: true });
  }
}

/** Resolves once `condition` is true. */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await sleep(POLL_MILLISECONDS);
  }
}

/** Binds an address; resolves with the function that frees it, or undefined when it is in use. */
export function hold(
  host: string,
  { transport, port }: ListenerAddress,
): Promise<(() => Promise<void>) | undefined> {
  return new Promise((settle) => {
    if (transport === 'udp') {
      const socket = createSocket('udp4');
      socket.once('error', () => settle(undefined));
      socket.bind(port, host, () => settle(() => new Promise((done) => socket.close(done))));
      return;
    }
    const server = createServer((socket) => socket.destroy());
    server.once('error', () => settle(undefined));
    server.listen(port, host, () =>
      settle(() => new Promise((done) => server.close(() => done()))),
    );
  });
}

/** One process and its folder. */
export class StartingProcess {
  readonly host = `127.0.10.${FIRST_HOST + (process.pid % HOSTS)}`;
  /** Standard output and error output so far. */
  output = '';
  /** How the process ended; undefined while it runs. */
  end: ProcessEnd | undefined;
  readonly settingsFile: string;
  private readonly folder = mkdtempSync(join(tmpdir(), 'ivyloom-start-'));
  private readonly store = new StandInStore();
  private child: ChildProcess | undefined;
  private program = join(bundleFolder(), 'main.cjs');

  constructor(readonly role: PlatformRole) {
    this.settingsFile = join(this.folder, 'node.json');
    mkdirSync(this.dataFolder);
    writeFileSync(this.settingsFile, this.settings());
  }

  get dataFolder(): string {
    return join(this.folder, 'data');
  }

  /** Valid settings as text; `changes` replace fields. */
  settings(changes: Record<string, unknown> = {}): string {
    const { host, role } = this;
    const address = (port: number): string => `${host}:${port}`;
    const { front, ready, control, peer, metrics } = SOAK_PORTS;
    return JSON.stringify({
      NodeName: 'n1',
      Ip: host,
      Zone: 'z1',
      Zones: { z1: 'r' },
      Listen:
        role === 'gateway'
          ? { Front: address(front), Ready: address(ready), Control: address(control) }
          : {},
      InternalPorts: [peer, metrics],
      Seeds: [address(control)],
      DataDir: role === 'replica' ? this.dataFolder : null,
      Bounds: { GraceS: 8, ConfigApplyMs: 2_000, StrictRevoke: true, RevokeMs: 4_000 },
      FaultTolerance: { Machines: 1 },
      Platform: { Address: address(STORE_PORT) },
      ...changes,
    });
  }

  /** Replaces the settings file. */
  writeSettings(text: string): void {
    writeFileSync(this.settingsFile, text);
  }

  /** Starts the store, with a configuration. */
  async startStore(): Promise<void> {
    await this.store.listen(this.host, STORE_PORT);
    this.store.put(CONFIGURATION_KEY, new SoakConfiguration(createRandom(SEED)).next().value);
  }

  /** Starts the process. */
  start(): void {
    const child = spawn(process.execPath, [this.program, this.role], {
      env: { ...process.env, IVYLOOM_NODE_FILE: this.settingsFile },
    });
    const collect = (chunk: Buffer): void => {
      this.output += chunk.toString('utf8');
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.on('close', (code, signal) => {
      this.end = { code, signal };
    });
    this.child = child;
  }

  /**
   * Starts the process with a pipe in place of its code or of its settings. Resolves once the process waits at the pipe;
   * the returned function lets it continue, with the file back in place.
   */
  async startBlockedAt(moment: 'code' | 'settings'): Promise<() => Promise<void>> {
    const path = moment === 'code' ? this.separateCode() : this.settingsFile;
    const content = readFileSync(path);
    rmSync(path);
    execFileSync('mkfifo', [path]);
    this.start();
    const pipe = await open(path, 'w');
    return async () => {
      writeFileSync(`${path}.new`, content);
      renameSync(`${path}.new`, path);
      // The pipe has no reader if the process has ended.
      await pipe.writeFile(content).catch(() => undefined);
      await pipe.close();
    };
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Resolves once the process has logged an event this many times; fails if the process ends before. */
  async untilLogged(event: string, times = 1): Promise<void> {
    await until(() => this.end !== undefined || this.countOf(event) >= times);
    if (this.countOf(event) < times) {
      throw new Error(`ended with ${JSON.stringify(this.end)}: ${this.output}`);
    }
  }

  /** Number of log lines of an event. */
  countOf(event: string): number {
    return this.output.split(`"event":"${event}"`).length - 1;
  }

  /** Resolves with how the process ended. */
  async untilEnded(): Promise<ProcessEnd> {
    await until(() => this.end !== undefined);
    return this.end!;
  }

  /** Status of the readiness check; undefined when nothing answers. */
  async readiness(): Promise<number | undefined> {
    const response = await fetch(`http://${this.host}:${SOAK_PORTS.ready}/`).catch(() => undefined);
    return response?.status;
  }

  /** Kills the process, and removes its folder. */
  async close(): Promise<void> {
    this.store.close();
    if (this.child !== undefined) {
      this.signal('SIGKILL');
      await this.untilEnded();
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Copies the code to the folder of the process; returns the path of the file that the loader reads. */
  private separateCode(): string {
    copyFileSync(resolve(bundleFolder(), 'main.cjs'), join(this.folder, 'main.cjs'));
    const path = join(this.folder, 'program.cjs');
    copyFileSync(resolve(bundleFolder(), 'program.cjs'), path);
    this.program = join(this.folder, 'main.cjs');
    return path;
  }
}
