/** A replica's storage on real files, through lives that end with or without a loss of power. */
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

/** Surroundings of one life: its timers fall silent once it is over. */
export class ProcessRun {
  private over = false;
  /** Added to the clock, so that a test needs no wait, in milliseconds. */
  skippedMilliseconds = 0;

  /** Nothing of this life happens after this, but for what the disk is doing. */
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

/** See the head of this file. */
export class RecordedDisk {
  private readonly base = mkdtempSync(join(tmpdir(), 'ivyloom-power-'));
  private readonly folder: RecordedFolder = {
    root: join(this.base, 'data'),
    ledger: join(this.base, 'ledger'),
  };
  private readonly endRecording = recordFolder(this.folder);
  private run = new ProcessRun();
  private open: SegmentTurnStorage | undefined;
  /** What was found at the last start. */
  found: WrittenChange[] = [];

  /** Begins a life. */
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

  /** Ends a life; what the disk is doing is done. */
  async stop(): Promise<void> {
    this.run.end();
    const { open } = this;
    this.open = undefined;
    if (open !== undefined) {
      await new Promise<void>((resolve) => open.close(resolve));
    }
  }

  /** Ends a life by a loss of power. */
  async losePower(random: RandomSource, nameLoss: number): Promise<void> {
    await this.stop();
    losePower(this.folder, { random, nameLoss });
  }

  /** Ends a life and takes all that is on the disk away. */
  async loseDisk(): Promise<void> {
    await this.stop();
    rmSync(this.folder.root, { recursive: true, force: true });
    rmSync(this.folder.ledger, { force: true });
  }

  /** Ends the last life and removes all files. */
  async remove(): Promise<void> {
    await this.stop();
    this.endRecording();
    rmSync(this.base, { recursive: true, force: true });
  }

  /** Writes changes; resolves when they are acknowledged. */
  async write(changes: readonly StorageChange[]): Promise<void> {
    const durable = await new Promise<boolean>((resolve) => this.storage.write(changes, resolve));
    assert.equal(durable, true);
  }

  /** Ids of the turns found at the last start. */
  get foundTurns(): Set<string> {
    return new Set(
      this.found.flatMap((change) => (change.tag === 'turn' ? [change.turn.turn.id] : [])),
    );
  }

  /** Whether the replica's last word of itself, as found, is that its state is complete. */
  get foundReady(): boolean {
    return this.found.findLast((change) => change.tag === 'meta')?.meta.ready ?? false;
  }
}
