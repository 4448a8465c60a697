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

/** The program as the build leaves it. */
export const PROGRAM = resolve('target/main.cjs');
/** Memory of each machine as its settings tell it, in megabytes: as deployed. */
const MEMORY_MEGABYTES = { gateway: 178, replica: 210 };
/** Sizes of the heaps, as where they are deployed. */
const HEAP_FLAGS = {
  gateway: ['--max-old-space-size=80', '--max-semi-space-size=4'],
  replica: ['--max-old-space-size=128', '--max-semi-space-size=4'],
};
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

/** How a process is run. */
export interface PlatformProcessOptions {
  /** Path of the program. @default that of the last build */
  readonly program?: string;
  /** Whether what a replica's disk would lose is recorded, which costs time. @default true */
  readonly recordsDisk?: boolean;
}

/** See the head of this file. */
export class PlatformProcess {
  private child: ChildProcess | undefined;
  /** True from a signal of the soak that ends the process until it is started again. */
  private endExpected = false;
  /** Exits that nobody asked for. */
  readonly ownExits: string[] = [];
  private readonly disk: RecordedFolder;
  private readonly recordsDisk: boolean;
  /** What it starts with the next time: that of the build at hand, or of another. */
  program: string;

  constructor(
    readonly machine: SoakMachine,
    private readonly folder: string,
    { program = PROGRAM, recordsDisk = true }: PlatformProcessOptions = {},
  ) {
    this.program = program;
    this.recordsDisk = recordsDisk;
    mkdirSync(folder, { recursive: true });
    this.disk = { root: dataFolder(folder), ledger: join(folder, 'disk-ledger') };
  }

  /** Number of the process; undefined while it does not run. */
  get processId(): number | undefined {
    return this.child?.pid;
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
    const { role } = this.machine;
    const recorder = role === 'replica' && this.recordsDisk ? ['--import', RECORDER] : [];
    return [...HEAP_FLAGS[role], ...recorder, this.program, role];
  }

  private environment(settingsFile: string): NodeJS.ProcessEnv {
    return {
      ...process.env,
      // Reading certificates that nothing needs would count as a cost of each start.
      NODE_EXTRA_CA_CERTS: undefined,
      IVYLOOM_NODE_FILE: settingsFile,
      IVYLOOM_SOAK_DISK: this.disk.root,
      IVYLOOM_SOAK_LEDGER: this.disk.ledger,
    };
  }
}
