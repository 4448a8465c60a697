/** Notices that a runner has fallen silent: probes its address, since a dead one never answers. */
import type { CancelTimer } from '../runtime/runtime.js';
import type { RelayContext } from './relay-context.js';
import type { RunnerRecord } from './runner-book.js';

/** Time without a byte from a runner, for whatever request, after which its address is probed. */
const SILENCE_MILLISECONDS = 150;

/** Watches the runner of one try until it is stopped. */
export class SilenceWatch {
  private cancelTimer: CancelTimer = () => undefined;
  private stopped = false;
  private heardAt: number;

  constructor(
    private readonly context: RelayContext,
    private readonly record: RunnerRecord,
    /** Told once, when the runner's address takes no connection any more. */
    private readonly onOutOfReach: () => void,
  ) {
    this.heardAt = context.runtime.now();
    this.lookLater();
  }

  /** Notes a byte from the runner. */
  noteHeard(): void {
    this.heardAt = this.context.runtime.now();
    this.record.heardAt = this.heardAt;
  }

  /** Ends the watch. */
  stop(): void {
    this.stopped = true;
    this.cancelTimer();
  }

  private lookLater(): void {
    this.cancelTimer = this.context.runtime.setTimer(SILENCE_MILLISECONDS, () => this.look());
  }

  private look(): void {
    const { runtime, connections } = this.context;
    this.lookLater();
    const silentSince = Math.max(this.heardAt, this.record.heardAt);
    if (runtime.now() - silentSince >= SILENCE_MILLISECONDS) {
      connections.probe(this.record.runner, (reachable) => this.judge(reachable));
    }
  }

  private judge(reachable: boolean): void {
    if (reachable || this.stopped) {
      return;
    }
    const { book, connections } = this.context;
    this.stop();
    book.noteOutOfReach(this.record, 'silent and out of reach');
    this.onOutOfReach();
    connections.closeAll(this.record.runner);
  }
}
