/**
 * Decides when a replica's state is complete: once it has read all that enough complete others have,
 * under the epoch in force. Members that have never acknowledged anything don't count: they have nothing
 * that could be missed, and waiting for them to be complete would be waiting for one another.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MemberDirectory } from './member-directory.js';
import { hasMember, recoveryReadQuorum } from './membership.js';
import type { MemberRecord } from './membership.js';
import type { PeerView } from './peer-progress.js';
import type { Replica } from './replica.js';

/** Pause between two lines that tell why the state is not complete yet, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Pause between two declarations, since the first may still be on its way to the disk, in milliseconds. */
export const DECLARATION_MILLISECONDS = 300;

/** What an incomplete replica has of another member. */
type ReadProgress =
  | 'unheard'
  /** Its own state is not complete. */
  | 'inactive'
  /** Neither is it, but it has acknowledged nothing yet. */
  | 'fresh'
  | 'reading'
  /** All that it had was read under the epoch in force. */
  | 'read';

/** What the check is made with. */
export interface CompletenessCheckOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly directory: MemberDirectory;
  /** What is known of another member; undefined before its first reply. */
  readonly viewOf: (member: string) => PeerView | undefined;
}

function progressOf(peer: PeerView | undefined, epoch: number): ReadProgress {
  if (peer === undefined) {
    return 'unheard';
  }
  if (!peer.active) {
    return peer.freshEpoch >= epoch ? 'fresh' : 'inactive';
  }
  return peer.caughtUpEpoch >= epoch ? 'read' : 'reading';
}

/** See the head of this file. */
export class CompletenessCheck {
  private nextDeclarationAt = -Infinity;
  private nextLogAt = -Infinity;

  constructor(private readonly options: CompletenessCheckOptions) {}

  /** Declares the replica ready if its state is complete; to be called whenever something was read. */
  check(): void {
    const { directory, replica, id, runtime } = this.options;
    const { current: record } = directory;
    const isDeclared = runtime.now() < this.nextDeclarationAt;
    if (isDeclared || replica.ready || record === undefined || !hasMember(record, id)) {
      return;
    }
    const progress = this.progressUnder(record);
    const others = [...progress.values()];
    const read = others.filter((each) => each === 'read').length;
    const fresh = others.filter((each) => each === 'fresh').length;
    const needed = this.neededUnder(record, others.length - fresh);
    if (read < needed) {
      this.logIncomplete(record, needed, progress);
      return;
    }
    this.nextDeclarationAt = runtime.now() + DECLARATION_MILLISECONDS;
    replica.markReady(`read ${read} of ${others.length} others, ${fresh} of them fresh`);
  }

  private progressUnder(record: MemberRecord): ReadonlyMap<string, ReadProgress> {
    const { id: own, viewOf } = this.options;
    const others = record.members.filter((member) => member.id !== own);
    return new Map(others.map(({ id }) => [id, progressOf(viewOf(id), record.epoch)]));
  }

  private neededUnder(record: MemberRecord, otherAcknowledgers: number): number {
    if (record.members.length === 1) {
      return 0;
    }
    const own = this.options.replica.isFresh ? 0 : 1;
    return recoveryReadQuorum(otherAcknowledgers + own);
  }

  /** Tells what is known of each other member while too few complete ones have been read. */
  private logIncomplete(
    { epoch }: MemberRecord,
    needed: number,
    progress: ReadonlyMap<string, ReadProgress>,
  ): void {
    const { runtime } = this.options;
    if (runtime.now() < this.nextLogAt) {
      return;
    }
    this.nextLogAt = runtime.now() + LOG_INTERVAL_MILLISECONDS;
    const others = [...progress].map(([id, each]) => `${id}=${each}`).join(' ');
    const fields = { event: 'replica.incomplete', epoch, needed, others };
    runtime.log('info', 'too few complete replicas have been read', fields);
  }
}
