/** Checks that every kind of request is served again within the allowed time after a fault. */
import { createCounts } from './soak-client.js';
import type { AnsweredTurn, SoakClient, SoakCounts } from './soak-client.js';

/** Dependencies of the recovery check. */
export interface RecoveryCheckOptions {
  /** Creates a client that counts its requests in `counts`. */
  readonly newClient: (name: string, counts: SoakCounts) => SoakClient;
  readonly violate: (promise: string, detail: string) => void;
}

/** Time within which every kind must be served again, in milliseconds; equals `RecoveryS` of the settings. */
const RECOVERY_MILLISECONDS = 12_000;
/** Consecutive answered plain requests after which plain requests count as served. */
const REQUIRED_CONSECUTIVE_ANSWERS = 10;
const REQUEST_PAUSE_MILLISECONDS = 50;
/** Attempts to continue from one turn. */
const MAXIMUM_TURN_ATTEMPTS = 5;
/** Lost turns after which the check stops: the soak has failed by then, and each lost turn takes seconds. */
const MAXIMUM_LOST_TURNS = 8;

/** Measures the time to recovery, and checks that answered turns can be continued. */
export class RecoveryCheck {
  /** Duration of each check until all kinds were served or the time was over, in milliseconds. */
  readonly recoveries: number[] = [];

  constructor(private readonly options: RecoveryCheckOptions) {}

  /**
   * Sends requests until all kinds are served or the time is over, and records how long that took. Call once
   * the processes are started.
   */
  async check(fault: string): Promise<void> {
    const startedAt = performance.now();
    const deadline = startedAt + RECOVERY_MILLISECONDS;
    const counts = createCounts();
    const client = this.options.newClient(`after-${this.recoveries.length}`, counts);
    let consecutiveAnswers = 0;
    while (consecutiveAnswers < REQUIRED_CONSECUTIVE_ANSWERS && performance.now() < deadline) {
      consecutiveAnswers = (await client.sendPlain('single')) ? consecutiveAnswers + 1 : 0;
      await new Promise((resolve) => setTimeout(resolve, REQUEST_PAUSE_MILLISECONDS));
    }
    if (consecutiveAnswers === REQUIRED_CONSECUTIVE_ANSWERS) {
      await client.run(() => performance.now() > deadline || counts.kept > 0);
    }
    if (consecutiveAnswers < REQUIRED_CONSECUTIVE_ANSWERS || counts.kept === 0) {
      this.options.violate(
        'recovery',
        `not all kinds of requests were served in time after ${fault}`,
      );
    }
    this.recoveries.push(Math.round(performance.now() - startedAt));
  }

  /** Checks that completely answered turns can be continued, with several attempts as clients make them. */
  async checkTurns(turns: readonly AnsweredTurn[]): Promise<void> {
    const client = this.options.newClient('turns', createCounts());
    let lostTurns = 0;
    for (const turn of turns) {
      if (lostTurns >= MAXIMUM_LOST_TURNS) {
        return;
      }
      let isFound = false;
      for (let attempts = 0; !isFound && attempts < MAXIMUM_TURN_ATTEMPTS; attempts += 1) {
        isFound = await client.continueFrom(turn);
      }
      if (!isFound) {
        lostTurns += 1;
        this.options.violate(
          'history',
          `turn ${turn.id} could not be continued in ${MAXIMUM_TURN_ATTEMPTS} attempts`,
        );
      }
    }
  }
}
