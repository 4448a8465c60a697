/**
 * Negotiation of the message kinds that the peer of a connection can decode. Kinds are append-only, so their count
 * suffices. A replica announces its count in the reply to the presence probe, which every build understands. The count
 * is valid for one connection, since a process restarted with another build needs a new connection.
 */
import { decodeSections, encodeSections } from '../wire/sections.js';
import { REPLICA_MESSAGE_KINDS } from './messages.js';
import type { ReplicaReply, ReplicaRequest } from './messages.js';

/** Number of message kinds that every supported build can decode. */
export const BASELINE_KIND_COUNT = REPLICA_MESSAGE_KINDS.indexOf('askSilences');
/** Number of message kinds of builds that decode `chainUnder` but do not announce their count. */
export const UNANNOUNCED_KIND_COUNT = REPLICA_MESSAGE_KINDS.indexOf('notKnown');

/** Kind of the section that holds the message kind count; section kinds are append-only. */
const KIND_COUNT_SECTION = 1;

/** Encodes this build's message kind count as the body of a probe's reply. */
export function encodeKindCount(): Buffer {
  const content = Uint8Array.of(REPLICA_MESSAGE_KINDS.length);
  return Buffer.from(encodeSections([{ kind: KIND_COUNT_SECTION, content }]));
}

/** Returns the message kind count announced in a probe's reply; undefined when it announces none. */
export function decodeKindCount(reply: ReplicaReply | undefined): number | undefined {
  if (reply?.type !== 'chained') {
    return undefined;
  }
  try {
    const sections = decodeSections(reply.body);
    return sections.find(({ kind }) => kind === KIND_COUNT_SECTION)?.content[0];
  } catch {
    // The body is malformed, so the peer's kinds remain unknown.
    return undefined;
  }
}

/** Returns an equivalent request for builds that do not know this kind; undefined when there is none. */
export function fallbackRequestOf(request: ReplicaRequest): ReplicaRequest | undefined {
  switch (request.type) {
    case 'chainUnder':
      return { type: 'chain', call: request.call, turn: request.turn };
    case 'pullAndBorrow':
      return { ...request, type: 'pull' };
    case 'spendForProgram': {
      const { call, epoch, quota } = request;
      const { startsProgram, assumedRequests, patienceMilliseconds } = request.request;
      const beginsRequests = startsProgram ? assumedRequests : 0;
      return { type: 'spend', call, epoch, quota, beginsRequests, patienceMilliseconds };
    }
    default:
      return undefined;
  }
}

/** Adapts the reply to a fallback request: `missing` becomes `unsure`, as the request did not carry the epoch. */
export function adaptFallbackReply(reply: ReplicaReply): ReplicaReply {
  const isDenial = reply.type === 'chained' && reply.state === 'missing';
  return isDenial ? { ...reply, state: 'unsure' } : reply;
}
