/**
 * Reading of one call's runner, which stops while the call's client is behind. What the runner seems to be like
 * meanwhile is the client's doing: its silence is not watched, and its times teach nothing.
 */
import type { Runtime } from '../../runtime/runtime.js';
import type { AnswerSource } from '../answers/client-answer.js';
import type { Attempt } from './attempt.js';
import type { SilenceWatch } from './silence-watch.js';
import type { TryReport } from './try-report.js';

/** A try whose runner is read. */
export interface ReadTry {
  readonly attempt: Pick<Attempt, 'pause' | 'resume'>;
  readonly silence: Pick<SilenceWatch, 'pause' | 'resume'>;
  readonly report: TryReport;
}

/** What the reading needs of its call. */
export interface ReadCall {
  /** Whether the runner is read on whatever the client takes. */
  readonly readsOn: boolean;
  /** The try under way. */
  current(): ReadTry | undefined;
  /** Ends the call, since its client takes nothing. */
  end(reason: string): void;
}

/** See the head of this file. */
export class CallReading implements AnswerSource {
  private since: number | undefined;
  private ended = 0;
  private stopped = false;

  constructor(
    private readonly runtime: Pick<Runtime, 'now'>,
    private readonly call: ReadCall,
  ) {}

  get readsOn(): boolean {
    return this.call.readsOn;
  }

  /** Whether reading ever stopped: times of the runner then say nothing of it. */
  get wasStopped(): boolean {
    return this.stopped;
  }

  /** All pauses so far, in milliseconds. */
  get pausedMilliseconds(): number {
    return this.ended + (this.since === undefined ? 0 : this.runtime.now() - this.since);
  }

  hold(): void {
    this.stopped = true;
    this.since ??= this.runtime.now();
    const current = this.call.current();
    current?.attempt.pause();
    current?.silence.pause();
    current?.report.pause();
  }

  release(): void {
    this.noteNewTry();
    const current = this.call.current();
    current?.silence.resume();
    current?.report.resume();
    current?.attempt.resume();
  }

  end(reason: string): void {
    this.call.end(reason);
  }

  /** A try that begins is read. */
  noteNewTry(): void {
    this.ended = this.pausedMilliseconds;
    this.since = undefined;
  }
}
