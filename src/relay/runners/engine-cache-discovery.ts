/**
 * Asks the model engines what their memory keeps when this gateway starts: what it knew is gone with
 * its last life, and after a loss of power of all gateways nobody else knows it either. A list holds
 * up the engine's work for a moment, so with many gateways each asks only some of the engines, one after
 * another, and tells the others what it read.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { RunnerRegistry } from './runner-registry.js';
import type { PromptKey } from '../request/relay-request.js';
import { incarnationHash } from './runner.js';
import type { Runner } from './runner.js';

/** A part of a prompt that an engine keeps. */
export interface CachedPart {
  readonly key: PromptKey;
  /** Leading tokens of the part that are kept. */
  readonly tokens: number;
}

/** Reads what an engine keeps; the error says in one line why it could not be read. */
export type ReadCachedParts = (
  runner: Runner,
  done: (result: Either<string, readonly CachedPart[]>) => void,
) => void;

/** What asking needs. */
export interface EngineCacheDiscoveryOptions {
  readonly runtime: Runtime;
  readonly registry: RunnerRegistry;
  readonly read: ReadCachedParts;
  /** Whether a service's runners are model engines that keep prompts. */
  readonly cachesPrompts: (service: string) => boolean;
  /** Gateways heard lately, without this one. */
  readonly peerCount: () => number;
  /** Tells peers what a runner keeps. */
  readonly announce: (runnerHash: number, parts: readonly CachedPart[]) => void;
}

/** Time after the start in which engines that are seen are asked, in milliseconds. */
const STARTUP_MILLISECONDS = 3_000;
/** Time for the configuration and the first peers to be heard of, in milliseconds. */
const INITIAL_DELAY_MILLISECONDS = 20;
/**
 * Pause between two questions: gateways that all start together ask in different orders, and hear
 * meanwhile of one another and of what others have read.
 */
const QUERY_INTERVAL_MILLISECONDS = 12;
/** Gateways that ask the same engine, on average, when all start together. */
const GATEWAYS_PER_ENGINE = 8;

/** Gateways beyond which one that was told enough by peers asks no more. */
const MANY_GATEWAYS = 2 * GATEWAYS_PER_ENGINE;
/** Parts known of an engine that only another's list can have told so soon after the start. */
const ANNOUNCED_PARTS = 12;

/** See the head of this file. */
export class EngineCacheDiscovery {
  private readonly startedAt: number;
  private readonly pendingRunners: Runner[] = [];
  private isQuerying = false;

  constructor(private readonly options: EngineCacheDiscoveryOptions) {
    this.startedAt = options.runtime.now();
  }

  /** Takes note of a runner that was not known before. */
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

  /** Asks a runner drawn from those that wait and fall to this gateway, then the next after a pause. */
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
    const { runtime, registry, cachesPrompts, peerCount } = this.options;
    const gateways = peerCount() + 1;
    const isAlreadyKnown =
      gateways > MANY_GATEWAYS &&
      registry.cachedPartCount(incarnationHash(runner)) >= ANNOUNCED_PARTS;
    if (!cachesPrompts(runner.service) || isAlreadyKnown) {
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
        runtime.log('warn', 'memory of a runner not read', fields);
        return;
      }
      const { length: parts } = result.right;
      result.right.forEach(({ key, tokens }) => registry.learnCachedPart(hash, key, tokens));
      announce(hash, result.right);
      const fields = { event: 'memory.read', runner: runner.id, parts };
      runtime.log('info', 'memory of a runner read', fields);
    });
  }
}
