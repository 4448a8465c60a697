/** The port through which gateways and replicas call replicas. */
import type { Member } from './membership.js';
import type { OneWayMessage, ReplicaReply, ReplicaRequest } from './messages.js';

/** A request without its `call` number, which the caller assigns. */
export type UnnumberedRequest = ReplicaRequest extends infer Request
  ? Request extends ReplicaRequest
    ? Omit<Request, 'call'>
    : never
  : never;

/** Checks whether a replica replies. The turn never exists, so the request has no side effects. */
export const PRESENCE_PROBE: UnnumberedRequest = { type: 'chain', turn: '' };

/** Receives the reply, or undefined when there was none; the request may or may not have been executed then. */
export type ReplyListener = (reply: ReplicaReply | undefined) => void;

/** Sends requests and notifications to replicas. */
export interface ReplicaCaller {
  /** Sends a request and calls the listener once, with the reply or after the timeout. */
  call(
    member: Member,
    request: UnnumberedRequest,
    timeoutMilliseconds: number,
    listener: ReplyListener,
  ): void;
  /** Sends a message that has no reply; delivery is not guaranteed. */
  notify(member: Member, message: OneWayMessage): void;
}
