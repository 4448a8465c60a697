/**
 * Tracks the bytes that were handed to the connections of each runner and not sent yet. A runner
 * that stops reading gets no more than a bounded amount; placement skips it until it reads again.
 */
import type { RunnerIncarnation } from '../runners/runner.js';

/**
 * Maximum number of unsent bytes of a runner, which only a single request may exceed: several
 * typical bodies of some tens of kilobytes, which a runner that reads at all receives within a
 * round trip.
 */
export const MAXIMUM_UNSENT_BYTES = 256 * 1024;

/**
 * The bytes of one attempt. They count from the connection on, since waiting for a connection is
 * not the runner's fault.
 */
export interface PendingSend {
  /** The connection is established, and the bytes are being sent. */
  onConnected(): void;
  /** The bytes were sent or given up; may be called twice, and without a connection. */
  onSendEnd(): void;
}

/** Number of unsent bytes by runner. */
export class RunnerBackpressure {
  private readonly unsent = new Map<RunnerIncarnation, number>();

  /** Returns the number of unsent bytes of a runner. */
  unsentBytes(runner: RunnerIncarnation): number {
    return this.unsent.get(runner) ?? 0;
  }

  /** Whether a runner may be sent another request. */
  isWritable(runner: RunnerIncarnation): boolean {
    return this.unsentBytes(runner) < MAXIMUM_UNSENT_BYTES;
  }

  /**
   * Counts bytes handed to a runner until the returned function is called, which may be called
   * twice.
   */
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

  /** Returns callbacks that count bytes for a runner from the connection until they are sent. */
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

  /** Renders the metrics in the Prometheus text format. */
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
