/** The progress of one request through the stages and its tries: what they share of it, and what its end gives back. */
import type { RelayContext } from '../relay-context.js';
import type { RelayRequest } from '../request/relay-request.js';

/** Told when the request is over, with the tokens that were handed to the client. */
export type FinishListener = (deliveredTokens: number) => void;

/** See the head of this file. */
export class RequestState {
  /** What goes on to the runner. */
  body: Buffer;
  /** Local time after which its client or its route waits no longer, in milliseconds. */
  readonly expiresAt: number;
  private isProgramStart: boolean;
  private selectedService: string | undefined;
  private finishListeners: FinishListener[] = [];
  private deliveredTokens: number | undefined;

  constructor(
    readonly context: RelayContext,
    readonly request: RelayRequest,
  ) {
    this.body = request.body;
    this.expiresAt = Math.min(
      request.arrivedAt + request.route.timeoutMilliseconds,
      request.deadlineAt,
    );
    const { route, program, previousTurn } = request;
    const isFirstTurn = route.kind === 'stream' && previousTurn === undefined;
    this.isProgramStart = isFirstTurn && !context.admission.isAdmitted(program?.program ?? '');
  }

  /** Whether it is the first request of a program, as far as is known here. */
  get startsProgram(): boolean {
    return this.isProgramStart;
  }

  /** Notes that its program has run through another gateway. */
  markProgramStarted(): void {
    this.isProgramStart = false;
  }

  /** Milliseconds until its time is over. */
  get remainingMilliseconds(): number {
    return this.expiresAt - this.context.runtime.now();
  }

  /** Service that serves it, picked when it is first asked for; undefined when its route has none. */
  get service(): string | undefined {
    this.selectedService ??= this.context.split.pick(this.request.route, this.routingKey);
    return this.selectedService;
  }

  /** What keeps requests together: the program, the object, or the request alone. */
  get routingKey(): string {
    const { program, affinityKey, id } = this.request;
    return program?.program ?? affinityKey ?? id;
  }

  /** Whether its client was answered or left. */
  get isFinished(): boolean {
    return this.deliveredTokens !== undefined;
  }

  /** Asks to be told when the request is over; at once if it is. */
  onFinish(listener: FinishListener): void {
    if (this.deliveredTokens === undefined) {
      this.finishListeners.push(listener);
    } else {
      listener(this.deliveredTokens);
    }
  }

  /** Sets what goes on to the runner where that is not the client's own body; it counts until the end. */
  replaceBody(body: Buffer): void {
    this.body = body;
    const allocation = this.context.memory.allocate('bodies');
    allocation.set(body.length);
    this.onFinish(() => allocation.release());
  }

  /** Notes that the request is over. */
  finish(deliveredTokens: number): void {
    this.deliveredTokens = deliveredTokens;
    const listeners = this.finishListeners;
    this.finishListeners = [];
    listeners.forEach((listener) => listener(deliveredTokens));
  }
}
