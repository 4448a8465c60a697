/** Checks that every kind of request is served again within the allowed time after a fault. */
import { noCounts } from './soak-client.js';
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
const ANSWERS_IN_A_ROW = 10;
const PAUSE_MILLISECONDS = 50;
/** Attempts to continue from one turn. */
const TURN_TRIES = 5;
/** Lost turns after which the check stops: the soak has failed by then, and each lost turn takes seconds. */
const MOST_LOST = 8;

/** Measures the time to recovery, and checks that answered turns can be continued. */
export class RecoveryCheck {
  /** Duration of each check until all kinds were served or the time was over, in milliseconds. */
  readonly recoveries: number[] = [];

  constructor(private readonly options: RecoveryCheckOptions) {}

  /** Call once the processes are started; resolves when all kinds are served or the time is over. */
  async check(fault: string): Promise<void> {
    const begunAt = performance.now();
    const until = begunAt + RECOVERY_MILLISECONDS;
    const counts = noCounts();
    const client = this.options.newClient(`after-${this.recoveries.length}`, counts);
    let inARow = 0;
    while (inARow < ANSWERS_IN_A_ROW && performance.now() < until) {
      inARow = (await client.sendPlain('single')) ? inARow + 1 : 0;
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MILLISECONDS));
    }
    if (inARow === ANSWERS_IN_A_ROW) {
      await client.run(() => performance.now() > until || counts.kept > 0);
    }
    if (inARow < ANSWERS_IN_A_ROW || counts.kept === 0) {
      this.options.violate(
        'recovery',
        `not all kinds of requests were served in time after ${fault}`,
      );
    }
    this.recoveries.push(Math.round(performance.now() - begunAt));
  }

  /** Checks that completely answered turns can be continued, with several attempts as clients make them. */
  async checkTurns(turns: readonly AnsweredTurn[]): Promise<void> {
    const client = this.options.newClient('turns', noCounts());
    let lost = 0;
    for (const turn of turns) {
      if (lost >= MOST_LOST) {
        return;
      }
      let isFound = false;
      for (let tries = 0; !isFound && tries < TURN_TRIES; tries += 1) {
        isFound = await client.goOnFrom(turn);
      }
      if (!isFound) {
        lost += 1;
        this.options.violate(
          'history',
          `turn ${turn.id} could not be continued in ${TURN_TRIES} attempts`,
        );
      }
    }
  }
}
