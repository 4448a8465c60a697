/** The port to the platform's key-value service, with the semantics of a subset of etcd v3. */
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

/** A transaction: all puts and deletes are applied if all guards hold, otherwise none. */
export interface GuardedChange {
  /** Expected `modRevision` of keys; 0 expects that the key does not exist. */
  readonly guards: readonly { readonly key: string; readonly modRevision: number }[];
  readonly puts: readonly { readonly key: string; readonly value: string }[];
  readonly deletes: readonly string[];
}

/** Result of a transaction. */
export interface ChangeResult {
  readonly applied: boolean;
  readonly revision: number;
}

/** A failed operation. `mayHaveApplied` is false only when the change was certainly not applied. */
export interface KeyValueError {
  readonly tag: 'Unavailable' | 'RateLimited' | 'AnswerLost';
  readonly mayHaveApplied: boolean;
  readonly detail: string;
}

/** Receives the result of one operation, once. */
export type KeyValueListener<Result> = (result: Either<KeyValueError, Result>) => void;

/** Operations on the key-value service. */
export interface KeyValuePort {
  /** Reads all pairs whose keys start with a prefix. */
  range(prefix: string, listener: KeyValueListener<RangeResult>): void;
  /** Applies a transaction. */
  change(change: GuardedChange, listener: KeyValueListener<ChangeResult>): void;
  /** Calls back after changes under a prefix until cancelled; may miss changes and may stop silently. */
  watch(prefix: string, fromRevision: number, onChange: () => void): () => void;
}
