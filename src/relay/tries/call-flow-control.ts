/**
 * Pauses reading from a call's runner while the call's client applies backpressure. During a pause the runner is not
 * monitored for inactivity, and the timing of a call that was ever paused is not used for estimates, since the
 * client caused the delay.
 */
import type { Runtime } from '../../runtime/runtime.js';
import type { AnswerSource } from '../answers/client-answer.js';
import type { Attempt } from './attempt.js';
import type { InactivityMonitor } from './inactivity-monitor.js';

/** The call whose runner is paused and resumed. */
export interface FlowControlledCall {
  /** Whether the runner is read at full speed even if the client does not keep up. */
  readonly ignoresBackpressure: boolean;
  /** Returns the attempt in progress. */
  current(): { readonly attempt: Attempt; readonly inactivity: InactivityMonitor } | undefined;
  /** Ends the call because its client does not read. */
  end(reason: string): void;
}

/** Flow control between a call's client and the runner of its current attempt. */
export class CallFlowControl implements AnswerSource {
  private pausedAt: number | undefined;
  private pastPauses = 0;
  private everPaused = false;

  constructor(
    private readonly runtime: Runtime,
    private readonly call: FlowControlledCall,
  ) {}

  get ignoresBackpressure(): boolean {
    return this.call.ignoresBackpressure;
  }

  /** Whether reading was ever paused; the call's timing then says nothing about the runner. */
  get wasPaused(): boolean {
    return this.everPaused;
  }

  /** Total time of all pauses so far, in milliseconds. */
  get pausedMilliseconds(): number {
    return this.pastPauses + (this.pausedAt === undefined ? 0 : this.runtime.now() - this.pausedAt);
  }

  pause(): void {
    this.everPaused = true;
    this.pausedAt ??= this.runtime.now();
    const current = this.call.current();
    current?.attempt.pause();
    current?.inactivity.pause();
  }

  resume(): void {
    this.noteNewAttempt();
    const current = this.call.current();
    current?.inactivity.resume();
    current?.attempt.resume();
  }

  end(reason: string): void {
    this.call.end(reason);
  }

  /** Ends a pause of the previous attempt; a new attempt starts out being read. */
  noteNewAttempt(): void {
    this.pastPauses = this.pausedMilliseconds;
    this.pausedAt = undefined;
  }
}
