/** Admission policies that the simulation compares. */
import { ProgramAdmission } from '../../src/relay/admission/program-admission.js';
import { demandAhead } from '../../src/relay/admission/demand-ahead.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { ProgramStats } from '../../src/relay/admission/program-stats.js';
import type { SimulatedAdmission, SimulatedLoad, SimulatedTurn } from './contention-scenario.js';
import { LATE_RANKS_AT_RUNNERS } from './contention-simulation.js';
import { TURN_MILLISECONDS } from './contention-programs.js';

/**
 * A limit on the requests in flight per slot, which each gateway adjusts when turns of late
 * programs arrive; refused clients retry after 150 ms.
 */
export function fixedGatewayLimit(): SimulatedAdmission {
  const admittedPrograms = new Set<string>();
  let limit = 0.7;
  return (turn, load) => {
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
}

/** The admission control of the gateway. */
export function predictedWaitAdmission(random: RandomSource): SimulatedAdmission {
  const admission = new ProgramAdmission(random);
  const kindStats = new ProgramStats();
  return (turn: SimulatedTurn, load: SimulatedLoad) => {
    const {
      program,
      kind,
      programRemainingMilliseconds,
      requestRemainingMilliseconds,
      isSubAgent,
    } = turn;
    const rank = kind.rank + (programRemainingMilliseconds <= 0 ? LATE_RANKS_AT_RUNNERS : 0);
    const demandByRank = {
      inFlight: load.inFlight,
      lessUrgent: load.countLessUrgent(rank),
      sameRank: load.countLessUrgent(rank - 1) - load.countLessUrgent(rank),
      lateSameRank: load.countLessUrgent(rank + 2) - load.countLessUrgent(rank + 3),
    };
    const isNew = !admission.isAdmitted(program);
    const decision = admission.decide({
      program,
      hasRunBefore: () =>
        programRemainingMilliseconds <= 0 || kindStats.isSubAgent(kind.name, isSubAgent ? 3 : 2),
      inputs: () => ({
        ...demandAhead(demandByRank),
        slots: load.slots,
        turnMilliseconds: TURN_MILLISECONDS,
        turns: kindStats.expectedTurns(kind.name),
        programRemainingMilliseconds,
        requestRemainingMilliseconds,
      }),
    });
    if (decision.retryDelayMilliseconds === undefined) {
      kindStats.recordTurn(kind.name, isNew);
      if (isNew && decision.cause !== 'shown') {
        kindStats.recordFirstTurn(kind.name, isSubAgent ? 3 : 2);
      }
    }
    return decision.retryDelayMilliseconds;
  };
}
