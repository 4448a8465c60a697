/**
 * Which kinds of messages the process at the other end of a connection reads. Kinds are append only, so their
 * number says all. A replica tells it in the reply to the question whether it is there, which every build
 * understands; it holds for one connection, since a process that begins again with another build needs a new one.
 */
import { decodeSections, encodeSections } from '../wire/sections.js';
import { REPLICA_MESSAGE_KINDS } from './messages.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';

/** Kinds that every build reads which this one may meet. */
export const BASELINE_KIND_COUNT = REPLICA_MESSAGE_KINDS.indexOf('askSilences');
/** Kinds of builds that read the newest question of that time, and tell nothing of it. */
export const UNANNOUNCED_KIND_COUNT = REPLICA_MESSAGE_KINDS.indexOf('notKnown');

/** Section that holds the number of kinds; append only. */
const KIND_COUNT_SECTION = 1;

/** What a replica tells of itself. */
export function encodeKindCount(): Buffer {
  const content = Uint8Array.of(REPLICA_MESSAGE_KINDS.length);
  return Buffer.from(encodeSections([{ kind: KIND_COUNT_SECTION, content }]));
}

/** Number of kinds that a reply tells; undefined when it tells none. */
export function decodeKindCount(reply: ReplicaReply | undefined): number | undefined {
  if (reply?.type !== 'chained') {
    return undefined;
  }
  try {
    const sections = decodeSections(reply.body);
    return sections.find(({ kind }) => kind === KIND_COUNT_SECTION)?.content[0];
  } catch {
    // No build tells this: the sender's kinds stay unknown.
    return undefined;
  }
}

/** The form of a request for builds that don't know its kind; undefined when there is none. */
export function fallbackRequestOf(request: ReplicaRequest): ReplicaRequest | undefined {
  return request.type === 'chainUnder'
    ? { type: 'chain', call: request.call, turn: request.turn }
    : undefined;
}

/** The reply to an older form, as far as it answers the request: who wasn't told the members denies nothing. */
export function adaptFallbackReply(reply: ReplicaReply): ReplicaReply {
  const isDenial = reply.type === 'chained' && reply.state === 'missing';
  return isDenial ? { ...reply, state: 'unsure' } : reply;
}
