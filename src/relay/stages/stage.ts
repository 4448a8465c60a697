/**
 * Stages of a request between ingress and its first attempt. Each stage decides independently of
 * the others whether the request continues, waits or is refused. The stages are listed in
 * `call-stages.ts`.
 */
import type { LocalAnswer } from '../answers/local-answers.js';
import type { RequestState } from './request-state.js';

/** Final result of a stage. */
export type StageOutcome =
  { readonly tag: 'GoOn' } | { readonly tag: 'Refuse'; readonly answer: LocalAnswer };

/** Decision of a stage: a result, or an operation to wait for. */
export type StageDecision =
  | StageOutcome
  /**
   * `begin` starts the operation, which calls `resume` once; a result is ignored once the request
   * has finished.
   */
  | { readonly tag: 'Wait'; readonly begin: (resume: (outcome: StageOutcome) => void) => void };

/** A stage that every request passes. */
export interface RequestStage {
  /** Name in logs and metrics. */
  readonly name: string;
  readonly decide: (requestState: RequestState) => StageDecision;
}

/** Result that lets the request continue. */
export const GO_ON: StageOutcome = { tag: 'GoOn' };

/** Returns a result that refuses the request. */
export function refuseWith(answer: LocalAnswer): StageOutcome {
  return { tag: 'Refuse', answer };
}

/** A refusal, and the stage that it comes from. */
export interface StageRefusal {
  readonly stage: string;
  readonly answer: LocalAnswer;
}

class StagePipeline {
  private stepIndex = -1;
  private pendingStages = 0;
  private finished = false;

  constructor(
    private readonly steps: readonly (readonly RequestStage[])[],
    private readonly requestState: RequestState,
    private readonly done: (refusal: StageRefusal | undefined) => void,
    private readonly run: (work: () => void) => void,
  ) {}

  startNextStep(): void {
    this.stepIndex += 1;
    const stages = this.steps[this.stepIndex];
    if (stages === undefined) {
      this.finish(undefined);
      return;
    }
    this.pendingStages = stages.length;
    for (const stage of stages) {
      if (!this.finished) {
        this.startStage(stage);
      }
    }
  }

  private startStage(stage: RequestStage): void {
    const decision = stage.decide(this.requestState);
    if (decision.tag === 'Wait') {
      decision.begin((outcome) => this.run(() => this.completeStage(stage, outcome)));
    } else {
      this.completeStage(stage, decision);
    }
  }

  private completeStage(stage: RequestStage, outcome: StageOutcome): void {
    if (this.finished || this.requestState.isFinished) {
      return;
    }
    if (outcome.tag === 'Refuse') {
      this.finish({ stage: stage.name, answer: outcome.answer });
      return;
    }
    this.pendingStages -= 1;
    if (this.pendingStages === 0) {
      this.startNextStep();
    }
  }

  private finish(refusal: StageRefusal | undefined): void {
    this.finished = true;
    this.done(refusal);
  }
}

/**
 * Runs a request through steps of stages: those of one step start together, and all must let the
 * request continue before the next step starts. Calls back once, unless the request finishes
 * before.
 * @param run runs what follows the operations that stages wait for, to contain its exceptions
 */
export function runStages(
  steps: readonly (readonly RequestStage[])[],
  requestState: RequestState,
  done: (refusal: StageRefusal | undefined) => void,
  run: (work: () => void) => void = (work) => work(),
): void {
  new StagePipeline(steps, requestState, done, run).startNextStep();
}
