/**
 * What was handed to each runner's connections and not taken by it. A runner that takes nothing gets no more
 * than a bounded amount; placement leaves it out until it takes.
 */
import type { RunnerIncarnation } from '../runners/runner.js';

/**
 * Bytes that one runner may leave untaken, unless they are of a single request: several usual bodies of some tens
 * of kilobytes, which a runner that reads at all takes within a round trip.
 */
export const MAXIMUM_UNSENT_BYTES = 256 * 1024;

/** The bytes of one try; they count from its connection on, since those that wait for one are no runner's fault. */
export interface PendingSend {
  /** The connection stands, and they go over it. */
  onConnected(): void;
  /** They are taken or given up; may come twice, and without a connection. */
  onSendEnd(): void;
}

/** See the head of this file. */
export class RunnerBackpressure {
  private readonly unsent = new Map<RunnerIncarnation, number>();

  /** Bytes that a runner has not taken. */
  unsentBytes(runner: RunnerIncarnation): number {
    return this.unsent.get(runner) ?? 0;
  }

  /** Whether a runner may be sent another request. */
  isWritable(runner: RunnerIncarnation): boolean {
    return this.unsentBytes(runner) < MAXIMUM_UNSENT_BYTES;
  }

  /** Notes bytes handed to a runner; the returned function notes that they are taken or given up, once. */
  trackUnsent(runner: RunnerIncarnation, bytes: number): () => void {
    this.adjust(runner, bytes);
    let isCounted = true;
    return () => {
      if (isCounted) {
        isCounted = false;
        this.adjust(runner, -bytes);
      }
    };
  }

  /** Bytes that are to go to a runner, counted once they do. */
  prepareSend(runner: RunnerIncarnation, bytes: number): PendingSend {
    let hasEnded = false;
    let release = (): void => undefined;
    return {
      onConnected: () => {
        release = hasEnded ? release : this.trackUnsent(runner, bytes);
      },
      onSendEnd: () => {
        hasEnded = true;
        release();
      },
    };
  }

  /** The figures as text in the Prometheus format. */
  render(): string {
    let totalBytes = 0;
    let blockedRunners = 0;
    for (const bytes of this.unsent.values()) {
      totalBytes += bytes;
      blockedRunners += bytes >= MAXIMUM_UNSENT_BYTES ? 1 : 0;
    }
    const lines = [
      `ivyloom_memory_untaken_bytes ${totalBytes}`,
      `ivyloom_memory_full_runners ${blockedRunners}`,
    ];
    return `${lines.join('\n')}\n`;
  }

  private adjust(runner: RunnerIncarnation, bytes: number): void {
    if (bytes === 0) {
      return;
    }
    const remainingBytes = this.unsentBytes(runner) + bytes;
    if (remainingBytes > 0) {
      this.unsent.set(runner, remainingBytes);
    } else {
      this.unsent.delete(runner);
    }
  }
}
