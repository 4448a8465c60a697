/** Records that some members hold in memory, and questions to all members about them. */
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { MemberDirectory } from './member-directory.js';
import { majorityOf, MINIMUM_MEMBERS } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaReply } from './messages.js';
import { membersForKey } from './quorum-write.js';
import type { ReplicaCaller, UnnumberedRequest } from './replica-caller.js';

/** What is needed to ask the members. */
export interface MemberQuestionOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Distances to the zones of the members. @default none */
  readonly distances?: ZoneDistances | undefined;
}

/** Timeout of a question, in milliseconds, beside the round trip to another region. */
const FIND_TIMEOUT_MILLISECONDS = 150;
/** Pause before a member whose connection failed is asked again, in milliseconds. */
const RETRY_MILLISECONDS = 40;

/** Returns the members that hold a record: as many as survive the losses that a majority does. */
export function holdersOf(record: MemberRecord, key: string): Member[] {
  const count = Math.max(MINIMUM_MEMBERS, majorityOf(record));
  return membersForKey(record, key).slice(0, count);
}

/**
 * Sends a question to all members; `done` is called once, when a reply decides or after the last one, with whether a majority
 * answered. A deployment without members has nothing to answer.
 */
export function askMembers(
  options: MemberQuestionOptions,
  question: UnnumberedRequest,
  remainingMilliseconds: number,
  isDecided: (reply: ReplicaReply | undefined, member: Member) => boolean,
  done: (isAnswered: boolean) => void,
): void {
  const { runtime, directory, caller, distances } = options;
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
