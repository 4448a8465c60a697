/**
 * Asks the model engines what their memory keeps when this gateway starts: what it knew is gone with
 * its last life, and after a loss of power of all gateways nobody else knows it either. A list holds
 * up the engine's work for a moment, so with many gateways each asks only some of the engines, one after
 * another, and tells the others what it read.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import type { Either } from 'fp-ts/lib/Either.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { RunnerBook } from './runner-book.js';
import type { PromptKey } from '../request/relay-request.js';
import { lifeHash } from './runner.js';
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
  /** Tells peers what a runner keeps. */
  readonly tell: (runnerHash: number, parts: readonly KeptPart[]) => void;
}

/** Time after the start in which engines that are seen are asked, in milliseconds. */
const STARTING_MILLISECONDS = 3_000;
/** Time for the configuration and the first peers to be heard of, in milliseconds. */
const FIRST_PAUSE_MILLISECONDS = 20;
/**
 * Pause between two questions: gateways that all start together ask in different orders, and hear
 * meanwhile of one another and of what others have read.
 */
const PAUSE_MILLISECONDS = 12;
/** Gateways that ask the same engine, on average, when all start together. */
const ASKING_GATEWAYS = 8;

/** Gateways beyond which one that was told enough by peers asks no more. */
const MANY_GATEWAYS = 2 * ASKING_GATEWAYS;
/** Parts known of an engine that only another's list can have told so soon after the start. */
const TOLD_PARTS = 12;

/** See the head of this file. */
export class KeptMemory {
  private readonly startedAt: number;
  private readonly waiting: Runner[] = [];
  private asking = false;

  constructor(private readonly options: KeptMemoryOptions) {
    this.startedAt = options.runtime.now();
  }

  /** Takes note of a runner that was not known before. */
  runnerSeen(runner: Runner): void {
    const { runtime } = this.options;
    if (runtime.now() - this.startedAt > STARTING_MILLISECONDS) {
      return;
    }
    this.waiting.push(runner);
    if (!this.asking) {
      this.asking = true;
      runtime.setTimer(FIRST_PAUSE_MILLISECONDS, () => this.askNext());
    }
  }

  /** Asks a runner drawn from those that wait and fall to this gateway, then the next after a pause. */
  private askNext(): void {
    const { runtime } = this.options;
    while (this.waiting.length > 0) {
      const place = runtime.random.integer(0, this.waiting.length - 1);
      const [runner] = this.waiting.splice(place, 1);
      if (runner !== undefined && this.isToAsk(runner)) {
        this.ask(runner);
        runtime.setTimer(PAUSE_MILLISECONDS, () => this.askNext());
        return;
      }
    }
    this.asking = false;
  }

  private isToAsk(runner: Runner): boolean {
    const { runtime, book, keepsPrompts, peerCount } = this.options;
    const gateways = peerCount() + 1;
    const isTold = gateways > MANY_GATEWAYS && book.partsKeptAt(lifeHash(runner)) >= TOLD_PARTS;
    if (!keepsPrompts(runner.service) || isTold) {
      return false;
    }
    return runtime.random.uniform() < ASKING_GATEWAYS / gateways;
  }

  private ask(runner: Runner): void {
    const { runtime, book, read, tell } = this.options;
    const hash = lifeHash(runner);
    read(runner, (result) => {
      if (isLeft(result)) {
        const fields = { event: 'memory.unread', runner: runner.id, reason: result.left };
        runtime.log('warn', 'memory of a runner not read', fields);
        return;
      }
      const { length: parts } = result.right;
      result.right.forEach(({ key, tokens }) => book.learnPlace(hash, key, tokens));
      tell(hash, result.right);
      const fields = { event: 'memory.read', runner: runner.id, parts };
      runtime.log('info', 'memory of a runner read', fields);
    });
  }
}
