/** A replica's storage on real files across process runs that end with or without a power loss. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { losePower } from '../../soak/power-loss-ledger.js';
import type { RecordedFolder } from '../../soak/power-loss-ledger.js';
import { recordFolder } from '../../soak/power-loss-recorder.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { SegmentTurnStorage } from '../../src/turns/segment-turn-storage.js';
import type { StorageChange, WrittenChange } from '../../src/turns/turn-storage.js';

/** The runtime of one process run; its timers no longer fire once it has ended. */
export class ProcessRun {
  private over = false;
  /** Offset added to the clock, so that a test need not wait, in milliseconds. */
  skippedMilliseconds = 0;

  /** Ends the run; only disk operations in flight continue. */
  end(): void {
    this.over = true;
  }

  readonly runtime: Runtime = {
    now: () => performance.now() + this.skippedMilliseconds,
    wallTime: () => Math.round(performance.timeOrigin + performance.now()),
    setTimer: (delay, callback) => {
      const timer = setTimeout(() => this.over || callback(), delay);
      return () => clearTimeout(timer);
    },
    random: createRandom(1),
    log: () => undefined,
  };
}

/** A disk whose operations are recorded, so that a power loss can discard everything not synced. */
export class RecordedDisk {
  private readonly base = mkdtempSync(join(tmpdir(), 'ivyloom-power-'));
  private readonly folder: RecordedFolder = {
    root: join(this.base, 'data'),
    ledger: join(this.base, 'ledger'),
  };
  private readonly endRecording = recordFolder(this.folder);
  private run = new ProcessRun();
  private open: SegmentTurnStorage | undefined;
  /** Changes read at the last start. */
  found: WrittenChange[] = [];

  /** Starts a process run and reads the disk. */
  async start(): Promise<ProcessRun> {
    this.run = new ProcessRun();
    const { runtime } = this.run;
    const storage = await SegmentTurnStorage.open(join(this.folder.root, 'turns'), runtime);
    this.found = [];
    await storage.load((change) => this.found.push(change));
    this.open = storage;
    return this.run;
  }

  get storage(): SegmentTurnStorage {
    assert.ok(this.open !== undefined, 'the disk is not open');
    return this.open;
  }

  /** Ends the process run after its disk operations have completed. */
  async stop(): Promise<void> {
    this.run.end();
    const { open } = this;
    this.open = undefined;
    if (open !== undefined) {
      await new Promise<void>((resolve) => open.close(resolve));
    }
  }

  /** Ends the process run with a power loss that undoes each unsynced name change with the given probability. */
  async losePower(random: RandomSource, nameLossProbability: number): Promise<void> {
    await this.stop();
    losePower(this.folder, { random, nameLossProbability });
  }

  /** Ends the process run and deletes everything on the disk. */
  async loseDisk(): Promise<void> {
    await this.stop();
    rmSync(this.folder.root, { recursive: true, force: true });
    rmSync(this.folder.ledger, { force: true });
  }

  /** Ends the process run and removes all files. */
  async remove(): Promise<void> {
    await this.stop();
    this.endRecording();
    rmSync(this.base, { recursive: true, force: true });
  }

  /** Writes changes; resolves once they are durable. */
  async write(changes: readonly StorageChange[]): Promise<void> {
    const durable = await new Promise<boolean>((resolve) => this.storage.write(changes, resolve));
    assert.equal(durable, true);
  }

  /** Ids of the turns read at the last start. */
  get foundTurns(): Set<string> {
    return new Set(
      this.found.flatMap((change) => (change.tag === 'turn' ? [change.turn.turn.id] : [])),
    );
  }

  /** Whether the last metadata record read at the last start marks the state as ready. */
  get foundReady(): boolean {
    return this.found.findLast((change) => change.tag === 'meta')?.meta.ready ?? false;
  }
}
