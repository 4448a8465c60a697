/** The progress of one request through the stages and its tries: what they share of it, and what its end gives back. */
import type { RelayContext } from '../relay-context.js';
import type { RelayRequest } from '../request/relay-request.js';

/** Told when the request is over, with the tokens that were handed to the client. */
export type OverListener = (handedTokens: number) => void;

/** See the head of this file. */
export class Passage {
  /** What goes on to the runner. */
  body: Buffer;
  /** Local time after which its client or its route waits no longer, in milliseconds. */
  readonly endAt: number;
  private isBeginning: boolean;
  private pickedService: string | undefined;
  private overListeners: OverListener[] = [];
  private handedTokens: number | undefined;

  constructor(
    readonly context: RelayContext,
    readonly request: RelayRequest,
  ) {
    this.body = request.body;
    this.endAt = Math.min(
      request.arrivedAt + request.route.timeoutMilliseconds,
      request.deadlineAt,
    );
    const { route, program, previousTurn } = request;
    const isFirst = route.kind === 'stream' && previousTurn === undefined;
    this.isBeginning = isFirst && !context.admission.knows(program?.program ?? '');
  }

  /** Whether it is the first request of a program, as far as is known here. */
  get beginsProgram(): boolean {
    return this.isBeginning;
  }

  /** Notes that its program has run through another gateway. */
  noteUnderWay(): void {
    this.isBeginning = false;
  }

  /** Milliseconds until its time is over. */
  get remainingMilliseconds(): number {
    return this.endAt - this.context.runtime.now();
  }

  /** Service that serves it, picked when it is first asked for; undefined when its route has none. */
  get service(): string | undefined {
    this.pickedService ??= this.context.split.pick(this.request.route, this.key);
    return this.pickedService;
  }

  /** What keeps requests together: the program, the object, or the request alone. */
  get key(): string {
    const { program, affinityKey, id } = this.request;
    return program?.program ?? affinityKey ?? id;
  }

  /** Whether its client was answered or left. */
  get isOver(): boolean {
    return this.handedTokens !== undefined;
  }

  /** Asks to be told when the request is over; at once if it is. */
  onOver(listener: OverListener): void {
    if (this.handedTokens === undefined) {
      this.overListeners.push(listener);
    } else {
      listener(this.handedTokens);
    }
  }

  /** Sets what goes on to the runner where that is not the client's own body; it counts until the end. */
  replaceBody(body: Buffer): void {
    this.body = body;
    const holding = this.context.memory.open('bodies');
    holding.set(body.length);
    this.onOver(() => holding.release());
  }

  /** Notes that the request is over. */
  finish(handedTokens: number): void {
    this.handedTokens = handedTokens;
    const listeners = this.overListeners;
    this.overListeners = [];
    listeners.forEach((listener) => listener(handedTokens));
  }
}
