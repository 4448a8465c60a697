/**
 * Remembers which requests were lately answered in full, by a short form of their content that is cheap to compute for each
 * answer: requests of the same form mostly have the same content.
 */
import { hashToNumber } from '../../runtime/hashing.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { RelayRequest } from '../request/relay-request.js';

/** Time for which an answer is remembered at least, in milliseconds; at most twice as long. */
const RETENTION_MILLISECONDS = 5_000;
/** Largest number of forms in a generation; beyond, the next one starts early. */
const MAXIMUM_FORMS = 4_096;

function formOf({ method, path, route, body, previousTurn = '', tenant }: RelayRequest): number {
  return hashToNumber(
    `${tenant?.id ?? ''} ${route.host} ${method} ${path} ${previousTurn} ${body.length}`,
  );
}

/** Keeps two generations of answered forms. */
export class RecentAnswers {
  private current = new Set<number>();
  private previous = new Set<number>();
  private startedAt: number;

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {
    this.startedAt = runtime.now();
  }

  /** Records an answer in full. */
  note(request: RelayRequest): void {
    this.dropExpired();
    if (this.current.size >= MAXIMUM_FORMS) {
      this.startGeneration();
    }
    this.current.add(formOf(request));
  }

  /** Returns whether a request of the same form was lately answered in full. */
  has(request: RelayRequest): boolean {
    this.dropExpired();
    const form = formOf(request);
    return this.current.has(form) || this.previous.has(form);
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
