/** Remembers which requests were lately answered in full. */
import type { Runtime } from '../../runtime/runtime.js';
import type { Fingerprint } from '../../suspects/fingerprint.js';

/** Time for which an answer is remembered at least, in milliseconds; at most twice as long. */
const RETENTION_MILLISECONDS = 5_000;
/** Largest number of requests in a generation; beyond, the next one starts early. */
const MAXIMUM_REQUESTS = 4_096;

/** Keeps two generations of answered requests. */
export class RecentAnswers {
  private current = new Set<Fingerprint>();
  private previous = new Set<Fingerprint>();
  private startedAt: number;

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {
    this.startedAt = runtime.now();
  }

  /** Records an answer in full. */
  note(fingerprint: Fingerprint): void {
    this.dropExpired();
    if (this.current.size >= MAXIMUM_REQUESTS) {
      this.startGeneration();
    }
    this.current.add(fingerprint);
  }

  /** Returns whether a request was lately answered in full. */
  has(fingerprint: Fingerprint): boolean {
    this.dropExpired();
    return this.current.has(fingerprint) || this.previous.has(fingerprint);
  }

  private dropExpired(): void {
    const age = this.runtime.now() - this.startedAt;
    if (age >= RETENTION_MILLISECONDS) {
      this.startGeneration();
      if (age >= 2 * RETENTION_MILLISECONDS) {
        this.previous.clear();
      }
    }
  }

  private startGeneration(): void {
    this.previous = this.current;
    this.current = new Set();
    this.startedAt = this.runtime.now();
  }
}
