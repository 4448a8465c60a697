/** What a program of a workload will do, known to the bench alone: steps, pauses, sub-agents. */
import type { CallClass } from '../model/call.js';
import type { GroupName, ProgramId, ServiceName } from '../model/identifiers.js';

/** One step of a program. */
export interface ProgramStep {
  /** Milliseconds between the answer before and this call: a tool or a person at work. */
  readonly pauseMilliseconds: number;
  readonly service: ServiceName;
  readonly kind: 'chat' | 'tool';
  /** Tokens of the new message, or of the tool's input. */
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly repeatable: boolean;
  /** Sub-agents that run side by side before this step's call. */
  readonly children: readonly ProgramScript[];
}

/** One program. */
export interface ProgramScript {
  readonly name: ProgramId;
  readonly kind: string;
  readonly group: GroupName;
  readonly callClass: CallClass;
  /** Instructions that programs of one kind share, named so that their text can be made. */
  readonly instructions: { readonly name: string; readonly tokens: number };
  readonly steps: readonly ProgramStep[];
}

/** What a token costs an engine that works at a usual batch size, in milliseconds. */
export interface UnitCosts {
  readonly prefillMilliseconds: number;
  readonly decodeMilliseconds: number;
}

/** Tokens each kind of answer adds beside its text. */
const MESSAGE_OVERHEAD_TOKENS = 4;

/** Engine time one step needs when everything before it is cached. */
function stepCost(step: ProgramStep, costs: UnitCosts): number {
  if (step.kind === 'tool') {
    return 0;
  }
  const newTokens = step.inputTokens + 2 * MESSAGE_OVERHEAD_TOKENS;
  return newTokens * costs.prefillMilliseconds + step.outputTokens * costs.decodeMilliseconds;
}

/** Engine time a program needs from a step on, sub-agents included, all history cached. */
export function remainingCost(script: ProgramScript, fromStep: number, costs: UnitCosts): number {
  let total = 0;
  for (const step of script.steps.slice(fromStep)) {
    total += stepCost(step, costs);
    for (const child of step.children) {
      total += programCost(child, costs);
    }
  }
  return total;
}

/** Engine time a whole program needs when each token is computed once. */
export function programCost(script: ProgramScript, costs: UnitCosts): number {
  const instructions = script.instructions.tokens * costs.prefillMilliseconds;
  return instructions + remainingCost(script, 0, costs);
}

/**
 * Memory a program needs over its life when it is kept through every pause, in token-milliseconds,
 * sub-agents included; each generated token is counted with the time it takes at a usual batch.
 */
export function programMemory(script: ProgramScript, tokenMilliseconds: number): number {
  let context = script.instructions.tokens;
  let total = 0;
  for (const step of script.steps) {
    if (step.kind === 'chat') {
      const children = step.children.map((child) => programMemory(child, tokenMilliseconds));
      total += children.reduce((sum, memory) => sum + memory, 0);
      total += context * step.pauseMilliseconds;
      context += step.inputTokens + step.outputTokens + 2 * MESSAGE_OVERHEAD_TOKENS;
      total += context * step.outputTokens * tokenMilliseconds;
    }
  }
  return total;
}

/** Number of calls of a program, sub-agents included. */
export function countCalls(script: ProgramScript): number {
  return script.steps.reduce(
    (sum, step) => sum + 1 + step.children.reduce((inner, child) => inner + countCalls(child), 0),
    0,
  );
}
