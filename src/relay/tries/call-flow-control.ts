/**
 * Reading of one call's runner, which stops while the call's client is behind. What the runner seems to be like
 * meanwhile is the client's doing: its silence is not watched, and its times teach nothing.
 */
import type { Runtime } from '../../runtime/runtime.js';
import type { AnswerSource } from '../answers/client-answer.js';
import type { Attempt } from './attempt.js';
import type { InactivityMonitor } from './inactivity-monitor.js';

/** What the reading needs of its call. */
export interface FlowControlledCall {
  /** Whether the runner is read on whatever the client takes. */
  readonly ignoresBackpressure: boolean;
  /** The try under way. */
  current(): { readonly attempt: Attempt; readonly inactivity: InactivityMonitor } | undefined;
  /** Ends the call, since its client takes nothing. */
  end(reason: string): void;
}

/** See the head of this file. */
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

  /** Whether reading ever stopped: times of the runner then say nothing of it. */
  get wasPaused(): boolean {
    return this.everPaused;
  }

  /** All pauses so far, in milliseconds. */
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

  /** A try that begins is read. */
  noteNewAttempt(): void {
    this.pastPauses = this.pausedMilliseconds;
    this.pausedAt = undefined;
  }
}
