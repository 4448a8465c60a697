/**
 * Queues requests whose only runners are cold and have no request to spare, until this gateway may send one to them.
 * A request is queued only if its turn is certain to come within its patience; any other is refused at once. Requests
 * of a service leave the queue in order of arrival.
 */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';

/** What a request can expect of the runners of its service. */
export interface ColdOutlook {
  /** Whether a runner may take the request that is not limited. */
  readonly hasOtherRunner: boolean;
  /** Times until requests may be sent to cold runners, in milliseconds and ascending order; 0 for now. */
  readonly permitDelays: readonly number[];
}

/** A request that asks to be sent. */
export interface ColdRequest {
  readonly service: string;
  /** Longest time that the request may wait, in milliseconds. */
  readonly patienceMilliseconds: number;
  readonly outlook: () => ColdOutlook;
  /** Whether the request has ended meanwhile; it then gives way to the next one. */
  readonly isCancelled: () => boolean;
  /** Called once, when the request may be sent or may wait no longer. */
  readonly done: (result: ColdResult) => void;
}

/** `Refuse` has the time until a request may be sent if no other one comes first; undefined if that is unknown. */
export type ColdResult =
  | { readonly tag: 'GoOn' }
  | { readonly tag: 'Refuse'; readonly delayMilliseconds: number | undefined };

interface Waiting {
  readonly request: ColdRequest;
  readonly expiresAt: number;
}

interface Release {
  readonly at: number;
  /** Number of sends to cold runners that were recorded before. */
  readonly sendCount: number;
}

interface ServiceQueue {
  waiting: Waiting[];
  /** Releases of requests whose send may not be recorded yet. */
  releases: Release[];
  cancelPoll: CancelTimer | undefined;
}

const GO_ON: ColdResult = { tag: 'GoOn' };
/** Time from the release of a request until its send is recorded, while a connection is opened, in milliseconds. */
const CONNECT_MILLISECONDS = 15;
/** Longest and shortest time between two checks of a queue, in milliseconds. */
const MAXIMUM_POLL_MILLISECONDS = 50;
const MINIMUM_POLL_MILLISECONDS = 5;

/** Queues of requests for cold runners, by service. */
export class ColdQueue {
  private readonly queues = new Map<string, ServiceQueue>();

  /** @param sendCount returns the number of requests sent to cold runners so far */
  constructor(
    private readonly runtime: Runtime,
    private readonly sendCount: () => number,
  ) {}

  /** Decides at once, or queues the request and decides later. */
  enter(request: ColdRequest): void {
    const queue = this.queueOf(request.service);
    const pending = this.pendingReleases(queue);
    const { hasOtherRunner, permitDelays } = request.outlook();
    if (hasOtherRunner) {
      request.done(GO_ON);
      return;
    }
    const delay = permitDelays[queue.waiting.length + pending];
    if (queue.waiting.length === 0 && delay === 0) {
      this.release(queue, request);
      return;
    }
    if (delay === undefined || delay > request.patienceMilliseconds) {
      request.done({ tag: 'Refuse', delayMilliseconds: delay ?? permitDelays.at(-1) });
      return;
    }
    const expiresAt = this.runtime.now() + request.patienceMilliseconds;
    queue.waiting.push({ request, expiresAt });
    this.schedulePoll(queue, delay);
  }

  private queueOf(service: string): ServiceQueue {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      queue = { waiting: [], releases: [], cancelPoll: undefined };
      this.queues.set(service, queue);
    }
    return queue;
  }

  private release(queue: ServiceQueue, request: ColdRequest): void {
    queue.releases.push({ at: this.runtime.now(), sendCount: this.sendCount() });
    request.done(GO_ON);
  }

  /** Returns the number of released requests whose send is not recorded yet. */
  private pendingReleases(queue: ServiceQueue): number {
    const since = this.runtime.now() - CONNECT_MILLISECONDS;
    queue.releases = queue.releases.filter(({ at }) => at > since);
    const [first] = queue.releases;
    const recorded = first === undefined ? 0 : this.sendCount() - first.sendCount;
    return Math.max(0, queue.releases.length - recorded);
  }

  private schedulePoll(queue: ServiceQueue, delayMilliseconds: number): void {
    const delay = Math.max(
      MINIMUM_POLL_MILLISECONDS,
      Math.min(MAXIMUM_POLL_MILLISECONDS, delayMilliseconds),
    );
    queue.cancelPoll ??= this.runtime.setTimer(delay, () => {
      queue.cancelPoll = undefined;
      this.poll(queue);
    });
  }

  private poll(queue: ServiceQueue): void {
    const now = this.runtime.now();
    queue.waiting = queue.waiting.filter(({ request }) => !request.isCancelled());
    const expired = queue.waiting.filter(({ expiresAt }) => expiresAt <= now);
    queue.waiting = queue.waiting.filter(({ expiresAt }) => expiresAt > now);
    let nextDelay = Infinity;
    while (queue.waiting.length > 0) {
      const { request } = queue.waiting[0]!;
      const { hasOtherRunner, permitDelays } = request.outlook();
      const delay = hasOtherRunner ? 0 : (permitDelays[this.pendingReleases(queue)] ?? Infinity);
      if (delay > 0) {
        nextDelay = delay;
        break;
      }
      queue.waiting.shift();
      this.release(queue, request);
    }
    expired.forEach(({ request }) => {
      const [delayMilliseconds] = request.outlook().permitDelays;
      request.done({ tag: 'Refuse', delayMilliseconds });
    });
    if (queue.waiting.length > 0) {
      this.schedulePoll(queue, nextDelay);
    }
  }
}
