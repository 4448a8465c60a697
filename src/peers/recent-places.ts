/** What this gateway's requests have lately put into the memory of runners, to be told to its peers. */
import type { Runtime } from '../runtime/runtime.js';
import type { PromptKey, PromptPart } from '../relay/relay-request.js';

/** A part of a prompt that a runner keeps. */
export interface PromptPlace {
  /** Hash of the runner's identifier, 32 bits. */
  readonly runnerHash: number;
  readonly part: PromptKey;
  /** Tokens of the part that are kept. */
  readonly tokens: number;
}

/** Most places told in one message: the newest are told, the others are found out by reading again. */
const MAXIMUM_TOLD = 64;

interface NotedPlace extends PromptPlace {
  readonly notedAt: number;
}

/** See the head of this file. */
export class RecentPlaces {
  private noted: NotedPlace[] = [];

  constructor(private readonly runtime: Runtime) {}

  /** Notes parts that a runner is about to keep. */
  note(runnerHash: number, parts: readonly PromptPart[]): void {
    const notedAt = this.runtime.now();
    for (const { key, tokens } of parts) {
      this.noted.push({ runnerHash, part: key, tokens, notedAt });
    }
  }

  /** Places noted within the last milliseconds; older ones are dropped. */
  within(milliseconds: number): readonly PromptPlace[] {
    const since = this.runtime.now() - milliseconds;
    this.noted = this.noted.filter((place) => place.notedAt >= since).slice(-MAXIMUM_TOLD);
    return this.noted;
  }
}

/** Most places relayed in one message: bounds the bytes whatever the number of gateways. */
const MAXIMUM_RELAYED = 160;

/** Places that other gateways have told lately, to be told on, each for the same time. */
export class PlaceRelay {
  private readonly noted = new Map<string, NotedPlace>();

  constructor(private readonly runtime: Runtime) {}

  /** Notes places; one that was told before is not told on for longer. */
  note(places: readonly PromptPlace[]): void {
    const notedAt = this.runtime.now();
    for (const place of places) {
      const name = `${place.runnerHash} ${place.part}`;
      if (this.noted.get(name)?.tokens !== place.tokens) {
        this.noted.delete(name);
        this.noted.set(name, { ...place, notedAt });
      }
    }
  }

  /** Places first noted within the last milliseconds; those twice as old are dropped. */
  within(milliseconds: number): readonly PromptPlace[] {
    const now = this.runtime.now();
    const lately: PromptPlace[] = [];
    for (const [name, { notedAt, ...place }] of this.noted) {
      if (now - notedAt <= milliseconds) {
        lately.push(place);
      } else if (now - notedAt > 2 * milliseconds) {
        this.noted.delete(name);
      }
    }
    return lately.slice(-MAXIMUM_RELAYED);
  }
}
