/**
 * Reports once what a try showed of its runner: how it ended, or that nothing came for far longer than is
 * usual. A request that hangs is told while it hangs, since others are being sent there meanwhile.
 */
import type { CancelTimer } from '../../runtime/runtime.js';
import type { RelayContext } from '../relay-context.js';
import type { RunnerRecord } from '../runners/runner-book.js';
import type { SilenceEstimate } from '../runners/silence-estimate.js';
import type { TryOutcome } from '../runners/try-outcome.js';

/** Unusual silences after which a try counts as silent: one may be chance, three in a row are not. */
const SILENT_FACTOR = 3;
/** Wait until the next look while nothing is known of the kind of request, in milliseconds. */
const UNKNOWN_WAIT_MILLISECONDS = 1_000;
/** Shortest wait until the next look, in milliseconds: a fraction of one would never pass. */
const LEAST_WAIT_MILLISECONDS = 1;

/** See the head of this file. */
export class TryReport {
  private readonly sentAt: number;
  private heardAt: number;
  private told = false;
  private over = false;
  private paused = false;
  /** Longest time without a byte so far, in milliseconds. */
  private longestSilence = 0;
  private readonly usual: SilenceEstimate;
  private cancelTimer: CancelTimer = () => undefined;

  constructor(
    private readonly context: Pick<RelayContext, 'runtime' | 'book'>,
    private readonly record: RunnerRecord,
    /** Kind of the request: what is quiet for one may be usual for another. */
    kind: string,
  ) {
    this.usual = record.silence.ofKind(kind);
    this.sentAt = context.runtime.now();
    this.heardAt = this.sentAt;
    this.look();
  }

  /** Notes a byte of this try's answer. */
  noteHeard(): void {
    const now = this.context.runtime.now();
    if (!this.paused) {
      this.longestSilence = Math.max(this.longestSilence, now - this.heardAt);
    }
    this.heardAt = now;
  }

  /** The runner is not read for a while, or has said all: what is waited for now is not its doing. */
  pause(): void {
    this.cancelTimer();
    this.noteHeard();
    this.paused = true;
  }

  /** The runner is read again; its silence counts from now on. */
  resume(): void {
    if (this.paused && !this.over) {
      this.noteHeard();
      this.paused = false;
      this.look();
    }
  }

  /** Tells how the try ended, unless it was told to be silent before. */
  end(outcome: TryOutcome): void {
    this.pause();
    this.over = true;
    if (outcome === 'Answered') {
      this.usual.take(this.longestSilence);
    }
    this.tell(outcome);
  }

  /** The try is over and showed nothing more. */
  stop(): void {
    this.over = true;
    this.cancelTimer();
  }

  private lookAfter(milliseconds: number): void {
    this.cancelTimer = this.context.runtime.setTimer(milliseconds, () => this.look());
  }

  private look(): void {
    const unusual = this.usual.learnedMilliseconds;
    if (unusual === undefined) {
      this.lookAfter(UNKNOWN_WAIT_MILLISECONDS);
      return;
    }
    const left = unusual * SILENT_FACTOR - (this.context.runtime.now() - this.heardAt);
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
