/** The port to the platform's key-value service: a subset of etcd v3. */
import type { Either } from 'fp-ts/lib/Either.js';

/** One stored pair. */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  /** Revision at which the key was last changed. */
  readonly modRevision: number;
}

/** Pairs under a prefix, at one revision. */
export interface RangeResult {
  readonly revision: number;
  readonly pairs: readonly KeyValue[];
}

/** A guarded change: all puts and deletes happen when all guards hold, else none. */
export interface GuardedChange {
  /** Expected `modRevision` of keys; 0 means the key does not exist. */
  readonly guards: readonly { readonly key: string; readonly modRevision: number }[];
  readonly puts: readonly { readonly key: string; readonly value: string }[];
  readonly deletes: readonly string[];
}

/** Result of a guarded change. */
export interface ChangeResult {
  readonly applied: boolean;
  readonly revision: number;
}

/** Why the service did not answer as asked. `mayHaveApplied` is false when it provably did not. */
export interface KeyValueError {
  readonly tag: 'Unavailable' | 'RateLimited' | 'AnswerLost';
  readonly mayHaveApplied: boolean;
  readonly detail: string;
}

/** Receives one answer. */
export type KeyValueListener<Result> = (result: Either<KeyValueError, Result>) => void;

/** What the system asks of the key-value service. */
export interface KeyValuePort {
  /** Reads all pairs whose keys start with a prefix. */
  range(prefix: string, listener: KeyValueListener<RangeResult>): void;
  /** Compare-and-swap. */
  change(change: GuardedChange, listener: KeyValueListener<ChangeResult>): void;
  /** Calls back after changes under a prefix, until cancelled; may miss some, and may end silently. */
  watch(prefix: string, fromRevision: number, onChange: () => void): () => void;
}
