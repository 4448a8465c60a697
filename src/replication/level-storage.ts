/**
 * Durable storage of a node's replicas in one `classic-level` database under the data folder.
 * Changes of all replicas that arrive during a write share the next synced write. The database syncs the
 * contents of its files, but not always the directory entries of new ones, so the folder is synced too
 * before a write is acknowledged. The extra sync is cheap, since the folder rarely changes.
 */
import { join } from 'node:path';
import { ClassicLevel } from 'classic-level';
import type { NodeId, ShardId } from '../model/identifiers.js';
import { hashText } from '../runtime/hashing.js';
import { createDurableFolder, syncFolder } from '../runtime/sync-folder.js';
import type { NodeStorage } from '../node/node-options.js';
import type { Runtime } from '../runtime/runtime.js';
import { decodeEntry, encodeEntry } from '../wire/command-codec.js';
import { emptyReplica } from './log-entry.js';
import type { LogEntry, PersistChange, PersistedReplica, Snapshot } from './log-entry.js';
import type { ShardMap } from './shard-map.js';

const INDEX_DIGITS = 12;
const CHECKSUM_DIGITS = 16;
const CONFIGURATION_KEY = 'configuration';

interface ReplicaMeta {
  readonly term: number;
  readonly votedFor: NodeId;
  /** Highest index written durably; a log that ends earlier has a torn tail. */
  readonly lastIndex: number;
}

/** What the database holds of one replica once all queued writes are done. */
interface StoredReplicaState {
  meta: ReplicaMeta;
  snapshotIndex: number;
  lastIndex: number;
}

type Operation = { type: 'put'; key: string; value: string } | { type: 'del'; key: string };

interface PendingWrite {
  readonly operations: readonly Operation[];
  readonly done: () => void;
}

function metaKey(shard: ShardId): string {
  return `replica/${shard}/meta`;
}

function snapshotKey(shard: ShardId): string {
  return `replica/${shard}/snapshot`;
}

function entryKey(shard: ShardId, index: number): string {
  return `replica/${shard}/entry/${String(index).padStart(INDEX_DIGITS, '0')}`;
}

/** Stored form of an entry: a checksum followed by the encoded entry in base64. */
function encodeStoredEntry(entry: LogEntry): string {
  const text = Buffer.from(encodeEntry(entry)).toString('base64');
  return hashText(text) + text;
}

/** Decodes a stored entry; undefined when the value is damaged. */
function decodeStoredEntry(value: string): LogEntry | undefined {
  const text = value.slice(CHECKSUM_DIGITS);
  if (hashText(text) !== value.slice(0, CHECKSUM_DIGITS)) {
    return undefined;
  }
  try {
    return decodeEntry(Buffer.from(text, 'base64'));
  } catch {
    return undefined;
  }
}

/** Result of opening a data folder. */
export interface LoadedStorage {
  readonly storage: LevelStorage;
  /** Shards whose logs have lost acknowledged entries at the end (torn tails). */
  readonly tornShards: readonly ShardId[];
}

/** Durable storage of a node's replicas and of its configuration. */
export class LevelStorage implements NodeStorage {
  storedConfiguration?: { readonly revision: number; readonly documents: string };
  private readonly replicaStates = new Map<ShardId, StoredReplicaState>();
  private readonly loaded = new Map<ShardId, PersistedReplica>();
  private queue: PendingWrite[] = [];
  private writing = false;
  /** Number of synced writes so far. */
  writeCount = 0;

  private constructor(
    private readonly database: ClassicLevel<string, string>,
    private readonly folder: string,
    private readonly runtime: Runtime,
  ) {}

  /** Opens the data folder and reads the replicas of a region's shards. */
  static async open(folder: string, map: ShardMap, runtime: Runtime): Promise<LoadedStorage> {
    const path = join(folder, 'replicas');
    await createDurableFolder(path);
    const database = new ClassicLevel<string, string>(path);
    await database.open();
    const storage = new LevelStorage(database, path, runtime);
    const tornShards: ShardId[] = [];
    for (let shard = 0; shard < map.shardCount; shard += 1) {
      if (await storage.readReplica(shard, map.voters[shard] ?? [])) {
        tornShards.push(shard);
      }
    }
    const configurationText = await database.get(CONFIGURATION_KEY);
    if (configurationText !== undefined) {
      storage.storedConfiguration = JSON.parse(configurationText) as {
        revision: number;
        documents: string;
      };
    }
    return { storage, tornShards };
  }

  readonly configuration = {
    save: (revision: number, documents: string): void => {
      const value = JSON.stringify({ revision, documents });
      this.enqueue([{ type: 'put', key: CONFIGURATION_KEY, value }], () => undefined);
    },
  };

  load(shard: ShardId): PersistedReplica | undefined {
    return this.loaded.get(shard);
  }

  replica(shard: ShardId): { persist: (change: PersistChange, done: () => void) => void } {
    return {
      persist: (change, done) => this.enqueue(this.operationsOf(shard, change), done),
    };
  }

  /** Closes the database after the write in progress. */
  async close(): Promise<void> {
    await this.database.close();
  }

  private replicaStateOf(shard: ShardId): StoredReplicaState {
    let state = this.replicaStates.get(shard);
    if (state === undefined) {
      state = { meta: { term: 0, votedFor: '', lastIndex: 0 }, snapshotIndex: 0, lastIndex: 0 };
      this.replicaStates.set(shard, state);
    }
    return state;
  }

  private operationsOf(shard: ShardId, change: PersistChange): Operation[] {
    const state = this.replicaStateOf(shard);
    const operations: Operation[] = [];
    if (change.append !== undefined) {
      const { fromIndex, entries } = change.append;
      entries.forEach((entry, offset) => {
        const key = entryKey(shard, fromIndex + offset);
        operations.push({ type: 'put', key, value: encodeStoredEntry(entry) });
      });
      const lastIndex = fromIndex + entries.length - 1;
      for (let index = lastIndex + 1; index <= state.lastIndex; index += 1) {
        operations.push({ type: 'del', key: entryKey(shard, index) });
      }
      state.lastIndex = lastIndex;
    }
    if (change.snapshot !== undefined) {
      this.addSnapshot(shard, state, change.snapshot, operations);
    }
    if (operations.length > 0 || change.vote !== undefined) {
      state.meta = { ...state.meta, ...change.vote, lastIndex: state.lastIndex };
      const value = JSON.stringify(state.meta);
      operations.push({ type: 'put', key: metaKey(shard), value });
    }
    return operations;
  }

  private addSnapshot(
    shard: ShardId,
    state: StoredReplicaState,
    snapshot: Snapshot,
    operations: Operation[],
  ): void {
    const value = JSON.stringify(snapshot);
    operations.push({ type: 'put', key: snapshotKey(shard), value });
    for (let index = state.snapshotIndex + 1; index <= snapshot.lastIndex; index += 1) {
      operations.push({ type: 'del', key: entryKey(shard, index) });
    }
    state.snapshotIndex = snapshot.lastIndex;
    state.lastIndex = Math.max(state.lastIndex, snapshot.lastIndex);
  }

  private enqueue(operations: readonly Operation[], done: () => void): void {
    this.queue.push({ operations, done });
    this.writeNext();
  }

  private writeNext(): void {
    if (this.writing || this.queue.length === 0) {
      return;
    }
    this.writing = true;
    const writes = this.queue;
    this.queue = [];
    const operations = writes.flatMap((write) => write.operations);
    const finish = (): void => {
      this.writing = false;
      this.writeCount += 1;
      writes.forEach((write) => write.done());
      this.writeNext();
    };
    if (operations.length === 0) {
      finish();
      return;
    }
    this.writeDurably(operations).then(finish, (cause: unknown) => {
      // A change that is not on disk must not be acknowledged. `writing` stays set, so that this
      // process persists and acknowledges nothing more.
      const reason = cause instanceof Error ? cause.message : String(cause);
      this.runtime.log('error', 'disk write failed; this node stops replicating', { reason });
    });
  }

  private async writeDurably(operations: Operation[]): Promise<void> {
    await this.database.batch(operations, { sync: true });
    await syncFolder(this.folder);
  }

  /** Loads one replica; returns true when its log has a torn tail. */
  private async readReplica(shard: ShardId, voters: readonly NodeId[]): Promise<boolean> {
    const metaText = await this.database.get(metaKey(shard));
    if (metaText === undefined) {
      return false;
    }
    const meta = JSON.parse(metaText) as ReplicaMeta;
    const snapshotText = await this.database.get(snapshotKey(shard));
    const snapshot =
      snapshotText === undefined
        ? emptyReplica(voters).snapshot
        : (JSON.parse(snapshotText) as Snapshot);
    const entries = await this.readEntries(shard, snapshot.lastIndex);
    const lastIndex = snapshot.lastIndex + entries.length;
    const { term, votedFor } = meta;
    const acknowledged = lastIndex < meta.lastIndex ? { acknowledgedIndex: meta.lastIndex } : {};
    this.loaded.set(shard, { term, votedFor, snapshot, entries, ...acknowledged });
    this.replicaStates.set(shard, {
      meta,
      snapshotIndex: snapshot.lastIndex,
      lastIndex: meta.lastIndex,
    });
    return lastIndex < meta.lastIndex;
  }

  /** Reads the entries after the snapshot, up to the first missing or damaged one. */
  private async readEntries(shard: ShardId, snapshotIndex: number): Promise<LogEntry[]> {
    const entries: LogEntry[] = [];
    const range = {
      gt: entryKey(shard, snapshotIndex),
      lte: entryKey(shard, 10 ** INDEX_DIGITS - 1),
    };
    for await (const [key, value] of this.database.iterator(range)) {
      const expected = entryKey(shard, snapshotIndex + entries.length + 1);
      const entry = key === expected ? decodeStoredEntry(value) : undefined;
      if (entry === undefined) {
        break;
      }
      entries.push(entry);
    }
    return entries;
  }
}
