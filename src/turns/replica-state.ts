/** What one replica holds in memory: accounts, turns, and the log of its changes for the others. */
import { mergeReservation } from './account.js';
import type { Account } from './account.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { AccountEntry, ChainState } from './messages.js';
import { packDigests, ReservationDigests } from './reservation-digests.js';
import type { StorageChange, StoredEntry, StoredTurn } from './turn-storage.js';

/** Time after its last change for which an account is kept, in milliseconds. */
const ACCOUNT_RETENTION_MILLISECONDS = 300_000;
/** Added to each expiry, since clocks of machines differ, in milliseconds. */
const CLOCK_SKEW_MILLISECONDS = 10_000;
/** Largest part of a reply to a pull, in entries. */
const MAXIMUM_PULL_ENTRIES = 2_000;
/** Longest chain that is followed. */
const MAXIMUM_CHAIN_TURNS = 10_000;

interface AccountRecord {
  readonly account: Account;
  changedAt: number;
}

interface TurnRecord {
  readonly turn: ConversationTurn;
  /** Wall time after which it is dropped, in milliseconds. */
  expiresAt: number;
}

type LoggedChange =
  | { readonly tag: 'entry'; readonly digest: string }
  | { readonly tag: 'turn'; readonly id: string };

/** A part of the change log. */
export interface LogPart {
  readonly next: number;
  readonly end: number;
  /** Digests of reservations one behind the other. */
  readonly digests: Buffer;
  readonly turns: string[];
}

/** As many entries as a map has now: those that are added while it is read come after them. */
function* initialEntries<Key, Value>(map: ReadonlyMap<Key, Value>): Generator<[Key, Value]> {
  let remaining = map.size;
  for (const entry of map) {
    if (remaining === 0) {
      return;
    }
    remaining -= 1;
    yield entry;
  }
}

/** See the head of this file. */
export class ReplicaState {
  private readonly accounts = new Map<string, AccountRecord>();
  private readonly turns = new Map<string, TurnRecord>();
  private readonly log: LoggedChange[] = [];
  /** Position of the first change in `log`: what came before is past its time. */
  private logStart = 0;
  private readonly digests = new ReservationDigests();

  /** Takes a reservation. */
  mergeEntry(stored: StoredEntry): void {
    const { entry, storedAt } = stored;
    let record = this.accounts.get(entry.program);
    if (record === undefined) {
      record = { account: new Map(), changedAt: storedAt };
      this.accounts.set(entry.program, record);
    }
    record.changedAt = Math.max(record.changedAt, storedAt);
    const { turn, mostTokens, usedTokens } = entry;
    if (mergeReservation(record.account, { turn, mostTokens, usedTokens })) {
      const merged = this.entryOf(entry.program, turn) ?? entry;
      this.log.push({ tag: 'entry', digest: this.digests.add(merged) });
    }
  }

  /** The reservation as it stands after merging, to be stored. */
  entryOf(program: string, turn: string): AccountEntry | undefined {
    const reservation = this.accounts.get(program)?.account.get(turn);
    return reservation === undefined ? undefined : { program, ...reservation };
  }

  /** Those digests whose reservations are not known here in that state. */
  missingDigests(digests: readonly string[]): string[] {
    return digests.filter((digest) => this.digests.find(digest) === undefined);
  }

  /** The reservations of digests, in their present states; what was dropped is left out. */
  entriesByDigest(digests: readonly string[]): AccountEntry[] {
    return digests.flatMap((digest) => {
      const key = this.digests.find(digest);
      return key === undefined ? [] : (this.entryOf(key.program, key.turn) ?? []);
    });
  }

  /** All reservations of a program. */
  entriesOf(program: string): AccountEntry[] {
    const account = this.accounts.get(program)?.account;
    return account === undefined
      ? []
      : [...account.values()].map((reservation) => ({ program, ...reservation }));
  }

  /** Takes a turn and keeps the turns before it for as long. */
  addTurn(stored: StoredTurn): void {
    const { storedAt } = stored;
    // Copies, so that the frames they came in can be freed.
    const input = Buffer.from(stored.turn.input);
    const output = Buffer.from(stored.turn.output);
    const turn = { ...stored.turn, input, output };
    const expiresAt = storedAt + turn.retentionMilliseconds + CLOCK_SKEW_MILLISECONDS;
    if (!this.turns.has(turn.id)) {
      this.turns.set(turn.id, { turn, expiresAt });
      this.log.push({ tag: 'turn', id: turn.id });
    }
    let record = this.turns.get(turn.id);
    for (let depth = 0; record !== undefined && depth < MAXIMUM_CHAIN_TURNS; depth += 1) {
      record.expiresAt = Math.max(record.expiresAt, expiresAt);
      record = this.turns.get(record.turn.previous);
    }
  }

  hasTurn(id: string): boolean {
    return this.turns.has(id);
  }

  getTurn(id: string): ConversationTurn | undefined {
    return this.turns.get(id)?.turn;
  }

  /** The chain that ends with a turn: inputs and outputs from the oldest on. */
  chainOf(id: string): { readonly state: ChainState; readonly body: Buffer } {
    const parts: Buffer[] = [];
    let currentId = id;
    for (let depth = 0; currentId !== '' && depth < MAXIMUM_CHAIN_TURNS; depth += 1) {
      const record = this.turns.get(currentId);
      if (record === undefined) {
        return { state: depth === 0 ? 'missing' : 'unsure', body: Buffer.alloc(0) };
      }
      parts.push(record.turn.output, record.turn.input);
      currentId = record.turn.previous;
    }
    return { state: 'found', body: Buffer.concat(parts.reverse()) };
  }

  /** Changes after a position of the log; what has been dropped since is left out. */
  readLog(after: number): LogPart {
    const end = this.logEnd;
    const from = Math.max(after, this.logStart);
    const next = Math.min(end, from + MAXIMUM_PULL_ENTRIES);
    const digests: string[] = [];
    const turns: string[] = [];
    for (const change of this.log.slice(from - this.logStart, next - this.logStart)) {
      if (change.tag === 'entry') {
        digests.push(change.digest);
      } else if (this.turns.has(change.id)) {
        turns.push(change.id);
      }
    }
    return { next, end, digests: packDigests(digests), turns };
  }

  /** Position of the log's end. */
  get logEnd(): number {
    return this.logStart + this.log.length;
  }

  /** Drops what is past its time; returns what is to be dropped from the disk. */
  expire(wallTime: number): StorageChange[] {
    const changes: StorageChange[] = [];
    for (const [id, record] of this.turns) {
      if (record.expiresAt < wallTime) {
        this.turns.delete(id);
        changes.push({ tag: 'dropTurn', id });
      }
    }
    for (const [program, record] of this.accounts) {
      if (record.changedAt + ACCOUNT_RETENTION_MILLISECONDS < wallTime) {
        this.accounts.delete(program);
        for (const reservation of record.account.values()) {
          this.digests.drop({ program, ...reservation });
          changes.push({ tag: 'dropEntry', program, turn: reservation.turn });
        }
      }
    }
    this.trimLog();
    return changes;
  }

  /** Forgets the oldest changes that are past their time: nobody needs to be told them any more. */
  private trimLog(): void {
    const isLive = (change: LoggedChange): boolean =>
      change.tag === 'turn'
        ? this.turns.has(change.id)
        : this.digests.find(change.digest) !== undefined;
    const firstLive = this.log.findIndex(isLive);
    const count = firstLive < 0 ? this.log.length : firstLive;
    this.log.splice(0, count);
    this.logStart += count;
  }

  /**
   * Everything held, as changes that make it again, read as it stands at that moment. What is added
   * meanwhile may be left out: it has a record of its own already.
   */
  *liveChanges(wallTime: () => number): Generator<StorageChange> {
    for (const [program, { account, changedAt: storedAt }] of initialEntries(this.accounts)) {
      for (const reservation of account.values()) {
        yield { tag: 'entry', entry: { entry: { program, ...reservation }, storedAt } };
      }
    }
    for (const [, { turn, expiresAt }] of initialEntries(this.turns)) {
      const storedAt = wallTime();
      // Its time may have been extended by later turns.
      const remainingMilliseconds = expiresAt - CLOCK_SKEW_MILLISECONDS - storedAt;
      const remainingTurn = { ...turn, retentionMilliseconds: Math.max(0, remainingMilliseconds) };
      yield { tag: 'turn', turn: { turn: remainingTurn, storedAt } };
    }
  }

  /** Counts for metrics. */
  get counts(): { readonly programs: number; readonly turns: number } {
    return { programs: this.accounts.size, turns: this.turns.size };
  }
}
