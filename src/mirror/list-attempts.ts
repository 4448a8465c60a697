/**
 * Requests a complete list from the store until one call succeeds. A call without an answer is
 * hedged: after a delay another one is sent beside it, and the first answer counts. If proofs
 * report that the store answers other gateways, retries wait for such a proof, so that hundreds of
 * gateways do not overload an unreachable store.
 */
import { isRight } from 'fp-ts/lib/Either.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { ItemList, KeySpaceError, KeySpacePort } from './key-space-port.js';

/** A call to the store that is waiting for its answer. */
export interface StoreCall {
  readonly kind: 'list' | 'watch' | 'stale list' | 'proof';
  /** Local time at which the call was sent, in milliseconds. */
  readonly sentAt: number;
}

export interface ListAttemptsOptions {
  readonly runtime: Runtime;
  readonly port: Pick<KeySpacePort, 'list'>;
  readonly prefix: string;
  /** Time after which a call without an answer is presumed lost, in milliseconds. */
  readonly hedgeDelayMilliseconds: number;
  /** Whether `noteProof` is called when the store answers another gateway. */
  readonly awaitsProof: boolean;
  /** Called with the first answer and the time of its request; the attempts end with it. */
  readonly onAnswer: (list: ItemList, sentAt: number) => void;
  readonly onFailure: (call: StoreCall, error: KeySpaceError) => void;
}

const INITIAL_BACKOFF_MILLISECONDS = 60;
const MAXIMUM_BACKOFF_MILLISECONDS = 800;
/** Maximum wait for a proof before a retry, in milliseconds. */
const MAXIMUM_WAIT_FOR_PROOF_MILLISECONDS = 3_000;
/**
 * Maximum delay of a retry after a proof, in milliseconds; spreads the calls of the waiting
 * gateways.
 */
const RETRY_JITTER_MILLISECONDS = 120;
const MAXIMUM_CALLS_IN_FLIGHT = 4;
const OVERDUE: KeySpaceError = { tag: 'Unreachable', detail: 'overdue' };

/** Sends list calls with hedging and backoff. */
export class ListAttempts {
  /** Number of the current run of attempts; 0 while there is none. */
  private currentRun = 0;
  private runCount = 0;
  private failures = 0;
  private inFlight = 0;
  private cancelNext: CancelTimer = () => undefined;
  private isWaiting = false;
  /** Local time before which no retry is sent, in milliseconds. */
  private notBefore = 0;

  constructor(private readonly options: ListAttemptsOptions) {}

  /** Whether attempts are being made. */
  get running(): boolean {
    return this.currentRun !== 0;
  }

  /** Starts the attempts, unless they are running. */
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

  /** Ends the attempts; later answers are ignored. */
  stop(): void {
    this.currentRun = 0;
    this.isWaiting = false;
    this.cancelNext();
  }

  /**
   * Records that the store answered another gateway: a retry that waits for a proof is sent soon.
   */
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
