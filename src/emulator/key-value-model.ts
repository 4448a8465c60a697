/** An emulated key-value service: revisions, guarded changes, watches; can be down or lose answers. */
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

/** How the emulated service behaves. */
export interface KeyValueModelOptions {
  /** Milliseconds from request to answer. @default 5 */
  readonly latencyMilliseconds?: number;
  /** Requests a second before it refuses. @default 500 */
  readonly requestsPerSecond?: number;
  /** Milliseconds after which a request to a service that is down fails. @default 1000 */
  readonly timeoutMilliseconds?: number;
}

/** The state and faults of the emulated service; ports are made by `connect`. */
export class KeyValueModel {
  /** No request is answered while this is true. */
  isDown = false;
  /** Probability that a change takes effect and its answer is lost. */
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

  /** Reads pairs under a prefix, at once. */
  readRange(prefix: string): RangeResult {
    const pairs = [...this.pairs.values()].filter((pair) => pair.key.startsWith(prefix));
    pairs.sort((left, right) => (left.key < right.key ? -1 : 1));
    return { revision: this.revision, pairs };
  }

  /** Applies a guarded change, at once. */
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

  /** Calls back after each change under a prefix. */
  addWatcher(prefix: string, onChange: () => void): () => void {
    const watcher = { prefix, onChange };
    this.watchers.add(watcher);
    return () => this.watchers.delete(watcher);
  }

  /** Takes one request out of the rate limit; false when it is used up. */
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

  /** A port as one client has it; its callbacks run on the client's own runtime. */
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
      // A client that hears nothing cannot know whether the request arrived.
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
