/**
 * Records at the replicas where streams began, and finds it there. Nothing waits for a record: a stream whose record is
 * lost can't be resumed elsewhere, but is never continued at a wrong version.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { MemberDirectory } from './member-directory.js';
import { askMembers, holdersOf } from './member-questions.js';
import { majorityOf } from './membership.js';
import type { Member } from './membership.js';
import type { ReplicaReply } from './messages.js';
import { RecordQueue } from './record-queue.js';
import type { ReplicaCaller } from './replica-caller.js';
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
/** Base in which a content is written as a key. */
const HEXADECIMAL = 16;

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
    const question = { type: 'findOrigin' as const, stream };
    askMembers(this.options, question, remainingMilliseconds, isDecided, (isAnswered) =>
      done(origin, isAnswered),
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
    askMembers(this.options, question, remainingMilliseconds, isDecided, (isAnswered) => {
      const streams = new Set(
        answers.map(({ stream }) => stream).filter((stream) => stream !== ''),
      );
      const isShared = streams.size > 1 || answers.some((answer) => answer.isShared);
      const [stream] = streams;
      done({ stream: stream ?? '', isShared, isComplete: isComplete && isAnswered }, isAnswered);
    });
  }
}
