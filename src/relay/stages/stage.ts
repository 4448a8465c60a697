/**
 * What a request passes between the door and its first try. A stage decides by itself, with no regard to the
 * others: go on, wait until something comes, or refuse. The table of them stands in `call-stages.ts`.
 */
import type { LocalAnswer } from '../answers/local-answers.js';
import type { RequestState } from './request-state.js';

/** The end of a stage. */
export type StageOutcome =
  { readonly tag: 'GoOn' } | { readonly tag: 'Refuse'; readonly answer: LocalAnswer };

/** What a stage decides of a request. */
export type StageDecision =
  | StageOutcome
  /** `begin` starts what is waited for; it resumes once, and does nothing more once the request is over. */
  | { readonly tag: 'Wait'; readonly begin: (resume: (outcome: StageOutcome) => void) => void };

/** One stage. */
export interface RequestStage {
  /** Stands in logs and metrics. */
  readonly name: string;
  readonly decide: (requestState: RequestState) => StageDecision;
}

/** Lets a request go on. */
export const GO_ON: StageOutcome = { tag: 'GoOn' };

/** Refuses a request. */
export function refuseWith(answer: LocalAnswer): StageOutcome {
  return { tag: 'Refuse', answer };
}

/** A request that was refused, and by which stage. */
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
      decision.begin((outcome) => this.completeStage(stage, outcome));
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
 * Passes a request through steps of stages: those of one step begin together, and all must let it go on before
 * the next step. Calls back once, unless the request is over before.
 */
export function runStages(
  steps: readonly (readonly RequestStage[])[],
  requestState: RequestState,
  done: (refusal: StageRefusal | undefined) => void,
): void {
  new StagePipeline(steps, requestState, done).startNextStep();
}
