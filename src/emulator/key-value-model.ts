/** An emulated key-value service with revisions, guarded changes, watches and a rate limit. */
import * as E from 'fp-ts/lib/Either.js';
import type {
  ChangeResult,
  GuardedChange,
  KeyValue,
  KeyValueError,
  KeyValueListener,
  KeyValuePort,
  RangeResult,
} from '../platform/key-value-port.js';
import type { Runtime } from '../runtime/runtime.js';

/** Latency, rate limit and timeout of the emulated service. */
export interface KeyValueModelOptions {
  /** Time from a request to its answer. @default 5 */
  readonly latencyMilliseconds?: number;
  /** Rate limit; requests beyond it are refused. @default 500 */
  readonly requestsPerSecond?: number;
  /** Time after which a request without an answer fails. @default 1000 */
  readonly timeoutMilliseconds?: number;
}

/** The state and the injected faults of the service; `connect` creates a client's port to it. */
export class KeyValueModel {
  /** While true, requests time out and watchers are not notified. */
  isDown = false;
  /** Probability that a change is applied but its answer is lost. */
  answerLoss = 0;
  private revision = 1;
  private readonly pairs = new Map<string, KeyValue>();
  private readonly watchers = new Set<{ prefix: string; onChange: () => void }>();
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly runtime: Runtime,
    private readonly options: KeyValueModelOptions = {},
  ) {
    this.tokens = this.rate;
    this.refilledAt = runtime.now();
  }

  private get rate(): number {
    return this.options.requestsPerSecond ?? 500;
  }

  /** Returns the pairs under a prefix, sorted by key. */
  readRange(prefix: string): RangeResult {
    const pairs = [...this.pairs.values()].filter((pair) => pair.key.startsWith(prefix));
    pairs.sort((left, right) => (left.key < right.key ? -1 : 1));
    return { revision: this.revision, pairs };
  }

  /** Applies a change when all its guards hold, and notifies the watchers. */
  applyChange(change: GuardedChange): ChangeResult {
    const guardsHold = change.guards.every(
      (guard) => (this.pairs.get(guard.key)?.modRevision ?? 0) === guard.modRevision,
    );
    if (!guardsHold) {
      return { applied: false, revision: this.revision };
    }
    this.revision += 1;
    const modRevision = this.revision;
    change.deletes.forEach((key) => this.pairs.delete(key));
    change.puts.forEach(({ key, value }) => this.pairs.set(key, { key, value, modRevision }));
    this.notify(change);
    return { applied: true, revision: modRevision };
  }

  /** Calls `onChange` after each change under a prefix; returns a function that stops this. */
  addWatcher(prefix: string, onChange: () => void): () => void {
    const watcher = { prefix, onChange };
    this.watchers.add(watcher);
    return () => this.watchers.delete(watcher);
  }

  /** Takes a token from the rate limit's bucket; returns false when the bucket is empty. */
  admitRequest(): boolean {
    const now = this.runtime.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.refilledAt) / 1_000) * this.rate);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** Creates a client's port; its callbacks run on the client's runtime. */
  connect(client: Runtime): KeyValuePort {
    return {
      range: (prefix, listener) =>
        this.request(client, false, () => this.readRange(prefix), listener),
      change: (change, listener) =>
        this.request(client, true, () => this.applyChange(change), listener),
      watch: (prefix, _fromRevision, onChange) =>
        this.addWatcher(prefix, () => {
          client.setTimer(this.latency, onChange);
        }),
    };
  }

  private get latency(): number {
    return this.options.latencyMilliseconds ?? 5;
  }

  private request<Result>(
    client: Runtime,
    isWrite: boolean,
    run: () => Result,
    listener: KeyValueListener<Result>,
  ): void {
    const fail = (error: KeyValueError, delay: number): void => {
      client.setTimer(delay, () => listener(E.left(error)));
    };
    const timeout = this.options.timeoutMilliseconds ?? 1_000;
    if (this.isDown) {
      // Without an answer, the client can't know whether the change was applied.
      fail({ tag: 'Unavailable', mayHaveApplied: isWrite, detail: 'no answer' }, timeout);
      return;
    }
    if (!this.admitRequest()) {
      fail(
        { tag: 'RateLimited', mayHaveApplied: false, detail: 'too many requests' },
        this.latency,
      );
      return;
    }
    const isAnswerLost = isWrite && this.runtime.random.uniform() < this.answerLoss;
    this.runtime.setTimer(this.latency / 2, () => {
      const result = run();
      if (isAnswerLost) {
        fail({ tag: 'AnswerLost', mayHaveApplied: true, detail: 'no answer' }, timeout);
      } else {
        client.setTimer(this.latency / 2, () => listener(E.right(result)));
      }
    });
  }

  private notify(change: GuardedChange): void {
    const keys = [...change.puts.map((put) => put.key), ...change.deletes];
    for (const watcher of this.watchers) {
      if (!this.isDown && keys.some((key) => key.startsWith(watcher.prefix))) {
        watcher.onChange();
      }
    }
  }
}
