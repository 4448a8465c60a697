/** Runners that are not alike, in virtual time: each has a speed, and may fail part of its requests. */
import type { RandomSource } from '../../src/runtime/random.js';
import type { VirtualClock } from '../../src/simulation/virtual-clock.js';

/** How a runner fails: it refuses, cuts off, never answers, stops in the middle, or takes very long. */
export type FaultKind = 'shed' | 'reset' | 'hang' | 'mute' | 'slow';

/** A fault of one runner. */
export interface RunnerFault {
  readonly kind: FaultKind;
  /** Share of its requests. */
  readonly share: number;
  /** Times in milliseconds. */
  readonly from: number;
  readonly until: number;
}

/** One runner of the laboratory. */
export interface LabRunner {
  /** Factor on all its times. */
  readonly speed: number;
  readonly fault?: RunnerFault;
}

/** Work that runners do. */
export interface LabService {
  readonly slots: number;
  /** Whether they are model engines; else they answer as a whole. */
  readonly isEngine: boolean;
  /** Share of requests that take 2.5 times as long, at any runner. */
  readonly spellShare: number;
}

/** What came of a request. */
export type LabEnd =
  | { readonly tag: 'Refused' }
  | { readonly tag: 'Lost' }
  | {
      readonly tag: 'Whole';
      /** From being sent to the first event, in milliseconds. */
      readonly firstMilliseconds: number;
      /** Between events, in milliseconds; 0 for plain answers. */
      readonly pauseMilliseconds: number;
    };

/** Receives what a runner says. */
export interface LabListener {
  /** False once the caller has left: what still waits is dropped. */
  isOpen(): boolean;
  /** A byte came. */
  onHeard(): void;
  onEnd(end: LabEnd): void;
}

const WAY_MILLISECONDS = 1;
/** Median and spread of plain work. */
const PLAIN_MILLISECONDS = 40;
const PLAIN_SIGMA = 0.4;
const SPELL_FACTOR = 2.5;
const SLOW_FACTOR = 5.5;
/** What engines cost: 660 tokens at 85.6 a millisecond, steps that slow with each request beside. */
export const ENGINE_LAW = {
  millisecondsPerToken: 1 / 85.6,
  eventMillisecondsPerRequest: 2,
  meanEvents: 6,
} as const;
export const ENGINE_TOKENS = 660;
const ENGINE_BASE_MILLISECONDS = 10;
const ENGINE_PAUSE_MILLISECONDS = 8;

/** Mean time of a request with a usual number beside it, in milliseconds at speed 1. */
export function usualMilliseconds({ isEngine, slots, spellShare }: LabService): number {
  if (!isEngine) {
    const mean = PLAIN_MILLISECONDS * Math.exp(PLAIN_SIGMA ** 2 / 2);
    return mean * (1 + spellShare * (SPELL_FACTOR - 1));
  }
  const { meanEvents, millisecondsPerToken, eventMillisecondsPerRequest } = ENGINE_LAW;
  const pause = ENGINE_PAUSE_MILLISECONDS + slots * eventMillisecondsPerRequest;
  const first = ENGINE_BASE_MILLISECONDS + ENGINE_TOKENS * millisecondsPerToken;
  return first + (meanEvents - 1) * pause;
}

/** One runner at work. */
export class UnevenRunner {
  private running = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly service: LabService,
    private readonly runner: LabRunner,
  ) {}

  /** Takes a request. */
  take(listener: LabListener): void {
    const sentAt = this.clock.now;
    const fault = this.drawnFault();
    if (fault === 'shed') {
      this.clock.schedule(WAY_MILLISECONDS, () => listener.onEnd({ tag: 'Refused' }));
    } else if (fault === 'mute') {
      this.clock.schedule(PLAIN_MILLISECONDS, () => listener.onHeard());
    } else if (fault !== 'hang') {
      this.queue(() => {
        if (listener.isOpen()) {
          this.work(sentAt, fault, listener);
        } else {
          this.leave();
        }
      });
    }
  }

  private drawnFault(): FaultKind | undefined {
    const { fault } = this.runner;
    const { now } = this.clock;
    const isOn = fault !== undefined && now >= fault.from && now < fault.until;
    return isOn && this.random.uniform() < fault.share ? fault.kind : undefined;
  }

  private queue(start: () => void): void {
    if (this.running < this.service.slots) {
      this.running += 1;
      start();
    } else {
      this.waiting.push(start);
    }
  }

  private leave(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.running -= 1;
    } else {
      next();
    }
  }

  private work(sentAt: number, fault: FaultKind | undefined, listener: LabListener): void {
    const factor = this.runner.speed * (fault === 'slow' ? SLOW_FACTOR : 1) * this.spell();
    const { first, pause } = this.service.isEngine ? this.engineTimes() : this.plainTimes();
    const events = this.service.isEngine ? ENGINE_LAW.meanEvents : 1;
    const whole = (first + pause * (events - 1)) * factor;
    const firstMilliseconds = this.clock.now - sentAt + first * factor + 2 * WAY_MILLISECONDS;
    if (fault === 'reset') {
      this.clock.schedule(whole / 2, () => this.end(listener, { tag: 'Lost' }));
      return;
    }
    this.clock.schedule(first * factor, () => listener.onHeard());
    const end = { tag: 'Whole', firstMilliseconds, pauseMilliseconds: pause * factor } as const;
    this.clock.schedule(whole + 2 * WAY_MILLISECONDS, () => this.end(listener, end));
  }

  private end(listener: LabListener, end: LabEnd): void {
    this.leave();
    listener.onEnd(end);
  }

  private spell(): number {
    return this.random.uniform() < this.service.spellShare ? SPELL_FACTOR : 1;
  }

  private plainTimes(): { first: number; pause: number } {
    return { first: this.random.logNormal(PLAIN_MILLISECONDS, PLAIN_SIGMA), pause: 0 };
  }

  private engineTimes(): { first: number; pause: number } {
    const noise = this.random.logNormal(1, 0.1);
    const reading = ENGINE_TOKENS * ENGINE_LAW.millisecondsPerToken;
    const slowed = this.running * ENGINE_LAW.eventMillisecondsPerRequest;
    return {
      first: (ENGINE_BASE_MILLISECONDS + reading) * noise,
      pause: (ENGINE_PAUSE_MILLISECONDS + slowed) * noise,
    };
  }
}
