/**
 * Places of prompts: which prompt parts runners have recently begun to cache, as gateways report
 * them to their peers.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { PromptKey, PromptPart } from '../relay/request/relay-request.js';

/** A prompt part cached by a runner. */
export interface PromptPlace {
  /** Hash of the runner's incarnation, 32 bits. */
  readonly runnerHash: number;
  readonly part: PromptKey;
  /** Number of cached tokens of the part. */
  readonly tokens: number;
}

/**
 * Maximum number of own places in a message. The newest are sent; a part whose place is not
 * reported may be cached again elsewhere.
 */
const MAXIMUM_SENT = 64;

interface TimedPlace extends PromptPlace {
  readonly notedAt: number;
}

/** Keeps the places that this gateway's own requests have recently created. */
export class RecentPlaces {
  private noted: TimedPlace[] = [];

  constructor(private readonly runtime: Runtime) {}

  /** Records parts that a runner is about to cache. */
  note(runnerHash: number, parts: readonly PromptPart[]): void {
    const notedAt = this.runtime.now();
    for (const { key, tokens } of parts) {
      this.noted.push({ runnerHash, part: key, tokens, notedAt });
    }
  }

  /** Returns the places of the last `milliseconds`, newest last, and drops older ones. */
  within(milliseconds: number): readonly PromptPlace[] {
    const since = this.runtime.now() - milliseconds;
    this.noted = this.noted.filter((place) => place.notedAt >= since).slice(-MAXIMUM_SENT);
    return this.noted;
  }
}

/** Maximum number of relayed places in a message, whatever the number of gateways. */
const MAXIMUM_RELAYED = 80;
/** Number of times that each place is relayed, to make up for lost datagrams. */
const RELAY_REPEATS = 2;
/**
 * Time for which a relayed place is remembered, in milliseconds, so that repeated reports of it are
 * not relayed again.
 */
const RETENTION_MILLISECONDS = 1_000;
/** Maximum number of remembered places; the oldest are dropped first. */
const MAXIMUM_REMEMBERED = 2_048;

interface RelayedPlace extends TimedPlace {
  sendCount: number;
}

/** Relays the places reported by other gateways a few times, newest first. */
export class PlaceRelay {
  private readonly noted = new Map<string, RelayedPlace>();

  constructor(private readonly runtime: Runtime) {}

  /** Records reported places; one that was relayed recently is not relayed again. */
  note(places: readonly PromptPlace[]): void {
    const notedAt = this.runtime.now();
    for (const place of places) {
      const id = `${place.runnerHash} ${place.part}`;
      if (this.noted.get(id)?.tokens !== place.tokens) {
        this.noted.delete(id);
        this.noted.set(id, { ...place, notedAt, sendCount: 0 });
      }
    }
  }

  /** Returns the places for the next message. */
  take(): readonly PromptPlace[] {
    this.evict();
    const waiting = [...this.noted.values()].filter(({ sendCount }) => sendCount < RELAY_REPEATS);
    const taken = waiting.slice(-MAXIMUM_RELAYED);
    return taken.map((place) => {
      place.sendCount += 1;
      const { runnerHash, part, tokens } = place;
      return { runnerHash, part, tokens };
    });
  }

  private evict(): void {
    const since = this.runtime.now() - RETENTION_MILLISECONDS;
    for (const [id, { sendCount, notedAt }] of this.noted) {
      if (this.noted.size > MAXIMUM_REMEMBERED || (sendCount >= RELAY_REPEATS && notedAt < since)) {
        this.noted.delete(id);
      }
    }
  }
}
