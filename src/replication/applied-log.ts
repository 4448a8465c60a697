/** Applies committed entries to the state machine, in order, and replaces long logs by snapshots. */
import type { NodeId } from '../model/identifiers.js';
import type { ReplicaStorage, Snapshot } from './log-entry.js';
import type { PendingProposals } from './proposals.js';
import type { ReplicaLog } from './replica-log.js';
import type { ReplicaStateMachine } from './state-machine.js';

/** Number of applied entries after which a snapshot replaces them. */
const SNAPSHOT_AFTER_ENTRIES = 4000;

/** Dependencies of an `AppliedLog`. */
export interface AppliedLogOptions<Outcome> {
  readonly log: ReplicaLog;
  readonly storage: ReplicaStorage;
  readonly stateMachine: ReplicaStateMachine<Outcome>;
  readonly pending: PendingProposals<Outcome>;
}

/** The applied part of one replica's log. */
export class AppliedLog<Outcome> {
  private index: number;

  constructor(private readonly options: AppliedLogOptions<Outcome>) {
    this.index = options.log.snapshot.lastIndex;
    options.stateMachine.restore(options.log.snapshot.state);
  }

  /** Index of the newest applied entry; every applied entry is committed. */
  get lastIndex(): number {
    return this.index;
  }

  /** Applies all entries up to a committed index. */
  applyTo(committedIndex: number): void {
    while (this.index < committedIndex) {
      this.applyNext();
    }
  }

  /** Replaces the state and the log by a leader's snapshot; calls `done` when it is durable. */
  install(snapshot: Snapshot, done: () => void): void {
    const { log, stateMachine, storage } = this.options;
    log.compact(snapshot);
    stateMachine.restore(snapshot.state);
    this.index = snapshot.lastIndex;
    storage.persist({ snapshot }, done);
  }

  /** Replaces the applied entries by a snapshot once there are enough of them. */
  takeSnapshotIfLong(voters: readonly NodeId[]): void {
    const { log, stateMachine, storage } = this.options;
    if (this.index - log.snapshot.lastIndex < SNAPSHOT_AFTER_ENTRIES) {
      return;
    }
    const lastTerm = log.termAt(this.index)!;
    const snapshot = { lastIndex: this.index, lastTerm, voters, state: stateMachine.save() };
    log.compact(snapshot);
    storage.persist({ snapshot }, () => undefined);
  }

  private applyNext(): void {
    const { log, stateMachine, pending } = this.options;
    this.index += 1;
    const entry = log.entryAt(this.index)!;
    const outcome = stateMachine.apply(entry.command);
    pending.resolve(this.index, entry.term, outcome);
  }
}
