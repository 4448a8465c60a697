/** Durable storage of one replica, as its logic sees it. */
import type { AccountEntry } from './messages.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { JoinToken } from './membership.js';

/** What a replica knows of itself. */
export interface ReplicaMeta {
  /** Whether the state was complete when this was written. */
  readonly ready: boolean;
  /** Newest record of the members, as text. */
  readonly members: string;
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

/** One change. */
export type StorageChange =
  | { readonly tag: 'meta'; readonly meta: ReplicaMeta }
  /** The replica is about to join, and will have acknowledged nothing until it says that it is complete. */
  | { readonly tag: 'joining'; readonly token: JoinToken }
  | { readonly tag: 'entry'; readonly entry: StoredEntry }
  | { readonly tag: 'turn'; readonly turn: StoredTurn }
  | { readonly tag: 'dropEntry'; readonly program: string; readonly turn: string }
  | { readonly tag: 'dropTurn'; readonly id: string };

/** Changes that are written; what is past its time is dropped by its age, not by a record. */
export type WrittenChange = Extract<StorageChange, { tag: 'meta' | 'joining' | 'entry' | 'turn' }>;

/** A lazy write may wait for the next urgent one, or for a moment. */
export type WriteUrgency = 'urgent' | 'lazy';

/** See the head of this file. */
export interface TurnStorage {
  /** Makes changes durable, in the order of the calls; false when the disk refused. */
  write(
    changes: readonly StorageChange[],
    done: (durable: boolean) => void,
    urgency?: WriteUrgency,
  ): void;
}
