/**
 * Reports once what a try showed of its runner: how it ended, or that nothing came for far longer than is
 * usual. A request that hangs is told while it hangs, since others are being sent there meanwhile.
 */
import type { CancelTimer } from '../../runtime/runtime.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerRecord } from '../runners/runner-book.js';
import type { TryOutcome } from '../runners/try-outcome.js';

/** Unusual silences after which a try counts as silent: one may be chance, three in a row are not. */
const SILENT_FACTOR = 3;
/** Shortest wait until the next look, in milliseconds: a fraction of one would never pass. */
const LEAST_WAIT_MILLISECONDS = 1;

/** See the head of this file. */
export class TryReport {
  private readonly sentAt: number;
  private heardAt: number;
  private told = false;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(
    private readonly context: Pick<RelayContext, 'runtime' | 'book'>,
    private readonly record: RunnerRecord,
  ) {
    this.sentAt = context.runtime.now();
    this.heardAt = this.sentAt;
    this.lookAfter(this.limit);
  }

  /** Notes a byte of this try's answer. */
  noteHeard(): void {
    this.heardAt = this.context.runtime.now();
  }

  /** Tells how the try ended, unless it was told to be silent before. */
  end(outcome: TryOutcome): void {
    this.stop();
    this.tell(outcome);
  }

  /** The try is over and showed nothing more. */
  stop(): void {
    this.cancelTimer();
  }

  private get limit(): number {
    return this.record.silence.unusualMilliseconds * SILENT_FACTOR;
  }

  private lookAfter(milliseconds: number): void {
    this.cancelTimer = this.context.runtime.setTimer(milliseconds, () => this.look());
  }

  private look(): void {
    const left = this.limit - (this.context.runtime.now() - this.heardAt);
    if (left > 0) {
      this.lookAfter(Math.max(LEAST_WAIT_MILLISECONDS, left));
    } else {
      this.tell('Silent');
    }
  }

  private tell(outcome: TryOutcome): void {
    if (!this.told) {
      this.told = true;
      this.context.book.noteOutcome(this.record, outcome, this.sentAt);
    }
  }
}
