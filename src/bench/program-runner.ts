/** Runs the programs of a workload as their callers would. */
import type { CallError } from '../model/verdict.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ProgramScript, ProgramStep } from './program-script.js';

/** A call of a program. */
export interface CallerCall {
  readonly script: ProgramScript;
  readonly step: ProgramStep;
  /** Position in the program, from 1. */
  readonly sequence: number;
  /** Text of the new message, or the tool's input. */
  readonly input: string;
  /** System prompt, sent with the first call of a program; empty for the others. */
  readonly instructions: string;
}

/** Result of a call. */
export type CallerResult =
  | { readonly type: 'answered'; readonly text: string; readonly cachedTokens: number }
  | { readonly type: 'failed'; readonly error: CallError };

/** Sends calls to the system under test. */
export interface CallerPort {
  call(call: CallerCall, done: (result: CallerResult) => void): void;
  endProgram(script: ProgramScript): void;
}

/** Timing and result of a program. */
export interface ProgramOutcome {
  readonly script: ProgramScript;
  /** Monotonic time in milliseconds, as is `endedAt`. */
  readonly startedAt: number;
  readonly endedAt: number;
  readonly failed: boolean;
  /** Number of failed attempts, sub-agents included. */
  readonly refusals: number;
}

/** Attempts of one call after which its program fails. */
const MAXIMUM_ATTEMPTS = 20;
const FILLER_TEXT = 'wind rated sash unit ';

/** Creates a text of a number of tokens, unique by its label, that requests an answer's length. */
export function makeText(label: string, tokens: number, outputTokens: number): string {
  const characters = Math.max(8, tokens * 4);
  const filler = FILLER_TEXT.repeat(Math.ceil(characters / FILLER_TEXT.length));
  const marker = ` #${outputTokens}`;
  return `${label} ${filler}`.slice(0, Math.max(label.length, characters - marker.length)) + marker;
}

/** The program to run, and callbacks for its progress. */
export interface ProgramRunnerOptions {
  readonly runtime: Runtime;
  readonly port: CallerPort;
  readonly script: ProgramScript;
  readonly onStep?: (script: ProgramScript, nextStep: number) => void;
  readonly onCall?: (call: CallerCall, durationMilliseconds: number) => void;
  readonly done: (outcome: ProgramOutcome) => void;
}

/** Runs one program with its pauses, sub-agents and retries. */
export class ProgramRunner {
  private startedAt = 0;
  private refusals = 0;

  constructor(private readonly options: ProgramRunnerOptions) {}

  /** Starts the program's first step. */
  start(): void {
    this.startedAt = this.options.runtime.now();
    this.runStep(0);
  }

  private runStep(index: number): void {
    const { script, runtime, onStep } = this.options;
    const step = script.steps[index];
    onStep?.(script, index);
    if (step === undefined) {
      this.finish(false);
      return;
    }
    const pause = index === 0 ? 0 : step.pauseMilliseconds;
    runtime.setTimer(pause, () => {
      this.runChildren(step, () => this.makeCall(index, step, 1));
    });
  }

  private runChildren(step: ProgramStep, done: () => void): void {
    let remaining = step.children.length;
    if (remaining === 0) {
      done();
      return;
    }
    for (const script of step.children) {
      const child = new ProgramRunner({
        ...this.options,
        script,
        done: (outcome) => {
          this.refusals += outcome.refusals;
          remaining -= 1;
          if (remaining === 0) {
            done();
          }
        },
      });
      child.start();
    }
  }

  private makeCall(index: number, step: ProgramStep, attempt: number): void {
    const { script, port, runtime, onCall } = this.options;
    const sequence = index + 1;
    const label = `${script.name}:${sequence}`;
    const call: CallerCall = {
      script,
      step,
      sequence,
      input: makeText(label, step.inputTokens, step.outputTokens),
      instructions:
        index === 0 && script.instructions.tokens > 0
          ? makeText(script.instructions.name, script.instructions.tokens, 0)
          : '',
    };
    const sentAt = runtime.now();
    port.call(call, (result) => {
      if (result.type === 'answered') {
        onCall?.(call, runtime.now() - sentAt);
        this.runStep(index + 1);
      } else {
        this.handleFailure(index, step, attempt, result.error);
      }
    });
  }

  private handleFailure(index: number, step: ProgramStep, attempt: number, error: CallError): void {
    this.refusals += 1;
    const isRetryable = error.verdict === 'NotRun' || step.repeatable;
    const isFinal =
      error.tag === 'BudgetSpent' || error.tag === 'Stopped' || error.tag === 'Forbidden';
    if (attempt >= MAXIMUM_ATTEMPTS || !isRetryable || isFinal) {
      this.finish(true);
      return;
    }
    const pause = Math.max(0.2, error.retryAfterSeconds) * 1_000;
    this.options.runtime.setTimer(pause, () => this.makeCall(index, step, attempt + 1));
  }

  private finish(failed: boolean): void {
    const { script, runtime, port, done } = this.options;
    port.endProgram(script);
    const { startedAt, refusals } = this;
    done({ script, startedAt, endedAt: runtime.now(), failed, refusals });
  }
}
