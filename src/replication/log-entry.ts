/** Entries of a shard's replicated log. */
import type { Command } from '../program/commands.js';
import type { NodeId } from '../model/identifiers.js';

/** One entry; its index follows from its place. */
export interface LogEntry {
  readonly term: number;
  readonly command: Command;
}

/** The state of a shard up to an index, with which the entries before it are replaced. */
export interface Snapshot {
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly voters: readonly NodeId[];
  /** Serialized shard state. */
  readonly state: string;
}

/** What a replica must not forget when its process ends. */
export interface PersistedReplica {
  readonly term: number;
  /** Empty when no vote was given in this term. */
  readonly votedFor: NodeId;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
  /**
   * Newest index the replica has acknowledged, when its disk has lost the end of the log. Until it
   * has caught up it must not help to elect a leader: that could miss what was committed.
   */
  readonly acknowledgedIndex?: number;
}

/** One change to a replica's persisted part; its parts take effect together. */
export interface PersistChange {
  readonly vote?: { readonly term: number; readonly votedFor: NodeId };
  /** Entries from `fromIndex` on are replaced by these. */
  readonly append?: { readonly fromIndex: number; readonly entries: readonly LogEntry[] };
  /** Entries up to the snapshot's index are dropped; `keepFromIndex` says what stays. */
  readonly snapshot?: Snapshot;
}

/** Durable storage of one replica. Changes become durable in the order they are given. */
export interface ReplicaStorage {
  /** Calls back when the change, and all before it, would survive the process's death. */
  persist(change: PersistChange, done: () => void): void;
}

/** A replica that was never written to. */
export function emptyReplica(voters: readonly NodeId[]): PersistedReplica {
  return {
    term: 0,
    votedFor: '',
    snapshot: { lastIndex: 0, lastTerm: 0, voters, state: '' },
    entries: [],
  };
}

/** Applies a change to the persisted part in memory; every storage shares this meaning. */
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
