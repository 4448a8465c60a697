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
import { RecordQueue } from './record-queue.js';
import type { ReplicaCaller, UnnumberedRequest } from './replica-caller.js';
import type {
  FoundContent,
  StreamContent,
  StreamContentEntry,
  StreamOrigin,
  StreamOriginEntry,
} from './stream-origins.js';

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
/** Pause before a member whose connection failed is asked again, in milliseconds. */
const RETRY_MILLISECONDS = 40;
/** Base in which a content is written as a key. */
const HEXADECIMAL = 16;

/** Returns the members that hold a record: as many as survive the losses that a majority does. */
function holdersOf(record: MemberRecord, key: string): Member[] {
  const count = Math.max(MINIMUM_MEMBERS, majorityOf(record));
  return membersForKey(record, key).slice(0, count);
}

/** Returns the key by which the holders of a content are chosen. */
function contentKey(content: StreamContent): string {
  return content.toString(HEXADECIMAL);
}

/** The gateway's client for the origins of streams. */
export class StreamOriginClient {
  private readonly origins: RecordQueue<StreamOriginEntry>;
  private readonly contents: RecordQueue<StreamContentEntry>;

  constructor(private readonly options: StreamOriginClientOptions) {
    const { caller } = options;
    this.origins = new RecordQueue((member, entries, done) =>
      caller.call(member, { type: 'recordOrigins', entries }, RECORD_TIMEOUT_MILLISECONDS, done),
    );
    this.contents = new RecordQueue((member, entries, done) =>
      caller.call(member, { type: 'recordContents', entries }, RECORD_TIMEOUT_MILLISECONDS, done),
    );
  }

  /** Sends the origin of a stream to its holders, without confirmation. */
  record(entry: StreamOriginEntry): void {
    const record = this.options.directory.current;
    if (record !== undefined) {
      this.origins.add(entry, holdersOf(record, entry.stream));
    }
  }

  /** Sends the stream of a content to its holders, without confirmation. */
  recordContent(entry: StreamContentEntry): void {
    const record = this.options.directory.current;
    if (record !== undefined) {
      this.contents.add(entry, holdersOf(record, contentKey(entry.content)));
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
    done: (origin: StreamOrigin | undefined, isAnswered: boolean) => void,
  ): void {
    const record = this.options.directory.current;
    const needed = isMajorityEnough && record !== undefined ? majorityOf(record) : Infinity;
    let denials = 0;
    let origin: StreamOrigin | undefined;
    const isDecided = (reply: ReplicaReply | undefined): boolean => {
      if (reply?.type === 'originFound' && reply.found) {
        origin = { service: reply.service, version: reply.version };
      } else if (reply?.type === 'originFound') {
        denials += 1;
      }
      return origin !== undefined || denials >= needed;
    };
    this.askMembers(
      { type: 'findOrigin', stream },
      remainingMilliseconds,
      isDecided,
      (isAnswered) => done(origin, isAnswered),
    );
  }

  /**
   * Asks the members for the stream that has a content. What they know is complete if a majority answers, and one of the holders
   * would know other streams of the last minute that have it.
   */
  findContent(
    content: StreamContent,
    remainingMilliseconds: number,
    done: (found: FoundContent, isAnswered: boolean) => void,
  ): void {
    const record = this.options.directory.current;
    const holders = record === undefined ? [] : holdersOf(record, contentKey(content));
    const answers: FoundContent[] = [];
    let isComplete = false;
    const isDecided = (reply: ReplicaReply | undefined, { id }: Member): boolean => {
      if (reply?.type === 'contentFound') {
        answers.push(reply);
        isComplete ||= reply.isComplete && holders.some((holder) => holder.id === id);
      }
      return false;
    };
    const question = { type: 'findContent' as const, content };
    this.askMembers(question, remainingMilliseconds, isDecided, (isAnswered) => {
      const streams = new Set(
        answers.map(({ stream }) => stream).filter((stream) => stream !== ''),
      );
      const isShared = streams.size > 1 || answers.some((answer) => answer.isShared);
      const [stream] = streams;
      done({ stream: stream ?? '', isShared, isComplete: isComplete && isAnswered }, isAnswered);
    });
  }

  /**
   * Sends a question to all members; `done` is called once, when a reply decides or after the last one, with whether a majority
   * answered. A deployment without members has nothing to answer.
   */
  private askMembers(
    question: UnnumberedRequest,
    remainingMilliseconds: number,
    isDecided: (reply: ReplicaReply | undefined, member: Member) => boolean,
    done: (isAnswered: boolean) => void,
  ): void {
    const { runtime, directory, caller, distances } = this.options;
    const members = directory.current?.members ?? [];
    let pending = members.length;
    if (pending === 0) {
      done(true);
      return;
    }
    let answers = 0;
    let isFinished = false;
    const handleReply = (reply: ReplicaReply | undefined, member: Member): void => {
      pending -= 1;
      answers += reply === undefined ? 0 : 1;
      if (!isFinished && (isDecided(reply, member) || pending === 0)) {
        isFinished = true;
        done(answers * 2 > members.length);
      }
    };
    const until = runtime.now() + Math.min(remainingMilliseconds, FIND_TIMEOUT_MILLISECONDS);
    const ask = (member: Member): void => {
      const allowance = distances?.allowanceMilliseconds(member.zone) ?? 0;
      const timeout = Math.min(remainingMilliseconds, until - runtime.now() + allowance);
      caller.call(member, question, timeout, (reply) => {
        // A connection that was just cut fails at once, and the next one may work.
        if (reply === undefined && runtime.now() + RETRY_MILLISECONDS < until && !isFinished) {
          runtime.setTimer(RETRY_MILLISECONDS, () => ask(member));
        } else {
          handleReply(reply, member);
        }
      });
    };
    members.forEach(ask);
  }
}
