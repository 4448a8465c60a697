/** The in-memory state of a replica: accounts, turns, and the change log that other replicas pull. */
import { MAXIMUM_FRAME_BYTES } from '../wire/framing.js';
import { mergeReservation } from './account.js';
import type { Account } from './account.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { AccountEntry, ChainState } from './messages.js';
import { packDigests, ReservationDigests } from './reservation-digests.js';
import type { StorageChange, StoredEntry, StoredTurn } from './turn-storage.js';

/** Time for which an account is retained after its last change at least, in milliseconds. */
const ACCOUNT_RETENTION_MILLISECONDS = 300_000;
/** Allowance for clock skew between machines, added to the retention of turns, in milliseconds. */
const CLOCK_SKEW_MILLISECONDS = 10_000;
/** Maximum number of log entries in one pull reply. */
const MAXIMUM_PULL_ENTRIES = 2_000;
/** Maximum number of turns that are followed in a chain. */
const MAXIMUM_CHAIN_TURNS = 10_000;
/** Size that a reply takes beside the chain, in bytes. */
const REPLY_HEAD_BYTES = 1024;
/** Maximum size of a chain, in bytes; a reply that exceeds the size of a frame closes the connection. */
const MAXIMUM_CHAIN_BYTES = MAXIMUM_FRAME_BYTES - REPLY_HEAD_BYTES;

/** Factor from the content of a turn to the size of its message up to which the message is kept instead of a copy. */
const KEPT_MESSAGE_FACTOR = 1.1;

interface AccountRecord {
  readonly account: Account;
  changedAt: number;
}

interface TurnRecord {
  readonly turn: ConversationTurn;
  /** Wall time after which the turn is dropped, in milliseconds. */
  expiresAt: number;
}

type LoggedChange =
  | { readonly tag: 'entry'; readonly digest: string }
  | { readonly tag: 'turn'; readonly id: string };

/** One batch of the change log. */
export interface LogPart {
  /** Position after the last entry of this batch. */
  readonly next: number;
  /** Current end of the log. */
  readonly end: number;
  /** Concatenated digests of reservations. */
  readonly digests: Buffer;
  /** Ids of turns. */
  readonly turns: string[];
}

/** Iterates over the entries that a map holds at the start, leaving out entries added during the iteration. */
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

/** Returns a turn that keeps little more than its content: parts of a received message keep all of it. */
function withOwnContent(turn: ConversationTurn): ConversationTurn {
  const { input, output } = turn;
  const contentBytes = input.length + output.length;
  const isMostOf = ({ buffer }: Buffer): boolean =>
    buffer.byteLength <= contentBytes * KEPT_MESSAGE_FACTOR;
  return input.buffer === output.buffer && isMostOf(input)
    ? turn
    : { ...turn, input: Buffer.from(input), output: Buffer.from(output) };
}

/** Holds the accounts and turns of a replica and logs their changes. */
export class ReplicaState {
  private readonly accounts = new Map<string, AccountRecord>();
  private readonly turns = new Map<string, TurnRecord>();
  /** Wall time until which predecessors that are not here are needed, in milliseconds, by turn. */
  private readonly awaitedUntil = new Map<string, number>();
  private readonly log: LoggedChange[] = [];
  /** Log position of the first entry of `log`; all earlier entries have expired. */
  private logStart = 0;
  private readonly digests = new ReservationDigests();

  /** Merges a reservation and logs the change, if there is one. */
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

  /** Returns the merged reservation of a turn. */
  entryOf(program: string, turn: string): AccountEntry | undefined {
    const reservation = this.accounts.get(program)?.account.get(turn);
    return reservation === undefined ? undefined : { program, ...reservation };
  }

  /** Returns the digests of those reservation states that this replica lacks. */
  missingDigests(digests: readonly string[]): string[] {
    return digests.filter((digest) => this.digests.find(digest) === undefined);
  }

  /** Returns the current states of the reservations with the given digests, leaving out dropped ones. */
  entriesByDigest(digests: readonly string[]): AccountEntry[] {
    return digests.flatMap((digest) => {
      const key = this.digests.find(digest);
      return key === undefined ? [] : (this.entryOf(key.program, key.turn) ?? []);
    });
  }

  /** Returns all reservations of a program. */
  entriesOf(program: string): AccountEntry[] {
    const account = this.accounts.get(program)?.account;
    return account === undefined
      ? []
      : [...account.values()].map((reservation) => ({ program, ...reservation }));
  }

  /**
   * Adds a turn and extends the retention of its predecessors to at least its own, also of those that are added later. A turn
   * that needs no predecessors replaces one whose predecessors are not here.
   */
  addTurn(stored: StoredTurn): void {
    const { storedAt } = stored;
    const { id, previous, retentionMilliseconds } = stored.turn;
    const expiresAt = storedAt + retentionMilliseconds + CLOCK_SKEW_MILLISECONDS;
    if (!this.turns.has(id) || (previous === '' && !this.hasChain(id))) {
      this.turns.set(id, { turn: withOwnContent(stored.turn), expiresAt });
      this.log.push({ tag: 'turn', id });
    }
    this.extendChain(id, Math.max(expiresAt, this.awaitedUntil.get(id) ?? 0));
    this.awaitedUntil.delete(id);
  }

  private extendChain(last: string, expiresAt: number): void {
    let id = last;
    for (let depth = 0; id !== '' && depth < MAXIMUM_CHAIN_TURNS; depth += 1) {
      const record = this.turns.get(id);
      if (record === undefined) {
        this.awaitedUntil.set(id, Math.max(expiresAt, this.awaitedUntil.get(id) ?? 0));
        return;
      }
      record.expiresAt = Math.max(record.expiresAt, expiresAt);
      id = record.turn.previous;
    }
  }

  hasTurn(id: string): boolean {
    return this.turns.has(id);
  }

  /** Whether a turn and all its predecessors are here; true for the empty id, which stands for no turn. */
  hasChain(last: string): boolean {
    let id = last;
    for (let depth = 0; id !== '' && depth < MAXIMUM_CHAIN_TURNS; depth += 1) {
      const record = this.turns.get(id);
      if (record === undefined) {
        return false;
      }
      id = record.turn.previous;
    }
    return id === '';
  }

  getTurn(id: string): ConversationTurn | undefined {
    return this.turns.get(id)?.turn;
  }

  /**
   * Looks up the chain that ends with a turn; the body holds the inputs and outputs, oldest first. A chain that leads back to itself,
   * which a client can bring about by using an id again, or that is too large, counts as `unsure`.
   */
  chainOf(id: string): { readonly state: ChainState; readonly body: Buffer } {
    const parts: Buffer[] = [];
    const visited = new Set<string>();
    let bytes = 0;
    let currentId = id;
    for (let depth = 0; currentId !== '' && depth < MAXIMUM_CHAIN_TURNS; depth += 1) {
      const record = this.turns.get(currentId);
      if (record === undefined) {
        return { state: depth === 0 ? 'missing' : 'unsure', body: Buffer.alloc(0) };
      }
      const { output, input } = record.turn;
      bytes += output.length + input.length;
      if (visited.has(currentId) || bytes > MAXIMUM_CHAIN_BYTES) {
        return { state: 'unsure', body: Buffer.alloc(0) };
      }
      visited.add(currentId);
      parts.push(output, input);
      currentId = record.turn.previous;
    }
    if (currentId !== '') {
      return { state: 'unsure', body: Buffer.alloc(0) };
    }
    return { state: 'found', body: Buffer.concat(parts.reverse()) };
  }

  /** Reads a batch of the log after a position, leaving out turns that were dropped since. */
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

  get logEnd(): number {
    return this.logStart + this.log.length;
  }

  /** Drops expired turns and accounts; returns the changes that drop them from storage. */
  expire(wallTime: number): StorageChange[] {
    const changes: StorageChange[] = [];
    for (const [id, record] of this.turns) {
      if (record.expiresAt < wallTime) {
        this.turns.delete(id);
        changes.push({ tag: 'dropTurn', id });
      }
    }
    for (const [id, neededUntil] of this.awaitedUntil) {
      if (neededUntil < wallTime) {
        this.awaitedUntil.delete(id);
      }
    }
    for (const [program, record] of this.accounts) {
      if (
        record.changedAt + ACCOUNT_RETENTION_MILLISECONDS < wallTime &&
        !this.retainsTurnOf(record.account)
      ) {
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

  /** Whether a program may come back, because a turn that can be continued is here. */
  private retainsTurnOf(account: Account): boolean {
    for (const turn of account.keys()) {
      if (this.turns.has(turn)) {
        return true;
      }
    }
    return false;
  }

  /** Removes log entries from the start of the log whose turns and reservations were dropped. */
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
   * Iterates over the state as changes that recreate it. The state may change during the iteration; entries added
   * meanwhile may be left out, because each of them has been written on its own.
   */
  *liveChanges(wallTime: () => number): Generator<StorageChange> {
    for (const [program, { account, changedAt: storedAt }] of initialEntries(this.accounts)) {
      for (const reservation of account.values()) {
        yield { tag: 'entry', entry: { entry: { program, ...reservation }, storedAt } };
      }
    }
    for (const [, { turn, expiresAt }] of initialEntries(this.turns)) {
      const storedAt = wallTime();
      // Later turns may have extended the retention.
      const remainingMilliseconds = expiresAt - CLOCK_SKEW_MILLISECONDS - storedAt;
      const remainingTurn = { ...turn, retentionMilliseconds: Math.max(0, remainingMilliseconds) };
      yield { tag: 'turn', turn: { turn: remainingTurn, storedAt } };
    }
  }

  /** Numbers of programs and turns held, for metrics. */
  get counts(): { readonly programs: number; readonly turns: number } {
    return { programs: this.accounts.size, turns: this.turns.size };
  }
}
