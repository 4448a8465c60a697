/** One process of the platform's program, started and struck by the soak. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import type { RandomSource } from '../src/runtime/random.js';
import { losePower } from './power-loss-ledger.js';
import type { PowerLoss, RecordedFolder } from './power-loss-ledger.js';

/** The role of a process. */
export type PlatformRole = 'gateway' | 'replica';

/** Where one machine of the soak is. */
export interface SoakMachine {
  readonly name: string;
  readonly role: PlatformRole;
  readonly host: string;
  readonly zone: string;
  /** `host:port` at which it finds the store. */
  readonly storeAddress: string;
  readonly seeds: readonly string[];
}

/** Ports, alike on all machines. */
export const SOAK_PORTS = {
  front: 18149,
  ready: 18141,
  control: 18144,
  peer: 17380,
  metrics: 17395,
};

/** Time within which a change of the configuration must be in force, in milliseconds. */
export const SOAK_APPLY_MILLISECONDS = 2_000;

/** Time after its start from which on a machine that replaces another one counts, in milliseconds. */
export const SOAK_CATCH_UP_MILLISECONDS = 4_000;

/** Bounds on tenants. */
export const SOAK_BOUNDS = {
  revokeMilliseconds: 4_000,
  quotaOvershoot: 0.1,
  quotaSlack: 20,
};

const PROGRAM = resolve('target/main.mjs');
/** Memory of each machine as its settings tell it, and the heaps of both roles, in megabytes: as deployed. */
const MEMORY_MEGABYTES = { gateway: 178, replica: 210 };
const YOUNG_GENERATION = '--max-semi-space-size=4';
const HEAP_MEGABYTES = { gateway: 80, replica: 128 };
/** Loaded before the program where there is a disk. */
const RECORDER = pathToFileURL(resolve('dist/soak/record-disk.js')).href;
/** Parts of the names that were not synced which a loss of power takes away. */
const NAME_LOSSES = [0.5, 1];

function dataFolder(folder: string): string {
  return join(folder, 'data');
}

function settingsOf(machine: SoakMachine, folder: string): Record<string, unknown> {
  const { name, host, zone, role, seeds, storeAddress } = machine;
  const listen =
    role === 'gateway'
      ? {
          Front: `${host}:${SOAK_PORTS.front}`,
          Ready: `${host}:${SOAK_PORTS.ready}`,
          Control: `${host}:${SOAK_PORTS.control}`,
        }
      : {};
  return {
    NodeName: name,
    Ip: host,
    Zone: zone,
    Zones: { z1: 'soak', z2: 'soak', z3: 'soak' },
    Listen: listen,
    InternalPorts: [SOAK_PORTS.peer, SOAK_PORTS.metrics],
    Seeds: seeds,
    DataDir: role === 'replica' ? dataFolder(folder) : null,
    Bounds: {
      GraceS: 8,
      ConfigApplyMs: SOAK_APPLY_MILLISECONDS,
      DrainMs: SOAK_APPLY_MILLISECONDS,
      RecoveryS: 12,
      ContactMs: 3_000,
      CatchUpS: SOAK_CATCH_UP_MILLISECONDS / 1_000,
      StrictRevoke: true,
      RevokeMs: SOAK_BOUNDS.revokeMilliseconds,
      QuotaOvershoot: SOAK_BOUNDS.quotaOvershoot,
      QuotaSlack: SOAK_BOUNDS.quotaSlack,
    },
    // One machine may be lost at once: three replicas are members, others stand by.
    FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 },
    Limits: { MemoryMb: MEMORY_MEGABYTES[role] },
    Platform: { Address: storeAddress },
  };
}

/** See the head of this file. */
export class PlatformProcess {
  private child: ChildProcess | undefined;
  /** True from a signal of the soak that ends the process until it is started again. */
  private endExpected = false;
  /** Exits that nobody asked for. */
  readonly ownExits: string[] = [];
  private readonly disk: RecordedFolder;

  constructor(
    readonly machine: SoakMachine,
    private readonly folder: string,
  ) {
    mkdirSync(folder, { recursive: true });
    this.disk = { root: dataFolder(folder), ledger: join(folder, 'disk-ledger') };
  }

  /** Whether the process lives. */
  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts the process. */
  start(): void {
    const file = join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(settingsOf(this.machine, this.folder)));
    const log = createWriteStream(join(this.folder, 'log'), { flags: 'a' });
    const child = spawn(process.execPath, this.words(), { env: this.environment(file) });
    // The log outlasts whichever of the two ends first.
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.on('close', () => log.end());
    this.child = child;
    this.endExpected = false;
    child.on('exit', (code, signal) => {
      if (this.child === child) {
        this.child = undefined;
      }
      if (!this.endExpected) {
        this.ownExits.push(`${this.machine.name} ended with ${code ?? signal ?? 'nothing'}`);
      }
    });
  }

  /** Sends a signal; SIGKILL and SIGTERM are expected to end the process. */
  signal(name: NodeJS.Signals): void {
    if (name === 'SIGKILL' || name === 'SIGTERM') {
      this.endExpected = true;
    }
    this.child?.kill(name);
  }

  /** Resolves when the process has ended. */
  ended(): Promise<void> {
    const { child } = this;
    return new Promise((done) => {
      if (child === undefined) {
        done();
      } else {
        child.once('exit', () => done());
      }
    });
  }

  /** Empties the disk of an ended process. */
  wipe(): void {
    rmSync(this.disk.root, { recursive: true, force: true });
    rmSync(this.disk.ledger, { force: true });
  }

  /** Takes from the disk of an ended process what was not synced. */
  losePower(random: RandomSource): PowerLoss {
    return losePower(this.disk, { random, nameLoss: random.pick(NAME_LOSSES) });
  }

  private words(): string[] {
    const recorder = this.machine.role === 'replica' ? ['--import', RECORDER] : [];
    return [
      `--max-old-space-size=${HEAP_MEGABYTES[this.machine.role]}`,
      YOUNG_GENERATION,
      ...recorder,
      PROGRAM,
      this.machine.role,
    ];
  }

  private environment(settingsFile: string): NodeJS.ProcessEnv {
    return {
      ...process.env,
      IVYLOOM_NODE_FILE: settingsFile,
      IVYLOOM_SOAK_DISK: this.disk.root,
      IVYLOOM_SOAK_LEDGER: this.disk.ledger,
    };
  }
}
