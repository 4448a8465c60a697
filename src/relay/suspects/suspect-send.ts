/**
 * Arranges the next send of a suspected request: announced to all gateways before it leaves, and only if no more runners
 * than may can end under the request then. The last permitted send goes to a runner where no other suspect is, so that an
 * end there has one suspect.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';
import { fingerprintsOf } from '../request/fingerprint.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { RunnerCandidate } from '../runners/runner-registry.js';
import type { AnnouncedSend, RequestSuspects } from './request-suspects.js';

/** How the runner for the last permitted send of a suspected request is chosen: one with the fewest requests. */
export interface IsolatedPlacement {
  /** Whether another suspect may be at a runner. */
  readonly isShared: (runnerHash: number) => boolean;
  /** Whether a request may be at a runner under which several others have ended; avoided most. */
  readonly isRisky: (runnerHash: number) => boolean;
  /** Whether no runner is better than one where another suspect may be. */
  readonly isStrict: boolean;
}

/** The result of the arrangement. */
export type SendOutcome =
  /** Send the request to the runner now. */
  | { readonly tag: 'Send'; readonly chosen: RunnerCandidate }
  | { readonly tag: 'NoRunner' }
  /** As many runners ended under the request as may. */
  | { readonly tag: 'Quarantined' }
  /** As many may have ended, and it did not become known in time. */
  | { readonly tag: 'Unresolved' };

/** Options of {@link arrangeSend}. */
export interface SuspectSendOptions {
  readonly runtime: Runtime;
  readonly suspects: RequestSuspects;
  readonly request: RelayRequest;
  /** Time for which the send may be held, in milliseconds. */
  readonly patienceMilliseconds: number;
  /** Chooses a runner; without a placement as for any request. */
  readonly choose: (placement?: IsolatedPlacement) => RunnerCandidate | undefined;
  /** Counts the request as being at a runner that was chosen; returns the function that takes that back. */
  readonly reserve: (chosen: RunnerCandidate) => () => void;
  /** Whether a chosen runner may still get the request. */
  readonly isUsable: (chosen: RunnerCandidate) => boolean;
  /** Called once, at once if nothing has to be waited for. */
  readonly done: (outcome: SendOutcome) => void;
}

/** Time in which the announcements of other gateways arrive, in milliseconds. */
const SETTLE_MILLISECONDS = 20;
/** Longest time for which the last permitted send waits for a runner without suspects, in milliseconds. */
const ISOLATION_MILLISECONDS = 200;
/** Time after which a runner without suspects is looked for again, in milliseconds. */
const RETRY_MILLISECONDS = 20;

class SuspectSend {
  private readonly startedAt: number;
  private readonly endsAt: number;
  /** Whether the request was suspected at any time since the start. */
  private isSuspect = false;
  private announced: AnnouncedSend | undefined;
  /** Gives back the place that is reserved while a send is announced. */
  private release: () => void = () => undefined;
  private isFinished = false;
  private cancelTimer: CancelTimer = () => undefined;
  private cancelListener: () => void = () => undefined;

  constructor(private readonly options: SuspectSendOptions) {
    this.startedAt = options.runtime.now();
    this.endsAt = this.startedAt + options.patienceMilliseconds;
  }

  /** Gives up, and takes back what was announced. */
  cancel(): void {
    if (!this.isFinished) {
      this.isFinished = true;
      this.stopWaiting();
      this.retract();
    }
  }

  decide(): void {
    const { suspects, request } = this.options;
    const verdict = suspects.verdictOf(request);
    this.isSuspect ||= verdict !== 'clear';
    switch (verdict) {
      case 'quarantined':
        this.finish({ tag: 'Quarantined' });
        return;
      case 'unresolved':
        this.waitOrGiveUp();
        return;
      case 'clear':
        this.send(this.options.choose());
        return;
      case 'suspect':
        this.announce();
    }
  }

  private announce(): void {
    const { runtime, suspects, request, choose, reserve } = this.options;
    const isLast = suspects.isLastSend(request);
    const isStrict = runtime.now() - this.startedAt < ISOLATION_MILLISECONDS;
    const isShared = (runnerHash: number): boolean => suspects.isSuspectAt(runnerHash);
    const isRisky = (runnerHash: number): boolean => suspects.isRepeatedSuspectAt(runnerHash);
    const chosen = choose(isLast ? { isShared, isRisky, isStrict } : undefined);
    const canAnnounce = chosen === undefined || suspects.canAnnounce(request, chosen.hash);
    if (!canAnnounce || (chosen === undefined && isLast && isStrict)) {
      this.cancelTimer = runtime.setTimer(RETRY_MILLISECONDS, () => this.decide());
      return;
    }
    if (chosen === undefined) {
      this.finish({ tag: 'NoRunner' });
      return;
    }
    this.announced = { runnerHash: chosen.hash, at: runtime.now() };
    this.release = reserve(chosen);
    suspects.announce(request, chosen.hash);
    this.cancelTimer = runtime.setTimer(SETTLE_MILLISECONDS, () => this.confirm(chosen));
  }

  private confirm(chosen: RunnerCandidate): void {
    const { suspects, request, isUsable } = this.options;
    const confirmation = suspects.confirm(request, this.announced!);
    if (confirmation === 'send' && isUsable(chosen)) {
      this.release();
      this.send(chosen);
      return;
    }
    this.retract();
    if (confirmation === 'wait') {
      this.waitOrGiveUp();
    } else {
      this.decide();
    }
  }

  private send(chosen: RunnerCandidate | undefined): void {
    this.finish(chosen === undefined ? { tag: 'NoRunner' } : { tag: 'Send', chosen });
  }

  private waitOrGiveUp(): void {
    const { runtime, suspects, request } = this.options;
    const left = this.endsAt - runtime.now();
    if (left <= 0) {
      this.finish({ tag: 'Unresolved' });
      return;
    }
    const goOn = (): void => {
      this.stopWaiting();
      this.decide();
    };
    this.cancelTimer = runtime.setTimer(left, goOn);
    this.cancelListener = suspects.table.onChange(Object.values(fingerprintsOf(request)), () => {
      // A change may come while another one is being applied.
      this.stopWaiting();
      this.cancelTimer = runtime.setTimer(0, goOn);
    });
  }

  private stopWaiting(): void {
    this.cancelTimer();
    this.cancelListener();
  }

  private retract(): void {
    if (this.announced !== undefined) {
      this.release();
      this.options.suspects.noteOver(this.options.request, this.announced.runnerHash);
      this.announced = undefined;
    }
  }

  private finish(outcome: SendOutcome): void {
    if (this.isFinished) {
      return;
    }
    this.isFinished = true;
    const { runtime, suspects, request, done } = this.options;
    if (this.isSuspect) {
      suspects.logSend(request, outcome, runtime.now() - this.startedAt);
    }
    done(outcome);
  }
}

/** Arranges a send; returns the function that cancels it. */
export function arrangeSend(options: SuspectSendOptions): () => void {
  const send = new SuspectSend(options);
  send.decide();
  return () => send.cancel();
}
