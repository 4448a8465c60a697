/** Scripts of a workload's programs, and their costs on an engine. */
import type { CallClass } from '../model/call.js';
import type { GroupName, ProgramId, ServiceName } from '../model/identifiers.js';

/** One call of a program, with the pause and the sub-agents before it. */
export interface ProgramStep {
  /** Pause between the previous answer and this call: work of a tool or a person. */
  readonly pauseMilliseconds: number;
  readonly service: ServiceName;
  readonly kind: 'chat' | 'tool';
  /** Length of the new message, or of the tool's input. */
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly repeatable: boolean;
  /** Sub-agents that run concurrently before this step's call. */
  readonly children: readonly ProgramScript[];
}

/** The steps of one program. */
export interface ProgramScript {
  readonly name: ProgramId;
  readonly kind: string;
  readonly group: GroupName;
  readonly callClass: CallClass;
  /** System prompt that programs share by its name; the text is derived from the name. */
  readonly instructions: { readonly name: string; readonly tokens: number };
  readonly steps: readonly ProgramStep[];
}

/** Engine time per prompt token and per generated token, at a typical batch size. */
export interface UnitCosts {
  readonly prefillMilliseconds: number;
  readonly decodeMilliseconds: number;
}

/** Tokens that a message has beside its text. */
const MESSAGE_OVERHEAD_TOKENS = 4;

/** Engine time of one step when all earlier messages are cached, in milliseconds. */
function stepCost(step: ProgramStep, costs: UnitCosts): number {
  if (step.kind === 'tool') {
    return 0;
  }
  const newTokens = step.inputTokens + 2 * MESSAGE_OVERHEAD_TOKENS;
  return newTokens * costs.prefillMilliseconds + step.outputTokens * costs.decodeMilliseconds;
}

/** Engine time of a program from a step on, sub-agents included, in milliseconds. */
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

/** Engine time of a program when each token is computed once, in milliseconds. */
export function programCost(script: ProgramScript, costs: UnitCosts): number {
  const instructions = script.instructions.tokens * costs.prefillMilliseconds;
  return instructions + remainingCost(script, 0, costs);
}

/**
 * Memory use of a program whose prompt stays cached through every pause, in token-milliseconds,
 * sub-agents included. A generated token takes `tokenMilliseconds`.
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

/** Counts the calls of a program, sub-agents included. */
export function countCalls(script: ProgramScript): number {
  return script.steps.reduce(
    (sum, step) => sum + 1 + step.children.reduce((inner, child) => inner + countCalls(child), 0),
    0,
  );
}
