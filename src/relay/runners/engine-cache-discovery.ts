/**
 * Queries the model engines for the contents of their prompt caches when this gateway starts. A gateway loses what
 * it knew about the caches when it restarts, and after a power loss of all gateways its peers know nothing either.
 * Listing the cache interrupts an engine's work for a moment, so with many gateways each of them queries only some
 * of the engines, one after another, and announces the results to its peers.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { RunnerRegistry } from './runner-registry.js';
import type { PromptKey } from '../request/relay-request.js';
import { incarnationHash } from './runner.js';
import type { Runner } from './runner.js';

/** A part of a prompt that an engine has cached. */
export interface CachedPart {
  readonly key: PromptKey;
  /** Number of leading tokens of the part that are cached. */
  readonly tokens: number;
}

/** Lists the contents of an engine's prompt cache; on failure `done` gets a one-line reason. */
export type ReadCachedParts = (
  runner: Runner,
  done: (result: Either<string, readonly CachedPart[]>) => void,
) => void;

/** Dependencies of `EngineCacheDiscovery`. */
export interface EngineCacheDiscoveryOptions {
  readonly runtime: Runtime;
  readonly registry: RunnerRegistry;
  readonly read: ReadCachedParts;
  /** Whether a service's runners are model engines that cache prompts. */
  readonly cachesPrompts: (service: string) => boolean;
  /** Whether a runner may be queried. */
  readonly mayQuery: (runner: Runner) => boolean;
  /** Number of gateways heard from recently, not counting this one. */
  readonly peerCount: () => number;
  /** Announces a runner's cached parts to the peers. */
  readonly announce: (runnerHash: number, parts: readonly CachedPart[]) => void;
}

/** Time after the start in which newly added engines are queried; engines added later start empty. */
const STARTUP_MILLISECONDS = 3_000;
/** Delay before the first query, in which the configuration and the first peers become known. */
const INITIAL_DELAY_MILLISECONDS = 20;
/**
 * Time between two queries. Gateways that start together query in different orders and meanwhile learn of each
 * other and of the caches that others have read.
 */
const QUERY_INTERVAL_MILLISECONDS = 12;
/** Mean number of gateways that query the same engine when all start together. */
const GATEWAYS_PER_ENGINE = 8;

/** Number of gateways above which an engine is not queried if peers have already announced its cache. */
const MANY_GATEWAYS = 2 * GATEWAYS_PER_ENGINE;
/** Number of known parts from which a peer must have announced the engine's cache: requests add fewer so early. */
const ANNOUNCED_PARTS = 12;

/** Schedules the queries after the start of a gateway and records their results. */
export class EngineCacheDiscovery {
  private readonly startedAt: number;
  private readonly pendingRunners: Runner[] = [];
  private isQuerying = false;

  constructor(private readonly options: EngineCacheDiscoveryOptions) {
    this.startedAt = options.runtime.now();
  }

  /** Queues a newly added runner for a query if this gateway has just started. */
  noteRunnerAdded(runner: Runner): void {
    const { runtime } = this.options;
    if (runtime.now() - this.startedAt > STARTUP_MILLISECONDS) {
      return;
    }
    this.pendingRunners.push(runner);
    if (!this.isQuerying) {
      this.isQuerying = true;
      runtime.setTimer(INITIAL_DELAY_MILLISECONDS, () => this.queryNext());
    }
  }

  /** Queries a randomly picked pending runner and schedules the next query; skips those that need none. */
  private queryNext(): void {
    const { runtime } = this.options;
    while (this.pendingRunners.length > 0) {
      const index = runtime.random.integer(0, this.pendingRunners.length - 1);
      const [runner] = this.pendingRunners.splice(index, 1);
      if (runner !== undefined && this.shouldQuery(runner)) {
        this.query(runner);
        runtime.setTimer(QUERY_INTERVAL_MILLISECONDS, () => this.queryNext());
        return;
      }
    }
    this.isQuerying = false;
  }

  private shouldQuery(runner: Runner): boolean {
    const { runtime, registry, cachesPrompts, mayQuery, peerCount } = this.options;
    const gateways = peerCount() + 1;
    const isAlreadyKnown =
      gateways > MANY_GATEWAYS &&
      registry.cachedPartCount(incarnationHash(runner)) >= ANNOUNCED_PARTS;
    if (!cachesPrompts(runner.service) || !mayQuery(runner) || isAlreadyKnown) {
      return false;
    }
    return runtime.random.uniform() < GATEWAYS_PER_ENGINE / gateways;
  }

  private query(runner: Runner): void {
    const { runtime, registry, read, announce } = this.options;
    const hash = incarnationHash(runner);
    read(runner, (result) => {
      if (isLeft(result)) {
        const fields = { event: 'memory.unread', runner: runner.id, reason: result.left };
        runtime.log('warn', 'prompt cache of a runner could not be read', fields);
        return;
      }
      const { length: parts } = result.right;
      result.right.forEach(({ key, tokens }) => registry.learnCachedPart(hash, key, tokens));
      announce(hash, result.right);
      const fields = { event: 'memory.read', runner: runner.id, parts };
      runtime.log('info', 'prompt cache of a runner read', fields);
    });
  }
}
