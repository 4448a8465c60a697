/** What is known of the kinds that are read at the other end of one connection; asked when first needed. */
import type { ReplicaRequest } from './messages.js';
import { messageKindOf } from './messages.js';
import { BASELINE_KIND_COUNT } from './protocol-negotiation.js';

/** Asks for the number of kinds; undefined when it can't be told now. */
export type KindCountQuery = (done: (kinds: number | undefined) => void) => void;

/** See the head of this file. */
export class ConnectionProtocol {
  private kindCount: number | undefined;
  private waiting: ((kinds: number) => void)[] = [];

  constructor(private readonly queryKindCount: KindCountQuery) {}

  /** Calls back with whether a request is read there: at once when that is known. */
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
      // Until it is known, what every build reads is sent; the next request asks again.
      waiting.forEach((each) => each(kinds ?? BASELINE_KIND_COUNT));
    });
  }
}
