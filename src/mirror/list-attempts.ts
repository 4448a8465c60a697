/**
 * Asks the store for a whole list until one answer comes. A call sent into a silence is not waited
 * for: once it is overdue another goes beside it, and the first answer counts. Where others prove
 * when the store answers again, calls wait for such a proof, so that hundreds of gateways do not
 * press on a store that is out of reach.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { ItemList, KeySpaceError, KeySpacePort } from './key-space-port.js';

/** A call to the store that waits for its answer. */
export interface StoreCall {
  readonly kind: 'list' | 'watch' | 'stale list' | 'proof';
  /** Local time at which it was sent, in milliseconds. */
  readonly sentAt: number;
}

/** What the attempts are made with. */
export interface ListAttemptsOptions {
  readonly runtime: Runtime;
  readonly port: Pick<KeySpacePort, 'list'>;
  readonly prefix: string;
  /** Time after which a call without an answer counts as lost, in milliseconds. */
  readonly overdueMilliseconds: number;
  /** Whether `heedProof` is called when the store answers somebody. */
  readonly awaitsProof: boolean;
  /** The first answer; the attempts are over. */
  readonly onAnswer: (list: ItemList, sentAt: number) => void;
  readonly onFailure: (call: StoreCall, error: KeySpaceError) => void;
}

const FIRST_PAUSE_MILLISECONDS = 60;
const LONGEST_PAUSE_MILLISECONDS = 800;
/** Longest pause without a proof where proofs are awaited, in milliseconds. */
const UNPROVEN_PAUSE_MILLISECONDS = 3_000;
/** After a proof all that wait ask again within this time, in milliseconds. */
const SPREAD_MILLISECONDS = 120;
const CALLS_UNDER_WAY = 4;
const OVERDUE: KeySpaceError = { tag: 'Unreachable', detail: 'overdue' };

/** See the head of this file. */
export class ListAttempts {
  /** Names the attempts since the last start; 0 while none are made. */
  private current = 0;
  private starts = 0;
  private failures = 0;
  private underWay = 0;
  private cancelNext: CancelTimer = () => undefined;
  private waiting = false;
  /** Local time before which no call is sent, in milliseconds. */
  private notBefore = 0;

  constructor(private readonly options: ListAttemptsOptions) {}

  /** Whether a list is asked for and not yet there. */
  get running(): boolean {
    return this.current !== 0;
  }

  /** Asks until an answer comes. */
  start(): void {
    if (this.running) {
      return;
    }
    this.starts += 1;
    this.current = this.starts;
    this.failures = 0;
    this.underWay = 0;
    this.send();
  }

  /** Leaves it; what comes later is not heeded. */
  stop(): void {
    this.current = 0;
    this.waiting = false;
    this.cancelNext();
  }

  /** The store has answered somebody: a call that waits for that is sent soon. */
  heedProof(): void {
    if (this.waiting) {
      const { runtime } = this.options;
      const pause = SPREAD_MILLISECONDS * runtime.random.uniform();
      this.sendIn(Math.max(pause, this.notBefore - runtime.now()));
    }
  }

  private send(): void {
    const { runtime, port, prefix, overdueMilliseconds, onAnswer } = this.options;
    const { current } = this;
    const call: StoreCall = { kind: 'list', sentAt: runtime.now() };
    let open = true;
    this.waiting = false;
    this.underWay += 1;
    const cancelOverdue = runtime.setTimer(overdueMilliseconds, () => {
      if (current === this.current && open) {
        open = false;
        this.failed(call, OVERDUE);
      }
    });
    port.list(prefix, (result) => {
      cancelOverdue();
      if (current !== this.current) {
        return;
      }
      this.underWay -= 1;
      if (isRight(result)) {
        this.stop();
        onAnswer(result.right, call.sentAt);
      } else if (open) {
        open = false;
        this.failed(call, result.left);
      }
    });
  }

  private failed(call: StoreCall, error: KeySpaceError): void {
    const { runtime, awaitsProof, onFailure } = this.options;
    this.failures += 1;
    const longest = Math.min(
      LONGEST_PAUSE_MILLISECONDS,
      FIRST_PAUSE_MILLISECONDS * 2 ** (this.failures - 1),
    );
    const pause = longest * (0.5 + 0.5 * runtime.random.uniform());
    this.notBefore = runtime.now() + pause;
    this.sendIn(awaitsProof ? UNPROVEN_PAUSE_MILLISECONDS : pause);
    onFailure(call, error);
  }

  private sendIn(pause: number): void {
    this.cancelNext();
    this.waiting = true;
    this.cancelNext = this.options.runtime.setTimer(pause, () => {
      if (this.underWay < CALLS_UNDER_WAY) {
        this.send();
      } else {
        this.sendIn(this.options.overdueMilliseconds);
      }
    });
  }
}
