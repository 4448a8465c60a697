/** Admission policies that the simulation compares. */
import { ProgramAdmission } from '../../src/relay/admission/program-admission.js';
import { demandAhead } from '../../src/relay/admission/demand-ahead.js';
import type { DemandAhead } from '../../src/relay/admission/demand-ahead.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { ProgramStats } from '../../src/relay/admission/program-stats.js';
import { LoadCorrection } from '../../src/relay/admission/load-correction.js';
import { predictWait, waitAtRunner } from '../../src/relay/admission/predicted-wait.js';
import type { AdmissionInputs } from '../../src/relay/admission/predicted-wait.js';
import type { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type {
  DecideAdmission,
  ExpectWait,
  SimulatedAdmission,
  SimulatedLoad,
  SimulatedTurn,
} from './contention-scenario.js';
import { LATE_RANKS_AT_RUNNERS } from './contention-simulation.js';
import { TURN_MILLISECONDS } from './contention-programs.js';

/**
 * A limit on the requests in flight per slot, which each gateway adjusts when turns of late
 * programs arrive; refused clients retry after 150 ms.
 */
export function fixedGatewayLimit(): SimulatedAdmission {
  const admittedPrograms = new Set<string>();
  let limit = 0.7;
  const decide: DecideAdmission = (turn, load) => {
    if (admittedPrograms.has(turn.program)) {
      const step = turn.programRemainingMilliseconds <= 0 ? -0.015 : 0.002;
      limit = Math.min(1.2, Math.max(0.5, limit + step));
      return undefined;
    }
    const margin = turn.kind.rank === 0 ? 0.4 : 0;
    if (load.inFlight >= load.slots * (limit + margin)) {
      return 150;
    }
    admittedPrograms.add(turn.program);
    return undefined;
  };
  return { decide };
}

const SERVICE = 'engines';

/** The admission control of the gateway. */
export function predictedWaitAdmission(
  random: RandomSource,
  clock: VirtualClock,
  loadAgeMilliseconds: number,
): SimulatedAdmission {
  const admission = new ProgramAdmission(random);
  const kindStats = new ProgramStats();
  const loadCorrection = new LoadCorrection({ now: () => clock.now });
  const inputsOf = (turn: SimulatedTurn, load: SimulatedLoad): AdmissionInputs & DemandAhead => {
    const { kind, programRemainingMilliseconds, requestRemainingMilliseconds } = turn;
    const rank = kind.rank + (programRemainingMilliseconds <= 0 ? LATE_RANKS_AT_RUNNERS : 0);
    const loadFactor = loadCorrection.factorOf(SERVICE);
    const lessUrgentThan = (limit: number): number => load.countLessUrgent(limit) * loadFactor;
    const demandByRank = {
      inFlight: load.inFlight * loadFactor,
      lessUrgent: lessUrgentThan(rank),
      sameRank: lessUrgentThan(rank - 1) - lessUrgentThan(rank),
      lateSameRank: lessUrgentThan(rank + 2) - lessUrgentThan(rank + 3),
    };
    return {
      ...demandAhead(demandByRank),
      slots: load.slots,
      turnMilliseconds: TURN_MILLISECONDS,
      turns: kindStats.expectedTurns(kind.name),
      programRemainingMilliseconds,
      requestRemainingMilliseconds,
    };
  };
  const decide: DecideAdmission = (turn, load) => {
    const { program, kind, programRemainingMilliseconds, isSubAgent } = turn;
    const isNew = !admission.isAdmitted(program);
    const decision = admission.decide({
      program,
      hasRunBefore: () =>
        programRemainingMilliseconds <= 0 || kindStats.isSubAgent(kind.name, isSubAgent ? 3 : 2),
      inputs: () => inputsOf(turn, load),
    });
    if (decision.retryDelayMilliseconds === undefined) {
      kindStats.recordTurn(kind.name, isNew);
      if (isNew && decision.cause !== 'shown') {
        kindStats.recordFirstTurn(kind.name, isSubAgent ? 3 : 2);
      }
    }
    return decision.retryDelayMilliseconds;
  };
  const expectWait: ExpectWait = (turn, load, { inFlight, slots }) => {
    const inputs = inputsOf(turn, load);
    const predictedMilliseconds = predictWait(inputs);
    const explainedMilliseconds = waitAtRunner(inFlight, slots, TURN_MILLISECONDS);
    return (observedMilliseconds) =>
      loadCorrection.observe(SERVICE, {
        predictedMilliseconds,
        explainedMilliseconds,
        observedMilliseconds,
        turnMilliseconds: TURN_MILLISECONDS,
        aheadShare: inputs.aheadShare,
        loadAgeMilliseconds,
      });
  };
  return { decide, expectWait };
}
