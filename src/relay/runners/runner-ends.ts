/**
 * What this gateway knows of the ends of runners, and which of its requests were at a runner when it ended.
 *
 * | evidence      | seen when                                                                  | how sure  |
 * | ------------- | -------------------------------------------------------------------------- | --------- |
 * | `refused`     | its address refuses connections                                            | proven    |
 * | `replaced`    | another runner is listed at its address, or it was started again           | proven    |
 * | `misdirected` | another runner answers at its address                                      | presumed  |
 * | `unreachable` | it sends nothing, and no connection to it can be opened                    | presumed  |
 * | `unlisted`    | its entry has gone while requests waited for it and it sent nothing        | presumed  |
 *
 * A presumed end is withdrawn when the runner answers. A connection that is lost proves nothing by itself, and one that
 * stands neither, since its end may not have been read yet: the runner counts as alive if a new one can be opened. Where it
 * matters, the one that takes it is asked which one it is.
 */
import type { Runtime } from '../../runtime/runtime.js';
import type { RelayRequest } from '../request/relay-request.js';
import type { Runner } from './runner.js';
import type { RunnerRecord } from './runner-registry.js';

/** How sure the end of a runner is, by its evidence. */
export const END_EVIDENCE = {
  refused: 'proven',
  replaced: 'proven',
  misdirected: 'presumed',
  unreachable: 'presumed',
  unlisted: 'presumed',
} as const;

/** What shows that a runner has ended. */
export type EndEvidence = keyof typeof END_EVIDENCE;

/** The end of a runner. */
export interface RunnerEnd {
  readonly evidence: EndEvidence;
  /** Local time of the newest evidence, in milliseconds. */
  readonly seenAt: number;
  /** Whether its entry had told before that it would leave. */
  readonly wasAnnounced: boolean;
}

/** What a sender knows of the runners that ended under a request. */
export interface KnownLosses {
  /** Whether runners have ended, or may have ended. */
  readonly isSuspect: boolean;
  /** Number of ends that count. */
  readonly lossCount: number;
  /** Whether one of them came under an earlier send of the same call. */
  readonly isRepeated: boolean;
}

/** A request that was written to a runner and of which the outcome is not known yet. */
export interface Exposure {
  readonly request: RelayRequest;
  readonly record: RunnerRecord;
  /** Local time at which the request was written, in milliseconds. */
  readonly sentAt: number;
  /** What was known of the request when it was sent. */
  readonly known: KnownLosses;
  /** Whether the runner had fallen silent before. */
  readonly isSentInSilence: boolean;
  /** Local time at which its connection was lost or given up, in milliseconds; undefined before. */
  lostAt: number | undefined;
  /** Whether it was given up: by its client, at the end of its time, or by the gateway. */
  isGivenUp: boolean;
  /** Whether its runner had been silent for longer than is usual when it was given up, and has been since. */
  isSilent: boolean;
}

/** The requests that were at a runner when it ended. */
export interface EndExposures {
  /** Requests whose connection was lost, or that waited in silence. */
  readonly lost: readonly Exposure[];
  /** Requests that had been given up shortly before while it was at work, so that it may still have worked on them. */
  readonly givenUp: readonly Exposure[];
}

/** Which runner answers at an address: the expected one, another one, or it is not known. */
export type RunnerIdentity = 'same' | 'other' | 'unknown';

/** Dependencies of {@link RunnerEnds}. */
export interface RunnerEndsOptions {
  readonly runtime: Runtime;
  /** Tries to open a connection to the runner's address. */
  readonly probe: (
    runner: Runner,
    done: (isReachable: boolean, isRefused: boolean) => void,
  ) => void;
  /** Asks which runner answers at the address of a runner. */
  readonly identify: (runner: Runner, done: (identity: RunnerIdentity) => void) => void;
  /** Called when a runner has ended, with the requests that were there; again for those that are found later. */
  readonly onEnd: (
    record: RunnerRecord,
    end: RunnerEnd,
    exposures: EndExposures,
    isFirst: boolean,
  ) => void;
  /** Called when a runner that was presumed to have ended answers. */
  readonly onWithdrawn: (record: RunnerRecord) => void;
  /** Returns whether runners have ended, or may have ended, under a request. */
  readonly isSuspect: (request: RelayRequest) => boolean;
  /** Keeps a connection to a runner open for a time; calls back once, with whether it stood until then. */
  readonly watch: (runner: Runner, milliseconds: number, done: (stood: boolean) => void) => void;
  /** Called when a request was given up, or its connection was lost, and its runner may have ended. */
  readonly onDoubtful: (exposure: Exposure) => void;
  /** Called when a runner answers after the connection of a request was lost or given up. */
  readonly onSurvived: (exposure: Exposure) => void;
}

/** An examination of a runner in progress. */
interface Examination {
  asksIdentity: boolean;
  readonly listeners: (() => void)[];
}

/**
 * Time after the newest evidence for which a runner gets no requests, in milliseconds: about a heartbeat. Evidence may be
 * wrong or out of date, and only a request that is sent there shows it. A later entry at its address is final.
 */
const BELIEF_MILLISECONDS = 1_200;
/** Time after a connection was lost in which a runner that ends still may take new ones, in milliseconds. */
const CLOSING_MILLISECONDS = 5;
/** Time for which a lost request is remembered in case its runner turns out to have ended, in milliseconds. */
const LOST_RETENTION_MILLISECONDS = 10_000;
/**
 * Time after a request was given up in which its runner may still work on it, in milliseconds. A runner drops a request
 * within half a second after the close of its connection has reached it.
 */
const LINGER_MILLISECONDS = 600;
/** Largest number of requests that are remembered for a runner after they were given up while it was at work. */
const MAXIMUM_DROPPED = 64;
/** Bytes of other requests may be read up to this long after the first connection was lost, in milliseconds. */
const READ_SKEW_MILLISECONDS = 50;

/** Returns whether the evidence of an end keeps requests from the runner. */
export function isBelievedEnd({ evidence, seenAt }: RunnerEnd, now: number): boolean {
  return evidence === 'replaced' || now - seenAt < BELIEF_MILLISECONDS;
}

/** Returns the local time until which the end of its runner may have come of a request that was lost or given up. */
function lastEffectAt({ lostAt = Infinity, isGivenUp }: Exposure): number {
  return isGivenUp ? lostAt + LINGER_MILLISECONDS : lostAt;
}

/** Whether a request was given up while its runner was at work, which then may have dropped it. */
function isDropped({ isGivenUp, isSilent }: Exposure): boolean {
  return isGivenUp && !isSilent;
}

/** Detects the ends of runners and the requests that they took along. */
export class RunnerEnds {
  private readonly examinations = new Map<RunnerRecord, Examination>();
  /** Requests that were written and of which the outcome is not known. */
  private readonly pending = new Set<Exposure>();
  /** Requests whose connection was lost and of which it is being found out whether their runner has ended. */
  private readonly examined = new Set<Exposure>();
  /** Runners that are watched for the sake of requests that were given up there. */
  private readonly watched = new Set<RunnerRecord>();

  constructor(private readonly options: RunnerEndsOptions) {}

  /** Records that a request is about to be written to a runner. */
  expose(record: RunnerRecord, request: RelayRequest, known: KnownLosses): Exposure {
    const exposure: Exposure = {
      request,
      record,
      sentAt: this.options.runtime.now(),
      known,
      isSentInSilence: record.isSilent,
      lostAt: undefined,
      isGivenUp: false,
      isSilent: false,
    };
    this.pending.add(exposure);
    return exposure;
  }

  /** Records that the attempt of a request is over, whatever its outcome. */
  settle(exposure: Exposure): void {
    this.pending.delete(exposure);
  }

  /** Returns the requests that may end their runner, or have just done so: written and not answered, or given up a moment ago. */
  *atWork(): Iterable<Exposure> {
    yield* this.pending;
    yield* this.examined;
    const now = this.options.runtime.now();
    for (const { lostExposures } of this.watched) {
      yield* lostExposures.filter((each) => isDropped(each) && lastEffectAt(each) >= now);
    }
  }

  /** Records that the connection of a request was lost; calls back once it is known whether its runner has ended. */
  lose(exposure: Exposure, done: () => void): void {
    const { record } = exposure;
    if (this.isBystander(exposure)) {
      this.options.onSurvived(exposure);
      done();
      return;
    }
    this.markLost(exposure);
    if (record.end === undefined) {
      this.examined.add(exposure);
      this.examine(record, this.isDoubtful(exposure), () => {
        this.examined.delete(exposure);
        if (record.lostExposures.includes(exposure) && this.isDoubtful(exposure)) {
          this.options.onDoubtful(exposure);
        }
        done();
      });
    } else {
      this.report(record, record.end);
      done();
    }
  }

  /**
   * Records that a request was given up without a whole answer; returns whether it has to be seen first that its runner lives.
   */
  abandon(exposure: Exposure): boolean {
    const { record } = exposure;
    if (this.isBystander(exposure)) {
      return false;
    }
    exposure.isGivenUp = true;
    exposure.isSilent = this.hasFallenSilent(exposure);
    const isDoubtful = this.isDoubtful(exposure);
    this.markLost(exposure);
    if (record.end !== undefined) {
      this.report(record, record.end);
    } else if (isDoubtful && record.removedAt !== undefined && record.runner.ready) {
      this.noteEvidence(record, 'unlisted', false);
    } else {
      if (isDoubtful) {
        this.options.onDoubtful(exposure);
        this.examine(record, true, () => undefined);
      }
      this.watch(record);
    }
    return isDoubtful;
  }

  /**
   * Records evidence that a runner has ended.
   * @param wasAnnounced whether its entry had told before that it would leave
   */
  noteEvidence(
    record: RunnerRecord,
    evidence: EndEvidence,
    wasAnnounced = !record.runner.ready || record.removedAt !== undefined,
  ): void {
    const seenAt = this.options.runtime.now();
    const known = record.end;
    if (known === undefined) {
      record.end = { evidence, seenAt, wasAnnounced };
      this.report(record, record.end, true);
    } else {
      const isFinal = known.evidence === 'replaced';
      record.end = { ...known, evidence: isFinal ? known.evidence : evidence, seenAt };
      this.report(record, record.end);
    }
  }

  /** Records that the entry of a runner has gone, which shows its end only if it had fallen silent. */
  noteUnlisted(record: RunnerRecord): void {
    const isWaitedFor = this.lostLately(record).some((each) => !isDropped(each));
    if (isWaitedFor && record.runner.ready) {
      this.noteEvidence(record, 'unlisted');
    }
  }

  /** Records that a runner has begun to answer a request for which it was expected. */
  noteAnswer(record: RunnerRecord): void {
    this.withdrawEnd(record);
    if (record.lostExposures.length > 0) {
      // The answer may have left before the runner ended.
      this.clearLost(record, this.options.runtime.now() - READ_SKEW_MILLISECONDS);
    }
  }

  /** Forgets an end of which the runner's answer shows that it was none, or that the runner was started again. */
  private withdrawEnd(record: RunnerRecord): void {
    if (record.end === undefined || record.end.evidence === 'replaced') {
      return;
    }
    const { evidence, seenAt } = record.end;
    const isPresumed = END_EVIDENCE[evidence] === 'presumed';
    // The answer may have left before the runner ended.
    const isLater = this.options.runtime.now() - seenAt > READ_SKEW_MILLISECONDS;
    if (isPresumed || isLater) {
      record.end = undefined;
    }
    if (isPresumed) {
      this.options.onWithdrawn(record);
    }
  }

  /** Records that a runner lived at a local time, so that requests whose effect would have come before did not end it. */
  private clearLost(record: RunnerRecord, before: number): void {
    for (const exposure of record.lostExposures) {
      if (exposure.lostAt! < before) {
        exposure.isSilent = false;
      }
    }
    const survived = record.lostExposures.filter((each) => lastEffectAt(each) < before);
    record.lostExposures = record.lostExposures.filter((each) => !survived.includes(each));
    survived.forEach((exposure) => this.options.onSurvived(exposure));
  }

  /**
   * Watches a runner until what was given up there can have no effect any more. A connection to it that is closed is a reason
   * to look at once. One that stands does not show that the runner lives, but its bytes or its answer at the end do.
   */
  private watch(record: RunnerRecord): void {
    if (this.watched.has(record)) {
      return;
    }
    this.watched.add(record);
    const milliseconds = LINGER_MILLISECONDS + CLOSING_MILLISECONDS;
    const conclude = (stood: boolean): void => this.concludeWatch(record, stood);
    if (this.hasPendingAt(record)) {
      // The connections of these requests tell as much.
      this.options.runtime.setTimer(milliseconds, () => conclude(true));
    } else {
      this.options.watch(record.runner, milliseconds, conclude);
    }
  }

  private hasPendingAt(record: RunnerRecord): boolean {
    for (const exposure of this.pending) {
      if (exposure.record === record) {
        return true;
      }
    }
    return false;
  }

  private concludeWatch(record: RunnerRecord, stood: boolean): void {
    this.clearLost(record, record.lastReceivedAt - READ_SKEW_MILLISECONDS);
    const now = this.options.runtime.now();
    const isUndecided = (each: Exposure): boolean => isDropped(each) && lastEffectAt(each) <= now;
    if (stood && !record.lostExposures.some(isUndecided)) {
      this.finishWatch(record, true);
      return;
    }
    const examine = (): void => this.examine(record, true, () => this.finishWatch(record, stood));
    if (stood) {
      this.identify(record, (identity) =>
        identity === 'unknown' ? examine() : this.finishWatch(record, true),
      );
    } else {
      examine();
    }
  }

  private finishWatch(record: RunnerRecord, takesConnections: boolean): void {
    this.watched.delete(record);
    const isOpen = takesConnections && record.end === undefined;
    if (isOpen && this.lostLately(record).some(isDropped)) {
      this.watch(record);
    }
  }

  /** Whether a request has waited in a silence that had begun before it was sent, so that it did not cause it. */
  private isBystander({ record, sentAt, isSentInSilence }: Exposure): boolean {
    const wait = this.options.runtime.now() - sentAt;
    return isSentInSilence && wait >= record.inactivity.timeoutMilliseconds;
  }

  /**
   * Whether it has to be seen first that a runner lives: it has sent nothing for longer than is usual in its service, or
   * other runners may have ended under the request.
   */
  private isDoubtful(exposure: Exposure): boolean {
    const { known, request } = exposure;
    return known.isSuspect || this.hasFallenSilent(exposure) || this.options.isSuspect(request);
  }

  private hasFallenSilent({ record, sentAt }: Exposure): boolean {
    const silence = this.options.runtime.now() - Math.max(sentAt, record.lastReceivedAt);
    return silence >= record.inactivity.timeoutMilliseconds;
  }

  private markLost(exposure: Exposure): void {
    const now = this.options.runtime.now();
    exposure.lostAt ??= now;
    const { record } = exposure;
    const since = now - LOST_RETENTION_MILLISECONDS;
    const kept = record.lostExposures.filter(({ lostAt = now }) => lostAt >= since);
    const dropped = kept.filter(isDropped);
    const surplus = dropped.slice(0, Math.max(0, dropped.length + 1 - MAXIMUM_DROPPED));
    record.lostExposures = [...kept.filter((each) => !surplus.includes(each)), exposure];
  }

  /** Returns the requests that may have been at work when the runner was last heard of, or later. */
  private lostLately({ lastReceivedAt, lostExposures }: RunnerRecord): Exposure[] {
    const now = this.options.runtime.now();
    return lostExposures.filter(
      (each) =>
        lastEffectAt(each) >= lastReceivedAt - READ_SKEW_MILLISECONDS &&
        each.lostAt! >= now - LOST_RETENTION_MILLISECONDS,
    );
  }

  private report(record: RunnerRecord, end: RunnerEnd, isFirst = false): void {
    const exposures = this.lostLately(record);
    const lost = exposures.filter((each) => !isDropped(each));
    const dropped = exposures.filter(isDropped);
    // That a runner ended, and that it did under a request that it may have dropped, is too much to presume.
    const isProven = END_EVIDENCE[end.evidence] === 'proven';
    const givenUp = isProven ? dropped : [];
    record.lostExposures = isProven ? [] : dropped;
    if (isFirst || lost.length + givenUp.length > 0) {
      this.options.onEnd(record, end, { lost, givenUp }, isFirst);
    }
  }

  /**
   * Finds out whether a runner lives.
   * @param asksIdentity whether it matters that the one that takes connections may be another one
   */
  private examine(record: RunnerRecord, asksIdentity: boolean, done: () => void): void {
    const known = this.examinations.get(record);
    if (known !== undefined) {
      known.asksIdentity ||= asksIdentity;
      known.listeners.push(done);
      return;
    }
    const examination = { asksIdentity, listeners: [done] };
    this.examinations.set(record, examination);
    const { runtime, probe } = this.options;
    runtime.setTimer(CLOSING_MILLISECONDS, () => {
      if (record.end !== undefined) {
        this.finishExamination(record);
        return;
      }
      probe(record.runner, (isReachable, isRefused) => {
        if (!isReachable) {
          this.noteEvidence(record, isRefused ? 'refused' : 'unreachable');
        }
        if (isReachable && examination.asksIdentity) {
          this.identify(record, () => this.finishExamination(record));
        } else {
          this.finishExamination(record);
        }
      });
    });
  }

  private identify(record: RunnerRecord, done: (identity: RunnerIdentity) => void): void {
    const askedAt = this.options.runtime.now();
    this.options.identify(record.runner, (identity) => {
      if (identity === 'other') {
        this.noteEvidence(record, 'misdirected');
      } else if (identity === 'same') {
        this.clearLost(record, askedAt);
      }
      done(identity);
    });
  }

  private finishExamination(record: RunnerRecord): void {
    const examination = this.examinations.get(record);
    this.examinations.delete(record);
    examination?.listeners.forEach((done) => done());
  }
}
