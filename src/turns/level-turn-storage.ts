/**
 * Durable storage of a replica in a `classic-level` database. Changes that come while a write is
 * under way share the next synced write. When the disk refuses, the database is opened again and the
 * same changes are written first: what is in memory but not on disk never counts as stored.
 */
import { ClassicLevel } from 'classic-level';
import type { Runtime } from '../runtime/runtime.js';
import type { AccountEntry } from './messages.js';
import type {
  ReplicaMeta,
  StorageChange,
  StoredEntry,
  StoredState,
  StoredTurn,
  TurnStorage,
  WriteUrgency,
} from './turn-storage.js';

const META_KEY = 'meta';
const ENTRY_PREFIX = 'entry/';
const TURN_PREFIX = 'turn/';
/** Longest wait of a lazy write, in milliseconds. */
const LAZY_MILLISECONDS = 250;
const REOPEN_MILLISECONDS = 500;
const WRITE_BUFFER_BYTES = 4 * 1024 * 1024;
const CACHE_BYTES = 4 * 1024 * 1024;
const SEPARATOR = ' ';

type Database = ClassicLevel<string, Buffer>;
type Operation = { type: 'put'; key: string; value: Buffer } | { type: 'del'; key: string };

interface PendingWrite {
  readonly operations: readonly Operation[];
  readonly done: (durable: boolean) => void;
}

/** The part of a stored turn before its bytes. */
interface TurnHead {
  readonly previous: string;
  readonly retentionMilliseconds: number;
  readonly storedAt: number;
  readonly inputBytes: number;
}

interface EntryValue {
  readonly most: number;
  readonly used?: number;
  readonly at: number;
}

const LINE_FEED = 0x0a;

function encodeTurn(stored: StoredTurn): Buffer {
  const { previous, retentionMilliseconds, input, output } = stored.turn;
  const { storedAt } = stored;
  const head: TurnHead = { previous, retentionMilliseconds, storedAt, inputBytes: input.length };
  return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), input, output]);
}

function decodeTurn(id: string, value: Buffer): StoredTurn {
  const end = value.indexOf(LINE_FEED);
  const head = JSON.parse(value.toString('utf8', 0, end)) as TurnHead;
  const start = end + 1;
  const input = value.subarray(start, start + head.inputBytes);
  const output = value.subarray(start + head.inputBytes);
  const { previous, retentionMilliseconds, storedAt } = head;
  return { turn: { id, previous, retentionMilliseconds, input, output }, storedAt };
}

function entryKey(program: string, turn: string): string {
  return `${ENTRY_PREFIX}${program}${SEPARATOR}${turn}`;
}

function encodeEntry(stored: StoredEntry): Buffer {
  const { mostTokens: most, usedTokens: used } = stored.entry;
  return Buffer.from(JSON.stringify({ most, used, at: stored.storedAt } satisfies EntryValue));
}

function decodeEntry(key: string, value: Buffer): StoredEntry {
  const separator = key.lastIndexOf(SEPARATOR);
  const program = key.slice(ENTRY_PREFIX.length, separator);
  const turn = key.slice(separator + 1);
  const { most, used, at } = JSON.parse(value.toString('utf8')) as EntryValue;
  const entry: AccountEntry = { program, turn, mostTokens: most, usedTokens: used };
  return { entry, storedAt: at };
}

function operationOf(change: StorageChange): Operation {
  switch (change.tag) {
    case 'meta':
      return { type: 'put', key: META_KEY, value: Buffer.from(JSON.stringify(change.meta)) };
    case 'entry': {
      const { program, turn } = change.entry.entry;
      return { type: 'put', key: entryKey(program, turn), value: encodeEntry(change.entry) };
    }
    case 'turn':
      return {
        type: 'put',
        key: TURN_PREFIX + change.turn.turn.id,
        value: encodeTurn(change.turn),
      };
    case 'dropEntry':
      return { type: 'del', key: entryKey(change.program, change.turn) };
    case 'dropTurn':
      return { type: 'del', key: TURN_PREFIX + change.id };
  }
}

/** See the head of this file. */
export class LevelTurnStorage implements TurnStorage {
  private queue: PendingWrite[] = [];
  private writing = false;
  private lazyTimerSet = false;
  /** Synced writes so far. */
  writeCount = 0;

  private constructor(
    private database: Database,
    private readonly folder: string,
    private readonly runtime: Runtime,
  ) {}

  /** Opens the database in a folder, made when it is missing. Rejects when the disk refuses. */
  static async open(folder: string, runtime: Runtime): Promise<LevelTurnStorage> {
    return new LevelTurnStorage(await openDatabase(folder), folder, runtime);
  }

  /** Reads everything. */
  async load(): Promise<StoredState> {
    const meta = await this.database.get(META_KEY);
    const entries: StoredEntry[] = [];
    const turns: StoredTurn[] = [];
    for await (const [key, value] of this.database.iterator()) {
      if (key.startsWith(ENTRY_PREFIX)) {
        entries.push(decodeEntry(key, value));
      } else if (key.startsWith(TURN_PREFIX)) {
        turns.push(decodeTurn(key.slice(TURN_PREFIX.length), value));
      }
    }
    const decoded = meta === undefined ? undefined : JSON.parse(meta.toString('utf8'));
    return { meta: decoded as ReplicaMeta | undefined, entries, turns };
  }

  write(
    changes: readonly StorageChange[],
    done: (durable: boolean) => void,
    urgency: WriteUrgency = 'urgent',
  ): void {
    this.queue.push({ operations: changes.map(operationOf), done });
    if (urgency === 'urgent') {
      this.writeNext();
    } else if (!this.lazyTimerSet) {
      this.lazyTimerSet = true;
      this.runtime.setTimer(LAZY_MILLISECONDS, () => {
        this.lazyTimerSet = false;
        this.writeNext();
      });
    }
  }

  /** Closes the database. */
  async close(): Promise<void> {
    await this.database.close();
  }

  private writeNext(): void {
    if (this.writing || this.queue.length === 0) {
      return;
    }
    this.writing = true;
    const writes = this.queue;
    this.queue = [];
    const operations = writes.flatMap((write) => write.operations);
    this.database.batch(operations, { sync: true }).then(
      () => this.finish(writes),
      (cause: unknown) => this.refuse(writes, cause),
    );
  }

  private finish(writes: readonly PendingWrite[]): void {
    this.writing = false;
    this.writeCount += 1;
    writes.forEach((write) => write.done(true));
    this.writeNext();
  }

  private refuse(writes: readonly PendingWrite[], cause: unknown): void {
    const reason = cause instanceof Error ? cause.message : String(cause);
    this.runtime.log('error', 'disk refused a write', { event: 'disk.refused', reason });
    this.queue = [...writes, ...this.queue];
    this.runtime.setTimer(REOPEN_MILLISECONDS, () => {
      this.reopen().then(
        () => {
          this.writing = false;
          this.writeNext();
        },
        (failure: unknown) => this.refuse([], failure),
      );
    });
  }

  private async reopen(): Promise<void> {
    await this.database.close();
    this.database = await openDatabase(this.folder);
  }
}

async function openDatabase(folder: string): Promise<Database> {
  const database: Database = new ClassicLevel(folder, {
    valueEncoding: 'buffer',
    writeBufferSize: WRITE_BUFFER_BYTES,
    cacheSize: CACHE_BYTES,
    compression: false,
  });
  await database.open();
  return database;
}
