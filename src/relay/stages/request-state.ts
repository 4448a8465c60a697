/** State of one relayed request, shared by its stages and attempts. */
import type { RelayContext } from '../relay-context.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { FoundOrigin, OriginSource } from '../runners/resumable-streams.js';
import type { StreamOrigin } from '../../turns/stream-origins.js';
import type { FoundOutput } from '../../turns/stream-outputs.js';

/** Called when a request has finished, with the number of tokens delivered to the client. */
export type FinishListener = (deliveredTokens: number) => void;

/** Predicted wait of a turn at a runner, and what it is based on; times in milliseconds. */
export interface PredictedWait {
  readonly waitMilliseconds: number;
  readonly turnMilliseconds: number;
  /** Share of the requests in flight that go before the turn, 0 to 1. */
  readonly aheadShare: number;
}

/** State of one request; listeners release its resources when it finishes. */
export class RequestState {
  /** Body to send to the runner. */
  body: Buffer;
  /** Local time at which the timeout of the client or of the route expires, in milliseconds. */
  readonly expiresAt: number;
  /** Wait at a runner that admission predicted for this turn; undefined if it predicted none. */
  predictedWait: PredictedWait | undefined;
  /** Name of a rule that excluded a runner from the last placement; undefined if none did. */
  excludedBy: string | undefined;
  /** Where the stream of the answer began; undefined before the first event of a new one. */
  origin: StreamOrigin | undefined;
  /** What the origin of a stream that the client resumes was taken from; undefined for a new stream. */
  originSource: OriginSource | undefined;
  /** The stream that the request continues without naming it; undefined if it does, or if the stream isn't known. */
  unnamedStream: string | undefined;
  /** What the client has received of the turn that it resumes; undefined for other requests. */
  receivedOutput: FoundOutput | undefined;
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

  /** Whether this is the first request of a program, as far as this gateway knows. */
  get startsProgram(): boolean {
    return this.isProgramStart;
  }

  /** Records that the program has already run through another gateway. */
  markProgramStarted(): void {
    this.isProgramStart = false;
  }

  /** Milliseconds until the request expires. */
  get remainingMilliseconds(): number {
    return this.expiresAt - this.context.runtime.now();
  }

  /** Service of the request, chosen on first access; undefined if the route has none. */
  get service(): string | undefined {
    this.selectedService ??= this.context.split.pick(this.request.route, this.routingKey);
    return this.selectedService;
  }

  /** Continues a stream of which the client has received events: only runners of its origin may get the request. */
  continueAt({ origin, source, stream }: FoundOrigin): void {
    this.origin = origin;
    this.originSource = source;
    this.unnamedStream = stream;
    this.selectedService = origin.service;
  }

  /** Key by which requests are routed together: the program, the object, or the request alone. */
  get routingKey(): string {
    const { program, affinityKey, id } = this.request;
    return program?.program ?? affinityKey ?? id;
  }

  /** Whether the request was answered or its client disconnected. */
  get isFinished(): boolean {
    return this.deliveredTokens !== undefined;
  }

  /** Adds a listener for the end of the request; called at once if the request has finished. */
  onFinish(listener: FinishListener): void {
    if (this.deliveredTokens === undefined) {
      this.finishListeners.push(listener);
    } else {
      listener(this.deliveredTokens);
    }
  }

  /**
   * Replaces the body to send to the runner; the new body counts towards the memory budget until
   * the end.
   */
  replaceBody(body: Buffer): void {
    this.body = body;
    const allocation = this.context.memory.allocate('bodies');
    allocation.set(body.length);
    this.onFinish(() => allocation.release());
  }

  /** Marks the request as finished and calls the listeners. */
  finish(deliveredTokens: number): void {
    this.deliveredTokens = deliveredTokens;
    const listeners = this.finishListeners;
    this.finishListeners = [];
    listeners.forEach((listener) => listener(deliveredTokens));
  }
}
