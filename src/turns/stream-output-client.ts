/**
 * Records at the replicas what clients receive of turns that they may resume, and reads it there. Nothing waits for a record: a turn
 * whose record is lost can't be resumed, but is never stored without its beginning.
 */
import { askMembers, holdersOf } from './member-questions.js';
import type { MemberQuestionOptions } from './member-questions.js';
import type { ReplicaReply } from './messages.js';
import type { FoundOutput, OutputPart } from './stream-outputs.js';

/** Timeout of a message with events, in milliseconds. */
const RECORD_TIMEOUT_MILLISECONDS = 500;

/** The gateway's client for the output of unfinished turns. */
export class StreamOutputClient {
  constructor(private readonly options: MemberQuestionOptions) {}

  /** Sends events to the holders of their stream, without confirmation. */
  record(part: OutputPart): void {
    const { directory, caller } = this.options;
    const record = directory.current;
    if (record === undefined) {
      return;
    }
    const request = { type: 'recordOutput' as const, ...part, events: [...part.events] };
    for (const member of holdersOf(record, part.stream)) {
      caller.call(member, request, RECORD_TIMEOUT_MILLISECONDS, () => undefined);
    }
  }

  /**
   * Asks the members for the output of a stream up to an event; calls back with the first one found, or undefined.
   * `isAnswered` tells whether a majority answered.
   */
  find(
    stream: string,
    lastEvent: string,
    remainingMilliseconds: number,
    done: (found: FoundOutput | undefined, isAnswered: boolean) => void,
  ): void {
    let found: FoundOutput | undefined;
    const isDecided = (reply: ReplicaReply | undefined): boolean => {
      if (reply?.type === 'outputFound' && reply.found) {
        const { position, checksum, output } = reply;
        found = { position, checksum, output };
      }
      return found !== undefined;
    };
    const question = { type: 'findOutput' as const, stream, lastEvent };
    askMembers(this.options, question, remainingMilliseconds, isDecided, (isAnswered) =>
      done(found, isAnswered),
    );
  }
}
