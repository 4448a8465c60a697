/** One gateway or replica process of the soak, with its settings, signals and disk faults. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import type { RandomSource } from '../src/runtime/random.js';
import { losePower } from './power-loss-ledger.js';
import type { PowerLoss, RecordedFolder } from './power-loss-ledger.js';

/** Role of a process. */
export type PlatformRole = 'gateway' | 'replica';

/** Identity and addresses of one machine of the soak. */
export interface SoakMachine {
  readonly name: string;
  readonly role: PlatformRole;
  readonly host: string;
  readonly zone: string;
  /** `host:port` at which the process reaches the store. */
  readonly storeAddress: string;
  readonly seeds: readonly string[];
}

/** Ports, the same on all machines. */
export const SOAK_PORTS = {
  front: 18149,
  ready: 18141,
  control: 18144,
  peer: 17380,
  metrics: 17395,
};

/** Time within which a configuration change must take effect, in milliseconds. */
export const SOAK_APPLY_MILLISECONDS = 2_000;

/** Time between the signal for a planned stop and the end of the process, in milliseconds. */
export const SOAK_GRACE_MILLISECONDS = 8_000;

/** Time after its start within which a replacement replica must have caught up, in milliseconds. */
export const SOAK_CATCH_UP_MILLISECONDS = 4_000;

/** Bounds on key revocation and tenant quotas. */
export const SOAK_BOUNDS = {
  revokeMilliseconds: 4_000,
  quotaOvershoot: 0.1,
  quotaSlack: 20,
};

/** Requests per second that a cold runner takes, and what may reach it beyond them. */
export const SOAK_COLD = { requestsPerSecond: 3, overshoot: 1.5, slack: 2 };

const MINUTE_MILLISECONDS = 60_000;
/** Path of the program of the current build. */
export const PROGRAM = resolve('target/main.cjs');
/** Memory limit in the settings of each role, in megabytes. */
const MEMORY_MEGABYTES = { gateway: 178, replica: 210 };
/** V8 heap options by role, as in deployments. */
const HEAP_FLAGS = {
  gateway: ['--max-old-space-size=80', '--max-semi-space-size=4'],
  replica: ['--max-old-space-size=128', '--max-semi-space-size=4'],
};
/** Module that is preloaded into replicas to record their disk operations. */
const RECORDER = pathToFileURL(resolve('dist/soak/record-disk.js')).href;
/** Values from which a power loss picks the probability that an unsynced name is undone. */
const NAME_LOSS_PROBABILITIES = [0.5, 1];

function dataFolder(folder: string): string {
  return join(folder, 'data');
}

function settingsOf(
  machine: SoakMachine,
  folder: string,
  toleratesZoneLoss: boolean,
  isFirstStart: boolean,
): Record<string, unknown> {
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
    // Gateways would wait for the seeds at a first start.
    Bootstrap: isFirstStart && role === 'replica',
    DataDir: role === 'replica' ? dataFolder(folder) : null,
    Bounds: {
      EvacuateMs: SOAK_APPLY_MILLISECONDS,
      GraceS: SOAK_GRACE_MILLISECONDS / 1_000,
      ConfigApplyMs: SOAK_APPLY_MILLISECONDS,
      DrainMs: SOAK_APPLY_MILLISECONDS,
      RecoveryS: 12,
      ContactMs: 3_000,
      CatchUpS: SOAK_CATCH_UP_MILLISECONDS / 1_000,
      StrictRevoke: true,
      RevokeMs: SOAK_BOUNDS.revokeMilliseconds,
      QuotaOvershoot: SOAK_BOUNDS.quotaOvershoot,
      QuotaSlack: SOAK_BOUNDS.quotaSlack,
      ColdOvershoot: SOAK_COLD.overshoot,
      ColdSlack: SOAK_COLD.slack,
    },
    // Tolerates the loss of one machine: three replicas are members, others idle standbys.
    FaultTolerance: { Machines: 1, Zones: toleratesZoneLoss ? 1 : 0, Regions: 0 },
    Limits: { MemoryMb: MEMORY_MEGABYTES[role] },
    Platform: { Address: storeAddress },
  };
}

/** A signal for a planned stop or a reload. */
export interface SentSignal {
  readonly name: 'SIGTERM' | 'SIGHUP';
  readonly processId: number | undefined;
  /** Local time at which it was sent, in milliseconds. */
  readonly at: number;
}

/** Options of a process. */
export interface PlatformProcessOptions {
  /** Path of the program. @default the current build */
  readonly program?: string;
  /** Whether a replica's disk operations are recorded, which takes processor time. @default true */
  readonly recordsDisk?: boolean;
  /** Whether the settings tolerate the loss of a zone. @default false */
  readonly toleratesZoneLoss?: boolean;
}

/** A process of the platform's program that can be started, signalled and restarted. */
export class PlatformProcess {
  private child: ChildProcess | undefined;
  /** True from a terminating signal of the soak until the next start. */
  private isExitExpected = false;
  /** Exits that the soak did not cause. */
  readonly unexpectedExits: string[] = [];
  /** Signals for planned stops and reloads that were sent to running processes. */
  readonly plannedSignals: SentSignal[] = [];
  private readonly disk: RecordedFolder;
  private readonly recordsDisk: boolean;
  private readonly toleratesZoneLoss: boolean;
  /** Local time since which the process has lost nothing that it held in memory, in milliseconds. */
  private knowsSince = Infinity;
  /** Path of the program for the next start. */
  program: string;

  constructor(
    readonly machine: SoakMachine,
    private readonly folder: string,
    {
      program = PROGRAM,
      recordsDisk = true,
      toleratesZoneLoss = false,
    }: PlatformProcessOptions = {},
  ) {
    this.program = program;
    this.recordsDisk = recordsDisk;
    this.toleratesZoneLoss = toleratesZoneLoss;
    mkdirSync(folder, { recursive: true });
    this.disk = { root: dataFolder(folder), ledger: join(folder, 'disk-ledger') };
  }

  /** Process id; undefined while the process does not run. */
  get processId(): number | undefined {
    return this.child?.pid;
  }

  /** Whether the process holds in memory what it got within the last minute. */
  get knowsLastMinute(): boolean {
    return this.isRunning && this.knowsSince < performance.now() - MINUTE_MILLISECONDS;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /**
   * Writes the settings and starts the process; its output is appended to the log file.
   * @param isFirstStart whether the whole system starts for the first time
   */
  start(isFirstStart = false): void {
    this.knowsSince = isFirstStart ? -Infinity : performance.now();
    const file = join(this.folder, 'node.json');
    writeFileSync(
      file,
      JSON.stringify(settingsOf(this.machine, this.folder, this.toleratesZoneLoss, isFirstStart)),
    );
    const log = createWriteStream(join(this.folder, 'log'), { flags: 'a' });
    const child = spawn(process.execPath, this.commandArguments(), { env: this.environment(file) });
    // Neither stream may close the log while the other still writes.
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.on('close', () => log.end());
    this.child = child;
    this.isExitExpected = false;
    child.on('exit', (code, signal) => {
      if (this.child === child) {
        this.child = undefined;
      }
      if (!this.isExitExpected) {
        this.unexpectedExits.push(`${this.machine.name} ended with ${code ?? signal ?? 'nothing'}`);
      }
    });
  }

  /** Sends a signal; an exit after SIGKILL or SIGTERM counts as expected. */
  signal(name: NodeJS.Signals): void {
    if (name === 'SIGKILL' || name === 'SIGTERM') {
      this.isExitExpected = true;
    }
    if (this.isRunning && (name === 'SIGTERM' || name === 'SIGHUP')) {
      this.plannedSignals.push({ name, processId: this.processId, at: performance.now() });
    }
    this.child?.kill(name);
  }

  /** Resolves when the process has exited, or at once if it does not run. */
  whenExited(): Promise<void> {
    const { child } = this;
    return new Promise((done) => {
      if (child === undefined) {
        done();
      } else {
        child.once('exit', () => done());
      }
    });
  }

  /** Deletes the data and the ledger of a stopped process. */
  wipe(): void {
    rmSync(this.disk.root, { recursive: true, force: true });
    rmSync(this.disk.ledger, { force: true });
  }

  /** Discards unsynced changes from the data of a stopped process. */
  losePower(random: RandomSource): PowerLoss {
    return losePower(this.disk, {
      random,
      nameLossProbability: random.pick(NAME_LOSS_PROBABILITIES),
    });
  }

  private commandArguments(): string[] {
    const { role } = this.machine;
    const recorder = role === 'replica' && this.recordsDisk ? ['--import', RECORDER] : [];
    return [...HEAP_FLAGS[role], ...recorder, this.program, role];
  }

  private environment(settingsFile: string): NodeJS.ProcessEnv {
    return {
      ...process.env,
      // Loading extra certificates would add to the measured cost of each start.
      NODE_EXTRA_CA_CERTS: undefined,
      IVYLOOM_NODE_FILE: settingsFile,
      IVYLOOM_SOAK_DISK: this.disk.root,
      IVYLOOM_SOAK_LEDGER: this.disk.ledger,
    };
  }
}
