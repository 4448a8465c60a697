/**
 * What a request passes between the door and its first try. A stage decides by itself, with no regard to the
 * others: go on, wait until something comes, or refuse. The table of them stands in `call-stages.ts`.
 */
import type { OwnAnswer } from '../answers/own-answers.js';
import type { Passage } from './passage.js';

/** The end of a stage. */
export type StageEnd =
  { readonly tag: 'GoOn' } | { readonly tag: 'Refuse'; readonly answer: OwnAnswer };

/** What a stage decides of a request. */
export type StageDecision =
  | StageEnd
  /** `begin` starts what is waited for; it resumes once, and does nothing more once the request is over. */
  | { readonly tag: 'Wait'; readonly begin: (resume: (end: StageEnd) => void) => void };

/** One stage. */
export interface RequestStage {
  /** Stands in logs and metrics. */
  readonly name: string;
  readonly decide: (passage: Passage) => StageDecision;
}

/** Lets a request go on. */
export const GO_ON: StageEnd = { tag: 'GoOn' };

/** Refuses a request. */
export function refuseWith(answer: OwnAnswer): StageEnd {
  return { tag: 'Refuse', answer };
}

/** A request that was refused, and by which stage. */
export interface StageRefusal {
  readonly stage: string;
  readonly answer: OwnAnswer;
}

class StageRun {
  private step = -1;
  private open = 0;
  private over = false;

  constructor(
    private readonly steps: readonly (readonly RequestStage[])[],
    private readonly passage: Passage,
    private readonly done: (refusal: StageRefusal | undefined) => void,
  ) {}

  nextStep(): void {
    this.step += 1;
    const stages = this.steps[this.step];
    if (stages === undefined) {
      this.finish(undefined);
      return;
    }
    this.open = stages.length;
    for (const stage of stages) {
      if (!this.over) {
        this.begin(stage);
      }
    }
  }

  private begin(stage: RequestStage): void {
    const decision = stage.decide(this.passage);
    if (decision.tag === 'Wait') {
      decision.begin((end) => this.end(stage, end));
    } else {
      this.end(stage, decision);
    }
  }

  private end(stage: RequestStage, end: StageEnd): void {
    if (this.over || this.passage.isOver) {
      return;
    }
    if (end.tag === 'Refuse') {
      this.finish({ stage: stage.name, answer: end.answer });
      return;
    }
    this.open -= 1;
    if (this.open === 0) {
      this.nextStep();
    }
  }

  private finish(refusal: StageRefusal | undefined): void {
    this.over = true;
    this.done(refusal);
  }
}

/**
 * Passes a request through steps of stages: those of one step begin together, and all must let it go on before
 * the next step. Calls back once, unless the request is over before.
 */
export function passStages(
  steps: readonly (readonly RequestStage[])[],
  passage: Passage,
  done: (refusal: StageRefusal | undefined) => void,
): void {
  new StageRun(steps, passage, done).nextStep();
}
