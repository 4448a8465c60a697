/** The pool scheduler's state of one engine: running calls, failures and holds. */
import type { CallId, ProgramId } from '../model/identifiers.js';
import type { EngineDocument } from '../configuration/documents.js';
import type { EngineView } from '../scheduling/pool-view.js';
import { peakCacheTokens } from '../scheduling/placement-cost.js';
import type { CallTicket } from '../wire/messages.js';

/** Consecutive failures after which an engine is ejected. */
const EJECTION_FAILURES = 3;
/**
 * Duration of the first ejection, in milliseconds. It doubles with each further ejection until a
 * call succeeds.
 */
const INITIAL_EJECTION_MILLISECONDS = 2_000;
/** Maximum duration of an ejection, in milliseconds. */
const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** A program's prompt held in an engine's cache. */
export interface Hold {
  readonly tokens: number;
  /** Monotonic time in milliseconds at which the engine drops the hold by itself. */
  readonly expiresAt: number;
}

/** One engine of a pool. */
export class EngineState {
  readonly view: EngineView;
  readonly running = new Map<CallId, CallTicket | undefined>();
  readonly holds = new Map<ProgramId, Hold>();
  private consecutiveFailures = 0;
  private ejections = 0;
  private ejectedUntil = 0;
  private draining = false;

  constructor(document: EngineDocument) {
    this.view = {
      engine: document.name,
      zone: document.zone,
      concurrency: Math.max(1, document.concurrency),
      cacheTokens: document.cacheTokens,
      running: 0,
      runningTokens: 0,
      pendingPrefillTokens: 0,
      heldTokens: 0,
      available: true,
    };
    this.draining = document.draining;
  }

  /** True if a document has the same capacity and zone; the draining flag may differ. */
  hasSameCapacity(document: EngineDocument): boolean {
    const { concurrency, cacheTokens, zone } = this.view;
    const same = cacheTokens === document.cacheTokens && zone === document.zone;
    return same && concurrency === Math.max(1, document.concurrency);
  }

  /** Copies the calls and holds from an earlier state of the same engine. */
  copyCallsAndHolds(earlier: EngineState): void {
    earlier.running.forEach((ticket, call) => this.addRunning(call, ticket, 0));
    earlier.holds.forEach((hold, program) => this.addHold(program, hold));
  }

  /** Applies the draining flag of a new revision of the document. */
  configure(document: EngineDocument, now: number): void {
    this.draining = document.draining;
    this.updateAvailability(now);
  }

  /**
   * Adds a call that runs on the engine. The ticket is undefined for a call known only from its
   * owner's report; `uncached` is the number of prompt tokens to compute.
   */
  addRunning(call: CallId, ticket: CallTicket | undefined, uncached: number): void {
    if (this.running.has(call)) {
      return;
    }
    this.running.set(call, ticket);
    this.view.running = this.running.size;
    if (ticket !== undefined) {
      this.view.runningTokens += peakCacheTokens(ticket);
      this.view.pendingPrefillTokens += uncached;
    }
  }

  /** Removes a call; returns its ticket if known. */
  removeRunning(call: CallId): CallTicket | undefined {
    const ticket = this.running.get(call);
    if (this.running.delete(call) && ticket !== undefined) {
      this.view.runningTokens -= peakCacheTokens(ticket);
    }
    this.view.running = this.running.size;
    return ticket;
  }

  /** Subtracts tokens from the prefill backlog once they are computed or their call has left. */
  subtractPendingPrefill(tokens: number): void {
    this.view.pendingPrefillTokens = Math.max(0, this.view.pendingPrefillTokens - tokens);
  }

  /** Adds or replaces the hold of a program. */
  addHold(program: ProgramId, hold: Hold): void {
    this.removeHold(program);
    this.holds.set(program, hold);
    this.view.heldTokens += hold.tokens;
  }

  /** Removes the hold of a program; returns false if there is none. */
  removeHold(program: ProgramId): boolean {
    const hold = this.holds.get(program);
    if (hold === undefined) {
      return false;
    }
    this.holds.delete(program);
    this.view.heldTokens -= hold.tokens;
    return true;
  }

  /** Removes expired holds and returns their programs. */
  removeExpiredHolds(now: number): ProgramId[] {
    const expired = [...this.holds].filter(([, hold]) => hold.expiresAt <= now);
    expired.forEach(([program]) => this.removeHold(program));
    return expired.map(([program]) => program);
  }

  /** Resets the failure count and the ejection backoff. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejections = 0;
  }

  /** Counts a failure; ejects the engine after several consecutive ones. */
  recordFailure(now: number): void {
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures < EJECTION_FAILURES) {
      return;
    }
    const ejectionMilliseconds = INITIAL_EJECTION_MILLISECONDS * 2 ** this.ejections;
    this.ejectedUntil = now + Math.min(ejectionMilliseconds, MAXIMUM_EJECTION_MILLISECONDS);
    this.ejections += 1;
    this.consecutiveFailures = 0;
    this.updateAvailability(now);
  }

  /** Recomputes whether the engine is available at the given time. */
  updateAvailability(now: number): void {
    this.view.available = !this.draining && now >= this.ejectedUntil;
  }

  /** True if the configuration excludes the engine from new work. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** True while the engine is ejected after failures. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }
}
