/** Whether every kind of request is served again after a fault, within the time allowed for that. */
import { noCounts } from './soak-client.js';
import type { AnsweredTurn, SoakClient, SoakCounts } from './soak-client.js';

/** What the check is made with. */
export interface RecoveryCheckOptions {
  /** Makes a client that counts what it sends for itself. */
  readonly newClient: (name: string, counts: SoakCounts) => SoakClient;
  readonly violate: (promise: string, detail: string) => void;
}

/** Time within which every kind is to be served again, in milliseconds: that of the users' deployments. */
const RECOVERY_MILLISECONDS = 12_000;
/** Plain requests answered one after another that show that these are served. */
const ANSWERS_IN_A_ROW = 10;
const PAUSE_MILLISECONDS = 50;
/** Tries to go on from one turn. */
const TURN_TRIES = 5;
/** Lost turns after which no more are tried: the soak has failed, and each takes seconds. */
const MOST_LOST = 8;

/** See the head of this file. */
export class RecoveryCheck {
  /** Milliseconds until service was back, for each check. */
  readonly recoveries: number[] = [];

  constructor(private readonly options: RecoveryCheckOptions) {}

  /** Begins when the processes are started; resolves once all kinds are served, or the time is over. */
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
      this.options.violate('recovery', `not all kinds were served in time after ${fault}`);
    }
    this.recoveries.push(Math.round(performance.now() - begunAt));
  }

  /** Whether programs can go on from turns that were answered whole; tried again as clients do. */
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
        this.options.violate('history', `nothing went on from ${turn.id} in ${TURN_TRIES} tries`);
      }
    }
  }
}
