/** The port to the durable storage of one replica. */
import type { AccountEntry } from './messages.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { JoinToken } from './membership.js';

/** A replica's metadata. */
export interface ReplicaMeta {
  /** Whether the state was complete when this was written. */
  readonly ready: boolean;
  /** Newest known membership record, as JSON. */
  readonly members: string;
  /**
   * Set as long as the state was never complete since the disk was empty, so that the replica has acknowledged nothing.
   * Older builds write none: then it isn't known.
   */
  readonly neverReady?: true;
}

/** A turn with the wall time at which it was stored, in milliseconds. */
export interface StoredTurn {
  readonly turn: ConversationTurn;
  readonly storedAt: number;
}

/** A reservation with the wall time of its last change, in milliseconds. */
export interface StoredEntry {
  readonly entry: AccountEntry;
  readonly storedAt: number;
}

/** Encoded news of requests under which runners ended, with the wall time at which it was stored, in milliseconds. */
export interface StoredSuspectNews {
  readonly news: Buffer;
  readonly storedAt: number;
}

/** A change of the stored state. */
export type StorageChange =
  | { readonly tag: 'meta'; readonly meta: ReplicaMeta }
  /** The replica is about to join; until its metadata says ready, it has acknowledged nothing under this token. */
  | { readonly tag: 'joining'; readonly token: JoinToken }
  | { readonly tag: 'entry'; readonly entry: StoredEntry }
  | { readonly tag: 'turn'; readonly turn: StoredTurn }
  /** Stored in a folder of its own. */
  | { readonly tag: 'suspects'; readonly suspects: StoredSuspectNews }
  | { readonly tag: 'dropEntry'; readonly program: string; readonly turn: string }
  | { readonly tag: 'dropTurn'; readonly id: string };

/** Changes that are written as records; expired state is recognized by its age, so drops are not recorded. */
export type WrittenChange = Extract<
  StorageChange,
  { tag: 'meta' | 'joining' | 'entry' | 'turn' | 'suspects' }
>;

/**
 * A lazy write may be delayed until the next urgent one, or for a short time. An answered one is urgent, and a caller
 * waits for its outcome: when the disk takes no writes it fails at once, and is written later all the same.
 */
export type WriteUrgency = 'urgent' | 'lazy' | 'answered';

/** Persists the changes of a replica. */
export interface TurnStorage {
  /** Whether nothing new becomes durable for now: no space, writes that fail, or too many that wait. @default never */
  readonly isFull?: boolean;
  /** Makes changes durable, in the order of the calls; calls back with false when the write failed. */
  write(
    changes: readonly StorageChange[],
    done: (durable: boolean) => void,
    urgency?: WriteUrgency,
  ): void;
}
