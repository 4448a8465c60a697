/** What is known of the kinds that are read at the other end of one connection; asked when first needed. */
import type { ReplicaRequest } from './messages.js';
import { kindOf } from './messages.js';
import { KINDS_OF_ALL_BUILDS } from './replica-forms.js';

/** Asks for the number of kinds; undefined when it can't be told now. */
export type AskKinds = (done: (kinds: number | undefined) => void) => void;

/** See the head of this file. */
export class LinkKinds {
  private kinds: number | undefined;
  private waiting: ((kinds: number) => void)[] = [];

  constructor(private readonly ask: AskKinds) {}

  /** Calls back with whether a request is read there: at once when that is known. */
  whetherRead(request: ReplicaRequest, done: (isRead: boolean) => void): void {
    const kind = kindOf(request);
    if (kind < KINDS_OF_ALL_BUILDS) {
      done(true);
    } else if (this.kinds !== undefined) {
      done(kind < this.kinds);
    } else {
      this.waitFor((kinds) => done(kind < kinds));
    }
  }

  private waitFor(listener: (kinds: number) => void): void {
    this.waiting.push(listener);
    if (this.waiting.length > 1) {
      return;
    }
    this.ask((kinds) => {
      this.kinds = kinds;
      const { waiting } = this;
      this.waiting = [];
      // Until it is known, what every build reads is sent; the next request asks again.
      waiting.forEach((each) => each(kinds ?? KINDS_OF_ALL_BUILDS));
    });
  }
}
