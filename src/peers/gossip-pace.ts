/**
 * How often a gateway tells others of itself. One that has had nothing to tell for a while, and whose word nobody
 * passes on, tells half as often: the first request after that is known a tenth of a second later.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';

/** Time between two messages of a gateway with requests, in milliseconds. */
export const GOSSIP_PERIOD_MILLISECONDS = 100;
/** The same of a quiet one; shorter than reports are remembered, so that it goes on to be counted. */
const IDLE_PERIOD_MILLISECONDS = 200;
/** Time without anything of its own to tell after which a gateway is quiet, in milliseconds. */
const IDLE_AFTER_MILLISECONDS = 1_000;

/** What the pace is made with. */
export interface GossipPaceOptions {
  readonly runtime: Runtime;
  /** Whether others rely on this gateway's word at each period: it adds up, or is told of directly. */
  readonly needsFullRate: () => boolean;
  /** Tells; true when there was something of its own to tell. */
  readonly send: () => boolean;
}

/** See the head of this file. */
export class GossipPace {
  private cancelTimer: CancelTimer = () => undefined;
  /** Local time at which there last was something to tell, in milliseconds. */
  private lastBusyAt: number;
  private closed = false;

  constructor(private readonly options: GossipPaceOptions) {
    this.lastBusyAt = options.runtime.now();
    this.scheduleNext();
  }

  /** Tells no more. */
  close(): void {
    this.closed = true;
    this.cancelTimer();
  }

  private scheduleNext(): void {
    if (this.closed) {
      return;
    }
    const pause = this.isIdle ? IDLE_PERIOD_MILLISECONDS : GOSSIP_PERIOD_MILLISECONDS;
    this.cancelTimer = this.options.runtime.setTimer(pause, () => {
      try {
        this.lastBusyAt = this.options.send() ? this.options.runtime.now() : this.lastBusyAt;
      } finally {
        this.scheduleNext();
      }
    });
  }

  private get isIdle(): boolean {
    const { runtime, needsFullRate } = this.options;
    return runtime.now() - this.lastBusyAt > IDLE_AFTER_MILLISECONDS && !needsFullRate();
  }
}
