/** The message kinds that the peer of one connection can decode, queried when first needed. */
import type { ReplicaRequest } from './messages.js';
import { messageKindOf } from './messages.js';
import { BASELINE_KIND_COUNT } from './protocol-negotiation.js';

/** Queries the number of message kinds that the peer knows; calls back with undefined when the query failed. */
export type KindCountQuery = (done: (kinds: number | undefined) => void) => void;

/** Decides, for one connection, whether the peer can decode a request. */
export class ConnectionProtocol {
  private kindCount: number | undefined;
  private waiting: ((kinds: number) => void)[] = [];

  constructor(private readonly queryKindCount: KindCountQuery) {}

  /** Calls back with whether the peer can decode a request; synchronously when that is already known. */
  checkSupport(request: ReplicaRequest, done: (isSupported: boolean) => void): void {
    const kind = messageKindOf(request);
    if (kind < BASELINE_KIND_COUNT) {
      done(true);
    } else if (this.kindCount !== undefined) {
      done(kind < this.kindCount);
    } else {
      this.queryThen((kinds) => done(kind < kinds));
    }
  }

  private queryThen(listener: (kinds: number) => void): void {
    this.waiting.push(listener);
    if (this.waiting.length > 1) {
      return;
    }
    this.queryKindCount((kinds) => {
      this.kindCount = kinds;
      const { waiting } = this;
      this.waiting = [];
      // After a failed query only the baseline kinds are sent; the next request queries again.
      waiting.forEach((each) => each(kinds ?? BASELINE_KIND_COUNT));
    });
  }
}
