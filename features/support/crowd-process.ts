/** A process of the bundled program under limits, with the most memory and descriptors that it had. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdirSync, readFileSync, readdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { PlatformRole } from '../../soak/platform-process.js';
import { bundleFolder, until } from './starting-process.js';
import type { ProcessEnd } from './starting-process.js';

const SAMPLE_MILLISECONDS = 50;
const KILOBYTES_PER_MEGABYTE = 1024;
const PEAK_MEMORY = /VmHWM:\s+(\d+) kB/;
/** Characters of the output that are kept. */
const OUTPUT_CHARACTERS = 200_000;
const FATAL_LINE = /^FATAL ERROR.*$|^\S*Error: .*$/m;

/** What a process may take; its settings name the same limits. */
export interface ProcessLimits {
  readonly memoryMegabytes: number;
  readonly descriptors: number;
  /** Maximum size of the old generation of the heap, in megabytes. */
  readonly heapMegabytes: number;
  /** Descriptors that the system lets the process open; above `descriptors`, an excess shows. */
  readonly openFiles: number;
}

/** One gateway or replica. */
export class CrowdProcess {
  /** How the process ended; undefined while it runs. */
  end: ProcessEnd | undefined;
  /** Largest resident set so far, in megabytes. */
  peakMegabytes = 0;
  /** Largest number of descriptors that were seen open. */
  peakDescriptors = 0;
  private output = '';
  private child: ChildProcess | undefined;
  private sampling: NodeJS.Timeout | undefined;

  constructor(
    readonly name: string,
    readonly role: PlatformRole,
    readonly limits: ProcessLimits,
    private readonly folder: string,
  ) {
    mkdirSync(this.dataFolder, { recursive: true });
  }

  get dataFolder(): string {
    return join(this.folder, 'data');
  }

  /** Whether the plan of its memory fits the limit. */
  get isPlanned(): boolean {
    return this.output.includes('"event":"memory.plan"') && this.output.includes('"fits":true');
  }

  /** Error that ended the process, as its output names it; empty if it names none. */
  get fatalError(): string {
    return FATAL_LINE.exec(this.output)?.[0] ?? '';
  }

  /** Starts the process with these settings. */
  start(settings: Record<string, unknown>): void {
    const file = join(this.folder, 'node.json');
    writeFileSync(file, JSON.stringify(settings));
    const { heapMegabytes, openFiles } = this.limits;
    const heap = [`--max-old-space-size=${heapMegabytes}`, '--max-semi-space-size=4'];
    const program = [process.execPath, ...heap, join(bundleFolder(), 'main.cjs'), this.role];
    // The shell replaces itself by the program, so the id stays that of the child.
    const script = ['-c', 'ulimit -n "$0" && exec "$@"', String(openFiles), ...program];
    const child = spawn('bash', script, {
      env: { ...process.env, NODE_EXTRA_CA_CERTS: undefined, IVYLOOM_NODE_FILE: file },
    });
    const collect = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString('utf8')).slice(-OUTPUT_CHARACTERS);
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.on('close', (code, signal) => {
      this.end = { code, signal };
      clearInterval(this.sampling);
    });
    this.child = child;
    this.sampling = setInterval(() => this.sample(), SAMPLE_MILLISECONDS);
  }

  /** Reads how much the process has and had. */
  sample(): void {
    const folder = `/proc/${this.child!.pid}`;
    try {
      const status = readFileSync(`${folder}/status`, 'utf8');
      const megabytes = Number(PEAK_MEMORY.exec(status)?.[1] ?? 0) / KILOBYTES_PER_MEGABYTE;
      this.peakMegabytes = Math.max(this.peakMegabytes, Math.round(megabytes));
      const descriptors = readdirSync(`${folder}/fd`).length;
      this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
    } catch {
      // The process has ended.
    }
  }

  /** Kills the process. */
  async close(): Promise<void> {
    if (this.child !== undefined) {
      this.child.kill('SIGKILL');
      await until(() => this.end !== undefined);
    }
  }
}
