/**
 * Decides how often a gateway sends load messages. A gateway that has been idle for a while, and
 * whose messages no other gateway depends on, sends at half the rate; its first request after that
 * may be reported up to one period later.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';

/** Time between two messages of a busy gateway, in milliseconds. */
export const GOSSIP_PERIOD_MILLISECONDS = 100;
/**
 * Time between two messages of an idle gateway, in milliseconds. Shorter than the time for which
 * aggregators keep a report, so that the gateway stays in the sums.
 */
const IDLE_PERIOD_MILLISECONDS = 200;
/** Time without anything to report after which a gateway is idle, in milliseconds. */
const IDLE_AFTER_MILLISECONDS = 1_000;

export interface GossipPaceOptions {
  readonly runtime: Runtime;
  /**
   * Whether other gateways need a message each period: this gateway aggregates, or reports directly
   * to its peers.
   */
  readonly needsFullRate: () => boolean;
  /** Sends a round of messages; returns whether there was anything to report. */
  readonly send: () => boolean;
}

/** Schedules the rounds of load messages. */
export class GossipPace {
  private cancelTimer: CancelTimer = () => undefined;
  /** Local time of the last round with something to report, in milliseconds. */
  private lastBusyAt: number;
  private closed = false;

  constructor(private readonly options: GossipPaceOptions) {
    this.lastBusyAt = options.runtime.now();
    this.scheduleNext();
  }

  /** Stops sending. */
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
