/**
 * Records at the replicas where streams began, and finds it there. Nothing waits for a record: a stream whose record is
 * lost can't be resumed elsewhere, but is never continued at a wrong version.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { MemberDirectory } from './member-directory.js';
import { majorityOf, MINIMUM_MEMBERS } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaReply } from './messages.js';
import { membersForKey } from './quorum-write.js';
import type { ReplicaCaller } from './replica-caller.js';
import type { StreamOrigin, StreamOriginEntry } from './stream-origins.js';

/** Dependencies of a {@link StreamOriginClient}. */
export interface StreamOriginClientOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Distances to the zones of the members. @default none */
  readonly distances?: ZoneDistances | undefined;
}

/** Timeout of a message with records, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 500;
/** Timeout of a question, in milliseconds, beside the round trip to another region. */
const FIND_TIMEOUT_MILLISECONDS = 150;
/** Largest number of records in a message. */
const MAXIMUM_BATCH = 500;
/** Largest number of records that wait for one member; beyond, the oldest are dropped. */
const MAXIMUM_WAITING = 20_000;

/** Records for one member; one message is under way at a time. */
interface MemberQueue {
  waiting: StreamOriginEntry[];
  isSending: boolean;
}

/** Returns the members that hold the record of a stream: as many as survive the losses that a majority does. */
function holdersOf(record: MemberRecord, stream: string): Member[] {
  const count = Math.max(MINIMUM_MEMBERS, majorityOf(record));
  return membersForKey(record, stream).slice(0, count);
}

/** The gateway's client for the origins of streams. */
export class StreamOriginClient {
  private readonly queues = new Map<string, MemberQueue>();

  constructor(private readonly options: StreamOriginClientOptions) {}

  /** Sends the origin of a stream to its holders, without confirmation. */
  record(entry: StreamOriginEntry): void {
    const record = this.options.directory.current;
    if (record === undefined) {
      return;
    }
    for (const member of holdersOf(record, entry.stream)) {
      const queue = this.queues.get(member.id) ?? { waiting: [], isSending: false };
      this.queues.set(member.id, queue);
      queue.waiting.push(entry);
      if (queue.waiting.length > MAXIMUM_WAITING) {
        queue.waiting.shift();
      }
      this.send(member, queue);
    }
  }

  /**
   * Asks the members for the origin of a stream; calls back with the first one found, or undefined.
   * @param isMajorityEnough whether a majority that has no record is enough to conclude that there is none
   */
  find(
    stream: string,
    remainingMilliseconds: number,
    isMajorityEnough: boolean,
    done: (origin: StreamOrigin | undefined) => void,
  ): void {
    const { directory, caller, distances } = this.options;
    const record = directory.current;
    if (record === undefined || record.members.length === 0) {
      done(undefined);
      return;
    }
    const { members } = record;
    const needed = isMajorityEnough ? majorityOf(record) : members.length;
    let denials = 0;
    let pending = members.length;
    let isFinished = false;
    const finish = (origin: StreamOrigin | undefined): void => {
      if (!isFinished) {
        isFinished = true;
        done(origin);
      }
    };
    const handleReply = (reply: ReplicaReply | undefined): void => {
      pending -= 1;
      const isReply = reply?.type === 'originFound';
      if (isReply && reply.found) {
        finish({ service: reply.service, version: reply.version });
        return;
      }
      denials += isReply ? 1 : 0;
      if (pending === 0 || denials >= needed) {
        finish(undefined);
      }
    };
    for (const member of members) {
      const allowance = distances?.allowanceMilliseconds(member.zone) ?? 0;
      const timeout = Math.min(remainingMilliseconds, FIND_TIMEOUT_MILLISECONDS + allowance);
      caller.call(member, { type: 'findOrigin', stream }, timeout, handleReply);
    }
  }

  private send(member: Member, queue: MemberQueue): void {
    if (queue.isSending) {
      return;
    }
    if (queue.waiting.length === 0) {
      this.queues.delete(member.id);
      return;
    }
    queue.isSending = true;
    const entries = queue.waiting.splice(0, MAXIMUM_BATCH);
    const request = { type: 'recordOrigins' as const, entries };
    this.options.caller.call(member, request, RECORD_TIMEOUT_MILLISECONDS, () => {
      queue.isSending = false;
      this.send(member, queue);
    });
  }
}
