/** Ways of admission that the laboratory compares. */
import { ProgramAdmission } from '../../src/relay/admission/program-admission.js';
import { demandAhead } from '../../src/relay/admission/outlook.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { ProgramShapes } from '../../src/relay/admission/program-shape.js';
import type { LabAdmission, LabLoad, LabTurn } from './contention-day.js';
import { LATE_RANKS_AT_RUNNERS } from './contention-lab.js';
import { TURN_MILLISECONDS } from './contention-programs.js';

/** One limit in requests a place, learned by each gateway from turns of late programs; 0.15 s of pause for all. */
export function limitOfOneGateway(): LabAdmission {
  const underWay = new Set<string>();
  let limit = 0.7;
  return (turn, load) => {
    if (underWay.has(turn.program)) {
      const step = turn.leftMilliseconds <= 0 ? -0.015 : 0.002;
      limit = Math.min(1.2, Math.max(0.5, limit + step));
      return undefined;
    }
    const margin = turn.kind.rank === 0 ? 0.4 : 0;
    if (load.inFlight >= load.slots * (limit + margin)) {
      return 150;
    }
    underWay.add(turn.program);
    return undefined;
  };
}

/** What decides in the gateway. */
export function predictedFinish(random: RandomSource): LabAdmission {
  const admission = new ProgramAdmission(random);
  const shapes = new ProgramShapes();
  return (turn: LabTurn, load: LabLoad) => {
    const { program, kind, leftMilliseconds, requestMilliseconds, isSubAgent } = turn;
    const rank = kind.rank + (leftMilliseconds <= 0 ? LATE_RANKS_AT_RUNNERS : 0);
    const ranked = {
      inFlight: load.inFlight,
      behind: load.behind(rank),
      equal: load.behind(rank - 1) - load.behind(rank),
      late: load.behind(rank + 2) - load.behind(rank + 3),
    };
    const isNew = !admission.knows(program);
    const verdict = admission.decide({
      program,
      isUnderWay: () => leftMilliseconds <= 0 || shapes.isOfSubAgent(kind.name, isSubAgent ? 3 : 2),
      outlook: () => ({
        ...demandAhead(ranked),
        slots: load.slots,
        turnMilliseconds: TURN_MILLISECONDS,
        turns: shapes.turns(kind.name),
        leftMilliseconds,
        requestMilliseconds,
      }),
    });
    if (verdict.pauseMilliseconds === undefined) {
      shapes.note(kind.name, isNew);
      if (isNew && verdict.cause !== 'shown') {
        shapes.noteFirstTurn(kind.name, isSubAgent ? 3 : 2);
      }
    }
    return verdict.pauseMilliseconds;
  };
}
