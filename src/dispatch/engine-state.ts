/** What a pool scheduler keeps of one back end: its view, its failures, what it holds. */
import type { CallId, ProgramId } from '../model/identifiers.js';
import type { EngineDocument } from '../configuration/documents.js';
import type { EngineView } from '../scheduling/pool-view.js';
import { peakCacheTokens } from '../scheduling/placement-cost.js';
import type { CallTicket } from '../wire/messages.js';

/** Failures in a row after which an engine gets no work for a while. */
const EJECTION_FAILURES = 3;
/** First rest of an ejected engine, in milliseconds; doubles with each further one. */
const INITIAL_EJECTION_MILLISECONDS = 2_000;
/** Longest rest of an ejected engine, in milliseconds. */
const MAXIMUM_EJECTION_MILLISECONDS = 30_000;

/** Prompt memory held by our order. */
export interface Hold {
  readonly tokens: number;
  /** Monotonic milliseconds at which it lapses by itself. */
  readonly expiresAt: number;
}

/** One back end of a pool. */
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

  /** True when a document leaves everything but the draining as it is. */
  hasSameCapacity(document: EngineDocument): boolean {
    const { concurrency, cacheTokens, zone } = this.view;
    const same = cacheTokens === document.cacheTokens && zone === document.zone;
    return same && concurrency === Math.max(1, document.concurrency);
  }

  /** Takes over the calls and holds of an earlier state of the same back end. */
  copyCallsAndHolds(earlier: EngineState): void {
    earlier.running.forEach((ticket, call) => this.addRunning(call, ticket, 0));
    earlier.holds.forEach((hold, program) => this.addHold(program, hold));
  }

  /** Takes over what a new revision of the document says. */
  configure(document: EngineDocument, now: number): void {
    this.draining = document.draining;
    this.updateAvailability(now);
  }

  /** Notes a call sent to the engine; the ticket is unknown for one learned from a report. */
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

  /** Notes that a call has left; returns its ticket when known. */
  removeRunning(call: CallId): CallTicket | undefined {
    const ticket = this.running.get(call);
    if (this.running.delete(call) && ticket !== undefined) {
      this.view.runningTokens -= peakCacheTokens(ticket);
    }
    this.view.running = this.running.size;
    return ticket;
  }

  /** Notes prompt tokens that have probably been computed by now. */
  subtractPendingPrefill(tokens: number): void {
    this.view.pendingPrefillTokens = Math.max(0, this.view.pendingPrefillTokens - tokens);
  }

  /** Notes a hold ordered for a program. */
  addHold(program: ProgramId, hold: Hold): void {
    this.removeHold(program);
    this.holds.set(program, hold);
    this.view.heldTokens += hold.tokens;
  }

  /** Notes that a program's memory is no longer held. */
  removeHold(program: ProgramId): boolean {
    const hold = this.holds.get(program);
    if (hold === undefined) {
      return false;
    }
    this.holds.delete(program);
    this.view.heldTokens -= hold.tokens;
    return true;
  }

  /** Drops holds that have lapsed; returns their programs. */
  removeExpiredHolds(now: number): ProgramId[] {
    const expired = [...this.holds].filter(([, hold]) => hold.expiresAt <= now);
    expired.forEach(([program]) => this.removeHold(program));
    return expired.map(([program]) => program);
  }

  /** Notes an answer. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.ejections = 0;
  }

  /** Notes a failure; too many in a row eject the engine for a while. */
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

  /** Brings the view up to date with time. */
  updateAvailability(now: number): void {
    this.view.available = !this.draining && now >= this.ejectedUntil;
  }

  /** True when the engine takes no new work by order. */
  get isDraining(): boolean {
    return this.draining;
  }

  /** True while the engine rests after failures. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }
}
