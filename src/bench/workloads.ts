/** Generates the programs of each group's workload. */
import type { CallClass } from '../model/call.js';
import type { RandomSource } from '../runtime/random.js';
import type { ProgramScript, ProgramStep } from './program-script.js';

/** Names of the services that a group's programs call. */
export interface WorkloadServices {
  readonly model: string;
  readonly tool: string;
}

/** Generates one program of a kind. */
export type ScriptMaker = (name: string, random: RandomSource) => ProgramScript;

/** A kind of program, with its fraction of the group's arrivals. */
export interface WorkloadKind {
  readonly weight: number;
  readonly make: ScriptMaker;
}

interface ChatShape {
  readonly pauseMedian: number;
  readonly pauseSigma: number;
  readonly inputMedian: number;
  readonly outputMedian: number;
}

const MAXIMUM_PAUSE_MILLISECONDS = 60_000;

function clamp(value: number, low: number, high: number): number {
  return Math.round(Math.min(high, Math.max(low, value)));
}

function chatStep(random: RandomSource, service: string, shape: ChatShape): ProgramStep {
  const pause = random.logNormal(shape.pauseMedian, shape.pauseSigma);
  return {
    pauseMilliseconds: clamp(pause, 20, MAXIMUM_PAUSE_MILLISECONDS),
    service,
    kind: 'chat',
    inputTokens: clamp(random.logNormal(shape.inputMedian, 0.6), 10, 6_000),
    outputTokens: clamp(random.logNormal(shape.outputMedian, 0.5), 8, 800),
    repeatable: true,
    children: [],
  };
}

function toolStep(service: string, pauseMilliseconds: number, repeatable: boolean): ProgramStep {
  return {
    pauseMilliseconds,
    service,
    kind: 'tool',
    inputTokens: 40,
    outputTokens: 16,
    repeatable,
    children: [],
  };
}

function repeat(count: number, make: (index: number) => ProgramStep): ProgramStep[] {
  return Array.from({ length: count }, (_, index) => make(index));
}

/** Programs of Brandvold: quoting agents, design sessions and single tool calls. */
export function brandvoldKinds(services: WorkloadServices): WorkloadKind[] {
  const group = 'brandvold';
  const quote: ScriptMaker = (name, random) => {
    const shape = { pauseMedian: 700, pauseSigma: 0.7, inputMedian: 180, outputMedian: 90 };
    const turns = clamp(random.logNormal(6, 0.6), 3, 24);
    const steps = repeat(turns, () => chatStep(random, services.model, shape));
    steps.push(toolStep(services.tool, 50, true));
    if (random.uniform() < 0.3) {
      // Posts the order, which must not be repeated.
      steps.push(toolStep(services.tool, 200, false));
    }
    const instructions = { name: `catalog-${random.integer(1, 4)}`, tokens: 1_800 };
    return { name, kind: 'quote', group, callClass: 'interactive', instructions, steps };
  };
  const design: ScriptMaker = (name, random) => {
    const shape = { pauseMedian: 5_000, pauseSigma: 0.7, inputMedian: 260, outputMedian: 180 };
    const turns = clamp(random.logNormal(12, 0.5), 6, 40);
    const steps = repeat(turns, () => chatStep(random, services.model, shape));
    const instructions = { name: `codes-${random.integer(1, 2)}`, tokens: 3_000 };
    return { name, kind: 'design', group, callClass: 'interactive', instructions, steps };
  };
  const plain: ScriptMaker = (name) => {
    const steps = [toolStep(services.tool, 0, true)];
    const instructions = { name: 'none', tokens: 0 };
    return { name, kind: 'plain', group, callClass: 'interactive', instructions, steps };
  };
  return [
    { weight: 0.5, make: quote },
    { weight: 0.2, make: design },
    { weight: 0.3, make: plain },
  ];
}

/** Programs of Teranga Trace: long triage with sub-agents, urgent alerts and batch routines. */
export function terangaKinds(services: WorkloadServices): WorkloadKind[] {
  const group = 'teranga';
  const child = (name: string, random: RandomSource, callClass: CallClass): ProgramScript => {
    const shape = { pauseMedian: 400, pauseSigma: 0.6, inputMedian: 400, outputMedian: 100 };
    const steps = repeat(random.integer(2, 4), () => chatStep(random, services.model, shape));
    const instructions = { name: 'grouper', tokens: 900 };
    return { name, kind: 'sub-agent', group, callClass, instructions, steps };
  };
  const triage: ScriptMaker = (name, random) => {
    const shape = { pauseMedian: 3_000, pauseSigma: 0.9, inputMedian: 420, outputMedian: 120 };
    const turns = clamp(random.logNormal(14, 0.7), 5, 60);
    const steps = repeat(turns, (index) => {
      const step = chatStep(random, services.model, shape);
      if (random.uniform() > 0.08) {
        return step;
      }
      const children = Array.from({ length: random.integer(2, 3) }, (_, number) =>
        child(`${name}/s${index}-${number}`, random, 'interactive'),
      );
      return { ...step, children };
    });
    const instructions = { name: `triage-${random.integer(1, 3)}`, tokens: 2_200 };
    return { name, kind: 'triage', group, callClass: 'interactive', instructions, steps };
  };
  const alert: ScriptMaker = (name, random) => {
    const shape = { pauseMedian: 100, pauseSigma: 0.3, inputMedian: 500, outputMedian: 60 };
    const steps = repeat(2, () => chatStep(random, services.model, shape));
    steps.push(toolStep(services.tool, 20, false));
    const instructions = { name: 'alert', tokens: 700 };
    return { name, kind: 'alert', group, callClass: 'urgent', instructions, steps };
  };
  const routine: ScriptMaker = (name, random) => {
    const shape = { pauseMedian: 800, pauseSigma: 0.6, inputMedian: 600, outputMedian: 120 };
    const steps = repeat(random.integer(3, 6), () => chatStep(random, services.model, shape));
    const instructions = { name: 'routine', tokens: 1_000 };
    return { name, kind: 'routine', group, callClass: 'batch', instructions, steps };
  };
  return [
    { weight: 0.45, make: triage },
    { weight: 0.15, make: alert },
    { weight: 0.4, make: routine },
  ];
}

/** Picks a kind by weight and generates a program. */
export function makeScript(
  kinds: readonly WorkloadKind[],
  name: string,
  random: RandomSource,
): ProgramScript {
  const total = kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let draw = random.uniform() * total;
  for (const kind of kinds) {
    draw -= kind.weight;
    if (draw < 0) {
      return kind.make(name, random);
    }
  }
  return kinds[kinds.length - 1]!.make(name, random);
}
