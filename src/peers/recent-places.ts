/** What this gateway's requests have lately put into the memory of runners, to be told to its peers. */
import type { Runtime } from '../runtime/runtime.js';
import type { PromptKey, PromptPart } from '../relay/request/relay-request.js';

/** A part of a prompt that a runner keeps. */
export interface PromptPlace {
  /** Hash of the runner's life, 32 bits. */
  readonly runnerHash: number;
  readonly part: PromptKey;
  /** Tokens of the part that are kept. */
  readonly tokens: number;
}

/** Most places told in one message: the newest are told, the others are found out by reading again. */
const MAXIMUM_SENT = 64;

interface TimedPlace extends PromptPlace {
  readonly notedAt: number;
}

/** See the head of this file. */
export class RecentPlaces {
  private noted: TimedPlace[] = [];

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
    this.noted = this.noted.filter((place) => place.notedAt >= since).slice(-MAXIMUM_SENT);
    return this.noted;
  }
}

/** Most places relayed in one message: bounds the bytes whatever the number of gateways. */
const MAXIMUM_RELAYED = 80;
/** Times that each is relayed, since datagrams are lost now and then. */
const RELAY_REPEATS = 2;
/** Time for which a place that was relayed is not taken again: its own gateway repeats it. */
const RETENTION_MILLISECONDS = 1_000;
/** Most places that wait to be relayed; the oldest are dropped. */
const MAXIMUM_REMEMBERED = 2_048;

interface RelayedPlace extends TimedPlace {
  sendCount: number;
}

/** Places that other gateways have told lately, to be told on a few times, the newest first. */
export class PlaceRelay {
  private readonly noted = new Map<string, RelayedPlace>();

  constructor(private readonly runtime: Runtime) {}

  /** Notes places; one that was relayed lately is not relayed again. */
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

  /** Places for the next message. */
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
