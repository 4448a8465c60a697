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
  readonly hedgeDelayMilliseconds: number;
  /** Whether `heedProof` is called when the store answers somebody. */
  readonly awaitsProof: boolean;
  /** The first answer; the attempts are over. */
  readonly onAnswer: (list: ItemList, sentAt: number) => void;
  readonly onFailure: (call: StoreCall, error: KeySpaceError) => void;
}

const INITIAL_BACKOFF_MILLISECONDS = 60;
const MAXIMUM_BACKOFF_MILLISECONDS = 800;
/** Longest pause without a proof where proofs are awaited, in milliseconds. */
const MAXIMUM_WAIT_FOR_PROOF_MILLISECONDS = 3_000;
/** After a proof all that wait ask again within this time, in milliseconds. */
const RETRY_JITTER_MILLISECONDS = 120;
const MAXIMUM_CALLS_IN_FLIGHT = 4;
const OVERDUE: KeySpaceError = { tag: 'Unreachable', detail: 'overdue' };

/** See the head of this file. */
export class ListAttempts {
  /** Names the attempts since the last start; 0 while none are made. */
  private currentRun = 0;
  private runCount = 0;
  private failures = 0;
  private inFlight = 0;
  private cancelNext: CancelTimer = () => undefined;
  private isWaiting = false;
  /** Local time before which no call is sent, in milliseconds. */
  private notBefore = 0;

  constructor(private readonly options: ListAttemptsOptions) {}

  /** Whether a list is asked for and not yet there. */
  get running(): boolean {
    return this.currentRun !== 0;
  }

  /** Asks until an answer comes. */
  start(): void {
    if (this.running) {
      return;
    }
    this.runCount += 1;
    this.currentRun = this.runCount;
    this.failures = 0;
    this.inFlight = 0;
    this.send();
  }

  /** Leaves it; what comes later is not heeded. */
  stop(): void {
    this.currentRun = 0;
    this.isWaiting = false;
    this.cancelNext();
  }

  /** The store has answered somebody: a call that waits for that is sent soon. */
  noteProof(): void {
    if (this.isWaiting) {
      const { runtime } = this.options;
      const pause = RETRY_JITTER_MILLISECONDS * runtime.random.uniform();
      this.sendAfter(Math.max(pause, this.notBefore - runtime.now()));
    }
  }

  private send(): void {
    const { runtime, port, prefix, hedgeDelayMilliseconds, onAnswer } = this.options;
    const { currentRun } = this;
    const call: StoreCall = { kind: 'list', sentAt: runtime.now() };
    let isPending = true;
    this.isWaiting = false;
    this.inFlight += 1;
    const cancelHedge = runtime.setTimer(hedgeDelayMilliseconds, () => {
      if (currentRun === this.currentRun && isPending) {
        isPending = false;
        this.handleFailure(call, OVERDUE);
      }
    });
    port.list(prefix, (result) => {
      cancelHedge();
      if (currentRun !== this.currentRun) {
        return;
      }
      this.inFlight -= 1;
      if (isRight(result)) {
        this.stop();
        onAnswer(result.right, call.sentAt);
      } else if (isPending) {
        isPending = false;
        this.handleFailure(call, result.left);
      }
    });
  }

  private handleFailure(call: StoreCall, error: KeySpaceError): void {
    const { runtime, awaitsProof, onFailure } = this.options;
    this.failures += 1;
    const backoff = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** (this.failures - 1),
    );
    const pause = backoff * (0.5 + 0.5 * runtime.random.uniform());
    this.notBefore = runtime.now() + pause;
    this.sendAfter(awaitsProof ? MAXIMUM_WAIT_FOR_PROOF_MILLISECONDS : pause);
    onFailure(call, error);
  }

  private sendAfter(pause: number): void {
    this.cancelNext();
    this.isWaiting = true;
    this.cancelNext = this.options.runtime.setTimer(pause, () => {
      if (this.inFlight < MAXIMUM_CALLS_IN_FLIGHT) {
        this.send();
      } else {
        this.sendAfter(this.options.hedgeDelayMilliseconds);
      }
    });
  }
}
