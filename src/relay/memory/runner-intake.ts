/**
 * What was handed to each runner's connections and not taken by it. A runner that takes nothing gets no more
 * than a bounded amount; placement leaves it out until it takes.
 */
import type { RunnerLife } from '../runners/runner.js';

/**
 * Bytes that one runner may leave untaken, unless they are of a single request: several usual bodies of some tens
 * of kilobytes, which a runner that reads at all takes within a round trip.
 */
export const RUNNER_UNTAKEN_BYTES = 256 * 1024;

/** The bytes of one try; they count from its connection on, since those that wait for one are no runner's fault. */
export interface Handover {
  /** The connection stands, and they go over it. */
  onConnected(): void;
  /** They are taken or given up; may come twice, and without a connection. */
  onTaken(): void;
}

/** See the head of this file. */
export class RunnerIntake {
  private readonly untaken = new Map<RunnerLife, number>();

  /** Bytes that a runner has not taken. */
  untakenBytes(runner: RunnerLife): number {
    return this.untaken.get(runner) ?? 0;
  }

  /** Whether a runner may be sent another request. */
  mayTake(runner: RunnerLife): boolean {
    return this.untakenBytes(runner) < RUNNER_UNTAKEN_BYTES;
  }

  /** Notes bytes handed to a runner; the returned function notes that they are taken or given up, once. */
  hand(runner: RunnerLife, bytes: number): () => void {
    this.change(runner, bytes);
    let open = true;
    return () => {
      if (open) {
        open = false;
        this.change(runner, -bytes);
      }
    };
  }

  /** Bytes that are to go to a runner, counted once they do. */
  prepare(runner: RunnerLife, bytes: number): Handover {
    let over = false;
    let take = (): void => undefined;
    return {
      onConnected: () => {
        take = over ? take : this.hand(runner, bytes);
      },
      onTaken: () => {
        over = true;
        take();
      },
    };
  }

  /** The figures as text in the Prometheus format. */
  render(): string {
    let total = 0;
    let full = 0;
    for (const bytes of this.untaken.values()) {
      total += bytes;
      full += bytes >= RUNNER_UNTAKEN_BYTES ? 1 : 0;
    }
    const lines = [`ivyloom_memory_untaken_bytes ${total}`, `ivyloom_memory_full_runners ${full}`];
    return `${lines.join('\n')}\n`;
  }

  private change(runner: RunnerLife, bytes: number): void {
    if (bytes === 0) {
      return;
    }
    const left = this.untakenBytes(runner) + bytes;
    if (left > 0) {
      this.untaken.set(runner, left);
    } else {
      this.untaken.delete(runner);
    }
  }
}
