/**
 * Asks the model engines what their memory keeps when this gateway starts: what it knew is gone with
 * its last life, and after a loss of power of all gateways nobody else knows it either. A list holds
 * up the engine's work for a moment, so with many gateways each asks only some of the engines.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import type { RunnerBook } from './runner-book.js';
import type { PromptKey } from './relay-request.js';
import type { Runner } from './runner.js';

/** A part of a prompt that an engine keeps. */
export interface KeptPart {
  readonly key: PromptKey;
  /** Leading tokens of the part that are kept. */
  readonly tokens: number;
}

/** Reads what an engine keeps; the error says in one line why it could not be read. */
export type ReadKeptParts = (
  runner: Runner,
  done: (result: Either<string, readonly KeptPart[]>) => void,
) => void;

/** What asking needs. */
export interface KeptMemoryOptions {
  readonly runtime: Runtime;
  readonly book: RunnerBook;
  readonly read: ReadKeptParts;
  /** Whether a service's runners are model engines that keep prompts. */
  readonly keepsPrompts: (service: string) => boolean;
  /** Gateways heard lately, without this one. */
  readonly peerCount: () => number;
}

/** Time after the start in which engines that are seen are asked, in milliseconds. */
const STARTING_MILLISECONDS = 3_000;
/** Time for the configuration and the first peers to be heard of, in milliseconds. */
const LEAST_PAUSE_MILLISECONDS = 20;
/** Spread of the first questions, so that an engine is not asked by all gateways at once. */
const PAUSE_SPREAD_MILLISECONDS = 150;
/** Gateways that ask the same engine, on average, when all start together. */
const ASKING_GATEWAYS = 8;

/** See the head of this file. */
export class KeptMemory {
  private readonly startedAt: number;

  constructor(private readonly options: KeptMemoryOptions) {
    this.startedAt = options.runtime.now();
  }

  /** Takes note of a runner that was not known before. */
  runnerSeen(runner: Runner): void {
    const { runtime } = this.options;
    if (runtime.now() - this.startedAt > STARTING_MILLISECONDS) {
      return;
    }
    const pause = LEAST_PAUSE_MILLISECONDS + runtime.random.uniform() * PAUSE_SPREAD_MILLISECONDS;
    runtime.setTimer(pause, () => this.ask(runner));
  }

  private ask(runner: Runner): void {
    const { runtime, book, read, keepsPrompts, peerCount } = this.options;
    const share = ASKING_GATEWAYS / (peerCount() + 1);
    if (!keepsPrompts(runner.service) || runtime.random.uniform() >= share) {
      return;
    }
    const hash = hashToNumber(runner.id);
    read(runner, (result) => {
      if (isLeft(result)) {
        const fields = { event: 'memory.unread', runner: runner.id, reason: result.left };
        runtime.log('warn', 'memory of a runner not read', fields);
        return;
      }
      const { length: parts } = result.right;
      result.right.forEach(({ key, tokens }) => book.learnPlace(hash, key, tokens));
      const fields = { event: 'memory.read', runner: runner.id, parts };
      runtime.log('info', 'memory of a runner read', fields);
    });
  }
}
