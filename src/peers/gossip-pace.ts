/**
 * How often a gateway tells others of itself. One that has had nothing to tell for a while, and whose word nobody
 * passes on, tells half as often: the first request after that is known a tenth of a second later.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';

/** Time between two messages of a gateway with requests, in milliseconds. */
export const PERIOD_MILLISECONDS = 100;
/** The same of a quiet one; shorter than reports are remembered, so that it goes on to be counted. */
const QUIET_PERIOD_MILLISECONDS = 200;
/** Time without anything of its own to tell after which a gateway is quiet, in milliseconds. */
const QUIET_AFTER_MILLISECONDS = 1_000;

/** What the pace is made with. */
export interface GossipPaceOptions {
  readonly runtime: Runtime;
  /** Whether others rely on this gateway's word at each period: it adds up, or is told of directly. */
  readonly isReliedOn: () => boolean;
  /** Tells; true when there was something of its own to tell. */
  readonly tell: () => boolean;
}

/** See the head of this file. */
export class GossipPace {
  private cancelTimer: CancelTimer = () => undefined;
  /** Local time at which there last was something to tell, in milliseconds. */
  private busyAt: number;
  private closed = false;

  constructor(private readonly options: GossipPaceOptions) {
    this.busyAt = options.runtime.now();
    this.tellLater();
  }

  /** Tells no more. */
  close(): void {
    this.closed = true;
    this.cancelTimer();
  }

  private tellLater(): void {
    if (this.closed) {
      return;
    }
    const pause = this.isQuiet ? QUIET_PERIOD_MILLISECONDS : PERIOD_MILLISECONDS;
    this.cancelTimer = this.options.runtime.setTimer(pause, () => {
      try {
        this.busyAt = this.options.tell() ? this.options.runtime.now() : this.busyAt;
      } finally {
        this.tellLater();
      }
    });
  }

  private get isQuiet(): boolean {
    const { runtime, isReliedOn } = this.options;
    return runtime.now() - this.busyAt > QUIET_AFTER_MILLISECONDS && !isReliedOn();
  }
}
