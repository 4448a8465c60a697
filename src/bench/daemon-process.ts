/** Daemons as child processes. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdirSync, openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import type { Settings } from '../configuration/settings.js';

const DAEMON_PATH = fileURLToPath(new URL('../commands/ivyloomd.js', import.meta.url));
const READY_TIMEOUT_MILLISECONDS = 15_000;
const POLL_INTERVAL_MILLISECONDS = 50;

/** A daemon that can be signalled, and restarted from its data folder. */
export class DaemonProcess {
  private child: ChildProcess | undefined;

  constructor(
    readonly settings: Settings,
    private readonly folder: string,
  ) {
    mkdirSync(folder, { recursive: true });
  }

  /** Base URL of the daemon. */
  get url(): string {
    return `http://${this.settings.host}:${this.settings.httpPort}`;
  }

  /** Whether the process is alive; it may be paused. */
  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts the process; its output is appended to the file `log` in its folder. */
  start(): void {
    const file = join(this.folder, 'settings.yaml');
    const dataFolder = join(this.folder, 'data');
    writeFileSync(file, JSON.stringify({ ...this.settings, dataFolder }));
    const log = openSync(join(this.folder, 'log'), 'a');
    const child = spawn(process.execPath, [DAEMON_PATH, '--settings', file], {
      stdio: ['ignore', log, log],
    });
    this.child = child;
    child.on('exit', () => {
      if (this.child === child) {
        this.child = undefined;
      }
    });
  }

  /** Sends a signal to the process, if it is alive. */
  signal(name: NodeJS.Signals): void {
    this.child?.kill(name);
  }

  /** Resolves with the exit code, or null when a signal ended the process or none is alive. */
  async waitForExit(): Promise<number | null> {
    const { child } = this;
    if (child === undefined) {
      return null;
    }
    return new Promise((resolve) => child.once('exit', (code) => resolve(code)));
  }

  /** Resolves with whether the daemon became ready within `READY_TIMEOUT_MILLISECONDS`. */
  async waitUntilReady(): Promise<boolean> {
    const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
      if (await this.probeReadiness()) {
        return true;
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MILLISECONDS));
    }
    return false;
  }

  private async probeReadiness(): Promise<boolean> {
    try {
      const response = await request(`${this.url}/readyz`, { headersTimeout: 500 });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
