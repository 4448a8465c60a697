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
  readonly request: ColdRequest;
  readonly at: number;
}

interface ServiceQueue {
  waiting: Waiting[];
  /** Requests that were released and whose send is not recorded yet, oldest first. */
  releases: Release[];
  /** Number of sends to cold runners when `releases` was last updated. */
  knownSends: number;
  cancelPoll: CancelTimer | undefined;
}

const GO_ON: ColdResult = { tag: 'GoOn' };
/** Longest time for which a released request is expected to be sent, while a connection is opened, in milliseconds. */
const MAXIMUM_RELEASE_MILLISECONDS = 300;
/** Longest and shortest time between two checks of a queue, in milliseconds. */
const MAXIMUM_POLL_MILLISECONDS = 50;
const MINIMUM_POLL_MILLISECONDS = 5;

/** Queues of requests for cold runners, by service. */
export class ColdQueue {
  private readonly queues = new Map<string, ServiceQueue>();

  /** @param sendCount returns the number of requests sent to cold runners of a service so far */
  constructor(
    private readonly runtime: Runtime,
    private readonly sendCount: (service: string) => number,
  ) {}

  /** Decides at once, or queues the request and decides later. */
  enter(request: ColdRequest): void {
    const queue = this.queueOf(request.service);
    const pending = this.pendingReleases(request.service, queue);
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
    this.schedulePoll(request.service, queue, delay);
  }

  private queueOf(service: string): ServiceQueue {
    let queue = this.queues.get(service);
    if (queue === undefined) {
      const knownSends = this.sendCount(service);
      queue = { waiting: [], releases: [], knownSends, cancelPoll: undefined };
      this.queues.set(service, queue);
    }
    return queue;
  }

  private release(queue: ServiceQueue, request: ColdRequest): void {
    queue.releases.push({ request, at: this.runtime.now() });
    request.done(GO_ON);
  }

  /** Returns the number of released requests whose send is expected and not recorded yet. */
  private pendingReleases(service: string, queue: ServiceQueue): number {
    const sends = this.sendCount(service);
    const since = this.runtime.now() - MAXIMUM_RELEASE_MILLISECONDS;
    queue.releases = queue.releases
      .slice(sends - queue.knownSends)
      .filter(({ request, at }) => at > since && !request.isCancelled());
    queue.knownSends = sends;
    return queue.releases.length;
  }

  private schedulePoll(service: string, queue: ServiceQueue, delayMilliseconds: number): void {
    const delay = Math.max(
      MINIMUM_POLL_MILLISECONDS,
      Math.min(MAXIMUM_POLL_MILLISECONDS, delayMilliseconds),
    );
    queue.cancelPoll ??= this.runtime.setTimer(delay, () => {
      queue.cancelPoll = undefined;
      this.poll(service, queue);
    });
  }

  private poll(service: string, queue: ServiceQueue): void {
    const now = this.runtime.now();
    queue.waiting = queue.waiting.filter(({ request }) => !request.isCancelled());
    const expired = queue.waiting.filter(({ expiresAt }) => expiresAt <= now);
    queue.waiting = queue.waiting.filter(({ expiresAt }) => expiresAt > now);
    let nextDelay = Infinity;
    while (queue.waiting.length > 0) {
      const { request } = queue.waiting[0]!;
      const { hasOtherRunner, permitDelays } = request.outlook();
      const pending = this.pendingReleases(service, queue);
      const delay = hasOtherRunner ? 0 : (permitDelays[pending] ?? Infinity);
      if (delay > 0) {
        nextDelay = delay;
        break;
      }
      queue.waiting.shift();
      if (hasOtherRunner) {
        request.done(GO_ON);
      } else {
        this.release(queue, request);
      }
    }
    expired.forEach(({ request }) => {
      const [delayMilliseconds] = request.outlook().permitDelays;
      request.done({ tag: 'Refuse', delayMilliseconds });
    });
    if (queue.waiting.length > 0) {
      this.schedulePoll(service, queue, nextDelay);
    }
  }
}
