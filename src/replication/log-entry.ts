/** Types of a shard's replicated log and of a replica's durable state. */
import type { Command } from '../program/commands.js';
import type { NodeId } from '../model/identifiers.js';

/** One log entry; its index follows from its position in the log. */
export interface LogEntry {
  readonly term: number;
  readonly command: Command;
}

/** State of a shard after the entry at `lastIndex`; replaces all entries up to that one. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly voters: readonly NodeId[];
  /** Serialized shard state. */
  readonly state: string;
}

/** Durable state of a replica, kept across restarts. */
export interface PersistedReplica {
  readonly term: number;
  /** Empty when no vote was given in this term. */
  readonly votedFor: NodeId;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
  /**
   * Highest index that the replica has acknowledged; set only when its disk has lost the end of the
   * log. Until the log reaches this index again, the replica must take no part in elections: a leader
   * elected with its vote could lack committed entries.
   */
  readonly acknowledgedIndex?: number;
}

/** A change to a replica's durable state; its parts are applied atomically. */
export interface PersistChange {
  readonly vote?: { readonly term: number; readonly votedFor: NodeId };
  /** Replaces all entries from `fromIndex` on. */
  readonly append?: { readonly fromIndex: number; readonly entries: readonly LogEntry[] };
  /** Replaces the snapshot and drops the entries that it covers. */
  readonly snapshot?: Snapshot;
}

/** Durable storage of one replica. Changes become durable in the order they are given. */
export interface ReplicaStorage {
  /** Calls `done` when the change and all earlier ones are durable. */
  persist(change: PersistChange, done: () => void): void;
}

/** Initial state of a new replica. */
export function emptyReplica(voters: readonly NodeId[]): PersistedReplica {
  return {
    term: 0,
    votedFor: '',
    snapshot: { lastIndex: 0, lastTerm: 0, voters, state: '' },
    entries: [],
  };
}

/** The state after a change; defines the meaning of `PersistChange` for all storages. */
export function applyChange(replica: PersistedReplica, change: PersistChange): PersistedReplica {
  let next = replica;
  if (change.vote !== undefined) {
    next = { ...next, term: change.vote.term, votedFor: change.vote.votedFor };
  }
  if (change.append !== undefined) {
    const kept = next.entries.slice(0, change.append.fromIndex - next.snapshot.lastIndex - 1);
    next = { ...next, entries: [...kept, ...change.append.entries] };
  }
  if (change.snapshot !== undefined) {
    const dropped = change.snapshot.lastIndex - next.snapshot.lastIndex;
    next = { ...next, snapshot: change.snapshot, entries: next.entries.slice(dropped) };
  }
  return next;
}
