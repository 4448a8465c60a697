/** Tells when a request is over, once, whichever way it ends. */

/** Who closed a connection: its client, an answer that said so, or this process without saying so. */
export type ConnectionCloser = 'client' | 'answer' | 'gateway';

/** Completion of one request: its answer was sent, or its connection closed. */
export class RequestCompletion {
  private readonly listeners: (() => void)[] = [];
  private completed = false;
  /** Who closed the connection before the answer was sent; undefined if nobody did. */
  closedBy: ConnectionCloser | undefined;

  /** @param run runs each listener, so that one that throws doesn't keep the others from being called */
  constructor(private readonly run: (listener: () => void) => void = (listener) => listener()) {}

  /** Adds a listener that is called once the request is complete. */
  onComplete(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Marks the request as complete; further calls have no effect. */
  complete(closedBy?: ConnectionCloser): void {
    if (!this.completed) {
      this.completed = true;
      this.closedBy = closedBy;
      this.listeners.forEach((listener) => this.run(listener));
    }
  }
}
