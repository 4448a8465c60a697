/**
 * Decides when a replica's state is complete: once it has read the logs of enough complete members to their ends
 * under the current epoch. Members that have never acknowledged a write are excluded: they hold nothing that could
 * be missed, and two of them waiting for each other would never finish.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { MemberDirectory } from './member-directory.js';
import { hasMember, recoveryReadQuorum } from './membership.js';
import type { MemberRecord } from './membership.js';
import type { PeerView } from './peer-progress.js';
import type { Replica } from './replica.js';

/** Minimum interval between two log entries on why the state is still incomplete, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000;
/** Time for which no second ready mark is written, since the first may still be in flight to disk, in milliseconds. */
export const DECLARATION_MILLISECONDS = 300;

/** How far an incomplete replica has read the log of another member; written to the log. */
type ReadProgress =
  /** The member has not replied yet. */
  | 'unheard'
  /** The member's own state is incomplete. */
  | 'inactive'
  /** The member's state is incomplete, and the member has never acknowledged a write. */
  | 'fresh'
  /** The member is complete, but its log has not been read to its end under the current epoch. */
  | 'reading'
  /** The member's log was read to its end under the current epoch. */
  | 'read';

/** Dependencies of a {@link CompletenessCheck}. */
export interface CompletenessCheckOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly replica: Replica;
  readonly directory: MemberDirectory;
  /** Read progress in another member's log; undefined before its first reply. */
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

/** Marks a replica as ready once it has read the logs of enough complete members. */
export class CompletenessCheck {
  private nextDeclarationAt = -Infinity;
  private nextLogAt = -Infinity;

  constructor(private readonly options: CompletenessCheckOptions) {}

  /** Marks the replica as ready if its state is complete. Must be called whenever a log was read to its end. */
  check(): void {
    const { directory, replica, id, runtime } = this.options;
    const { current: record } = directory;
    const isDeclared = runtime.now() < this.nextDeclarationAt;
    if (isDeclared || replica.ready || record === undefined || !hasMember(record, id)) {
      return;
    }
    const progress = this.readProgress(record);
    const others = [...progress.values()];
    const read = others.filter((each) => each === 'read').length;
    const fresh = others.filter((each) => each === 'fresh').length;
    const needed = this.requiredReads(record, others.length - fresh);
    if (read < needed) {
      this.logIncomplete(record, needed, progress);
      return;
    }
    this.nextDeclarationAt = runtime.now() + DECLARATION_MILLISECONDS;
    replica.markReady(`read ${read} of ${others.length} others, ${fresh} of them fresh`);
  }

  private readProgress(record: MemberRecord): ReadonlyMap<string, ReadProgress> {
    const { id: own, viewOf } = this.options;
    const others = record.members.filter((member) => member.id !== own);
    return new Map(others.map(({ id }) => [id, progressOf(viewOf(id), record.epoch)]));
  }

  private requiredReads(record: MemberRecord, otherAcknowledgers: number): number {
    if (record.members.length === 1) {
      return 0;
    }
    const own = this.options.replica.isFresh ? 0 : 1;
    return recoveryReadQuorum(otherAcknowledgers + own);
  }

  /** Logs the read progress of each other member, at most once per interval. */
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
    runtime.log('info', 'replica incomplete: too few complete members have been read', fields);
  }
}
