/**
 * Checks that a planned stop or a reload of a gateway cuts no request that a runner ran: each gets a whole answer, unless what the soak
 * itself did explains that it can't.
 */
import type { RunnerBehaviour, RunnerRun } from '../src/emulator/relay-runner.js';
import { TIMEOUT_MILLISECONDS } from './connection-requests.js';
import type { ConnectionRequest } from './connection-requests.js';
import type { SentSignal } from './platform-process.js';
import { SOAK_APPLY_MILLISECONDS, SOAK_GRACE_MILLISECONDS } from './platform-process.js';

/** Time after the grace period in which a connection may still end because of the stop, in milliseconds. */
const END_MILLISECONDS = 1_000;
/** Time before a request in which a disturbance excuses the end of it, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;
/** Time by which a request may be sent earlier than its gateway notes it, in milliseconds. */
const TIMER_MILLISECONDS = 50;
/** Shortest timeout of the repeatable route, in milliseconds. */
const REPEATABLE_TIMEOUT_MILLISECONDS = 2_000;
/** Behaviours of runners that give a whole answer. */
const GOOD_BEHAVIOURS: ReadonlySet<RunnerBehaviour> = new Set(['answer', 'unframed']);

/** Target of the faults that strike runners; a disturbance with it excuses requests at all gateways. */
export const RUNNERS = 'runners';

/**
 * Why a request that ran need not get a whole answer. The end of the grace period is none: a request that may still be answered then
 * has reached its timeout long before.
 */
export type Excuse = 'left' | 'runner' | 'timeout' | 'disturbed';

/** Counts of the requests that ran, and whose connection ended without a whole answer around a planned stop. */
export interface PlannedStopCounts {
  /** Signals for a planned stop or a reload. */
  signals: number;
  /** Requests that ran, were sent to a gateway that was being stopped, and got a whole answer. */
  answered: number;
  lost: number;
  readonly excused: Record<string, number>;
}

/** A fault that is no planned stop. */
interface Disturbance {
  /** Hosts of gateways, or `RUNNERS`. */
  readonly targets: readonly string[];
  readonly from: number;
  until: number;
}

/** Dependencies of the check. */
export interface PlannedStopCheckOptions {
  /** Returns the signals that the soak sent to the gateway at a host. */
  readonly signalsTo: (host: string) => readonly SentSignal[];
  /** Returns the runs of a request, at all runners. */
  readonly runsOf: (id: string) => readonly RunnerRun[];
  readonly violate: (promise: string, detail: string) => void;
}

/** Records disturbances, and looks at the ends of all requests. */
export class PlannedStopCheck {
  readonly counts: PlannedStopCounts = { signals: 0, answered: 0, lost: 0, excused: {} };
  private readonly disturbances: Disturbance[] = [];

  constructor(private readonly options: PlannedStopCheckOptions) {}

  /** Records that a fault which is no planned stop strikes gateways, by host, or `RUNNERS`; returns a function that ends it. */
  disturb(targets: readonly string[], from = performance.now()): (until?: number) => void {
    const disturbance = { targets, from, until: Infinity };
    this.disturbances.push(disturbance);
    return (until = performance.now()) => {
      disturbance.until = until;
    };
  }

  /** Checks requests whose connections have ended, or that were answered. Call when runners run none of them. */
  check(requests: readonly ConnectionRequest[]): void {
    const hosts = new Set(requests.map(({ host }) => host));
    const signals = [...hosts].flatMap((host) => this.options.signalsTo(host));
    this.counts.signals = signals.length;
    requests.forEach((request) => this.checkRequest(request));
  }

  private checkRequest(request: ConnectionRequest): void {
    const signal = this.signalAround(request);
    const run = this.options.runsOf(request.id).at(-1);
    if (signal === undefined || run === undefined) {
      return;
    }
    const { counts } = this;
    if (request.endedAt === undefined) {
      counts.answered += 1;
      return;
    }
    const excuse = this.excuseOf(request, request.endedAt, run);
    if (excuse !== undefined) {
      counts.excused[excuse] = (counts.excused[excuse] ?? 0) + 1;
      return;
    }
    counts.lost += 1;
    const { id, host, behaviour, sentAt, endedAt } = request;
    const sent = `sent ${Math.round(sentAt - signal.at)} ms after ${signal.name}`;
    const ended = `cut ${Math.round(endedAt - signal.at)} ms after it`;
    const ran = `ran ${Math.round(run.startedAt - signal.at)} ms after it`;
    const detail = `request ${id} (${behaviour}) at ${host}, ${sent}, ${ran}, ${ended}`;
    this.options.violate('planned stop', detail);
  }

  /** The signal around which a request ended, or undefined if there is none; a stop goes before a reload. */
  private signalAround({
    host,
    sentAt,
    endedAt,
    answeredAt,
  }: ConnectionRequest): SentSignal | undefined {
    const end = endedAt ?? answeredAt;
    if (end === undefined) {
      return undefined;
    }
    const signals = this.options.signalsTo(host).filter(({ at }) => at <= end);
    const stops = signals.filter(({ name }) => name === 'SIGTERM');
    // Of several to one process, the first begins the stop.
    const begin = stops.find(({ processId }) => processId === stops.at(-1)?.processId);
    const longest = SOAK_GRACE_MILLISECONDS + END_MILLISECONDS;
    const stop = begin !== undefined && end <= begin.at + longest ? begin : undefined;
    const isReload = ({ name, at }: SentSignal): boolean =>
      name === 'SIGHUP' && sentAt <= at + SOAK_APPLY_MILLISECONDS;
    return stop ?? signals.find(isReload);
  }

  private excuseOf(
    { host, kind, sentAt, isAbandoned }: ConnectionRequest,
    endedAt: number,
    run: RunnerRun,
  ): Excuse | undefined {
    if (isAbandoned) {
      return 'left';
    }
    if (!GOOD_BEHAVIOURS.has(run.behaviour)) {
      return 'runner';
    }
    const timeout = kind === 'repeatable' ? REPEATABLE_TIMEOUT_MILLISECONDS : TIMEOUT_MILLISECONDS;
    if (endedAt - sentAt >= timeout - TIMER_MILLISECONDS) {
      return 'timeout';
    }
    const isDisturbed = this.disturbances.some(
      ({ targets, from, until }) =>
        (targets.includes(host) || targets.includes(RUNNERS)) &&
        from <= endedAt &&
        until >= sentAt - CONTACT_MILLISECONDS,
    );
    return isDisturbed ? 'disturbed' : undefined;
  }
}
