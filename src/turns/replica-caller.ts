/** Calls from a gateway or a replica to replicas, as the logic sees them. */
import type { Member } from './membership.js';
import type { OneWayMessage, ReplicaReply, ReplicaRequest } from './messages.js';

/** A request without its number, which the caller gives. */
export type UnnumberedRequest = ReplicaRequest extends infer Request
  ? Request extends ReplicaRequest
    ? Omit<Request, 'call'>
    : never
  : never;

/** Asks whether a replica is there: the turn never exists, so the question changes nothing. */
export const PRESENCE_PROBE: UnnumberedRequest = { type: 'chain', turn: '' };

/** Receives the reply, or undefined when none came: the request may or may not have been taken. */
export type ReplyListener = (reply: ReplicaReply | undefined) => void;

/** See the head of this file. */
export interface ReplicaCaller {
  call(
    member: Member,
    request: UnnumberedRequest,
    timeoutMilliseconds: number,
    listener: ReplyListener,
  ): void;
  /** Sends something to which nothing comes back. */
  notify(member: Member, message: OneWayMessage): void;
}
