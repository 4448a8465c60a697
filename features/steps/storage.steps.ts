/** Steps about replicas on disk. */
import assert from 'node:assert/strict';
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ClassicLevel } from 'classic-level';
import { LevelStorage } from '../../src/replication/level-storage.js';
import type { LoadedStorage } from '../../src/replication/level-storage.js';
import type { LogEntry, PersistChange } from '../../src/replication/log-entry.js';
import { createShardMap } from '../../src/replication/shard-map.js';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import type { LedgerLine } from '../../soak/power-loss-ledger.js';
import { recordFolder } from '../../soak/power-loss-recorder.js';

const SHARD = 1;
const NODES = ['a', 'b', 'c'].map((node) => ({ node, zone: node }));
const MAP = createShardMap(2, NODES);

const RUNTIME: Runtime = {
  now: () => 0,
  wallTime: () => 0,
  setTimer: () => () => undefined,
  random: createRandom(1),
  log: () => undefined,
};

interface StorageWorld {
  folder?: string;
  loaded?: LoadedStorage;
  ledger?: string;
  endRecording?: () => void;
  /** Number of recorded syncs of the database's folder so far. */
  syncCount?: number;
}

function entries(count: number, term: number): LogEntry[] {
  return Array.from({ length: count }, () => ({ term, command: { type: 'noop' } }));
}

async function persist(world: StorageWorld, change: PersistChange): Promise<void> {
  const replica = world.loaded!.storage.replica(SHARD);
  await new Promise<void>((resolve) => replica.persist(change, resolve));
}

Given(
  'a data folder with a replica of {int} entries in term {int} voted for {string}',
  async function (this: StorageWorld, count: number, term: number, votedFor: string) {
    this.folder = mkdtempSync(join(tmpdir(), 'ivyloom-storage-'));
    this.loaded = await LevelStorage.open(this.folder, MAP, RUNTIME);
    await persist(this, { vote: { term, votedFor } });
    await persist(this, { append: { fromIndex: 1, entries: entries(count, term) } });
  },
);

Given(
  'a data folder whose syncs are recorded, with a replica of {int} entries in term {int} voted for {string}',
  async function (this: StorageWorld, count: number, term: number, votedFor: string) {
    this.folder = mkdtempSync(join(tmpdir(), 'ivyloom-storage-'));
    this.ledger = join(this.folder, 'ledger');
    const root = join(this.folder, 'data');
    mkdirSync(root);
    this.endRecording = recordFolder({ root, ledger: this.ledger });
    this.loaded = await LevelStorage.open(root, MAP, RUNTIME);
    await persist(this, { vote: { term, votedFor } });
    await persist(this, { append: { fromIndex: 1, entries: entries(count, term) } });
  },
);

/** Number of syncs of a folder according to the ledger. */
function countSyncs(world: StorageWorld, folder: string): number {
  const lines = readFileSync(world.ledger!, 'utf8').trim().split('\n');
  return lines
    .map((line) => JSON.parse(line) as LedgerLine)
    .filter((line) => line.op === 'folderSynced' && line.path === folder).length;
}

Then(
  'the data folder and the database folder were synced before the replica was acknowledged',
  function (this: StorageWorld) {
    const root = join(this.folder!, 'data');
    assert.equal(countSyncs(this, root), 1);
    this.syncCount = countSyncs(this, join(root, 'replicas'));
    assert.equal(this.syncCount, 2);
  },
);

Then('the database folder was synced once more', function (this: StorageWorld) {
  assert.equal(countSyncs(this, join(this.folder!, 'data', 'replicas')), this.syncCount! + 1);
});

Given(
  'entries from {int} on are replaced by {int} entry of term {int}',
  async function (this: StorageWorld, fromIndex: number, count: number, term: number) {
    await persist(this, { append: { fromIndex, entries: entries(count, term) } });
  },
);

Given(
  'a snapshot covers the first {int} entries',
  async function (this: StorageWorld, lastIndex: number) {
    const snapshot = { lastIndex, lastTerm: 3, voters: MAP.voters[SHARD]!, state: 'state' };
    await persist(this, { snapshot });
  },
);

Given('entry {int} is damaged', async function (this: StorageWorld, index: number) {
  await this.loaded!.storage.close();
  const database = new ClassicLevel<string, string>(join(this.folder!, 'replicas'));
  const key = `replica/${SHARD}/entry/${String(index).padStart(12, '0')}`;
  const value = await database.get(key);
  assert.ok(value !== undefined);
  await database.put(key, `${value.slice(0, -2)}xx`);
  await database.close();
  delete this.loaded;
});

When('the folder is opened again', async function (this: StorageWorld) {
  await this.loaded?.storage.close();
  this.loaded = await LevelStorage.open(this.folder!, MAP, RUNTIME);
});

Then(
  'the replica has term {int}, vote {string}, {int} entries and its voters',
  function (this: StorageWorld, term: number, votedFor: string, count: number) {
    const replica = this.loaded!.storage.load(SHARD)!;
    assert.equal(replica.term, term);
    assert.equal(replica.votedFor, votedFor);
    assert.equal(replica.entries.length, count);
    assert.deepEqual(replica.snapshot.voters, MAP.voters[SHARD]);
  },
);

Then(
  'the replica has entries of terms {string} after index {int}',
  function (this: StorageWorld, terms: string, index: number) {
    const replica = this.loaded!.storage.load(SHARD)!;
    assert.equal(replica.snapshot.lastIndex, index);
    assert.equal(replica.entries.map((entry) => entry.term).join(','), terms);
  },
);

Then('no tail is torn', function (this: StorageWorld) {
  assert.deepEqual(this.loaded!.tornShards, []);
});

Then('its tail is torn', function (this: StorageWorld) {
  assert.deepEqual(this.loaded!.tornShards, [SHARD]);
});

After(async function (this: StorageWorld) {
  this.endRecording?.();
  if (this.folder !== undefined) {
    await this.loaded?.storage.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
});
