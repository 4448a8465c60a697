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
 * A presumed end is withdrawn when the runner answers. A connection that is lost proves nothing by itself: the
 * runner counts as alive if other connections to it stand, or if a new one can be opened.
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
  /** Whether its entry had told before that it would leave. */
  readonly wasAnnounced: boolean;
}

/** A request that was written to a runner and of which the outcome is not known yet. */
export interface Exposure {
  readonly request: RelayRequest;
  readonly record: RunnerRecord;
  /** Local time at which the request was written, in milliseconds. */
  readonly sentAt: number;
  /** Local time at which its connection was lost or given up, in milliseconds; undefined before. */
  lostAt: number | undefined;
}

/** Outcome of opening a connection to a runner's address. */
export type ProbeResult = 'connected' | 'refused' | 'timedOut';

/** Dependencies of {@link RunnerEnds}. */
export interface RunnerEndsOptions {
  readonly runtime: Runtime;
  /** Whether a connection to the runner's address is open. */
  readonly hasConnection: (runner: Runner) => boolean;
  /** Tries to open a connection to the runner's address. */
  readonly probe: (runner: Runner, done: (result: ProbeResult) => void) => void;
  /** Called when a runner has ended, with the requests that were there; again for those that are found later. */
  readonly onEnd: (
    record: RunnerRecord,
    end: RunnerEnd,
    exposures: readonly Exposure[],
    isFirst: boolean,
  ) => void;
  /** Called when a runner that was presumed to have ended answers. */
  readonly onWithdrawn: (record: RunnerRecord) => void;
}

/** Called with whether the runner has ended. */
type ExaminationListener = (hasEnded: boolean) => void;

/** Time in which the other connections to a runner that ends are lost too, in milliseconds. */
const CLOSING_MILLISECONDS = 5;
/** Time for which a lost request is remembered in case its runner turns out to have ended, in milliseconds. */
const LOST_RETENTION_MILLISECONDS = 10_000;
/** Bytes of other requests may be read up to this long after the first connection was lost, in milliseconds. */
const READ_SKEW_MILLISECONDS = 50;
/** Silence after which a request that was given up may count as lost, in milliseconds. */
const MINIMUM_SILENCE_MILLISECONDS = 1_000;

/** Detects the ends of runners and the requests that they took along. */
export class RunnerEnds {
  private readonly examinations = new Map<RunnerRecord, ExaminationListener[]>();

  constructor(private readonly options: RunnerEndsOptions) {}

  /** Records that a request is about to be written to a runner. */
  expose(record: RunnerRecord, request: RelayRequest): Exposure {
    const exposure = { request, record, sentAt: this.options.runtime.now(), lostAt: undefined };
    record.exposures.add(exposure);
    return exposure;
  }

  /** Records that a request was answered whole, or was not run. */
  settle(exposure: Exposure): void {
    exposure.record.exposures.delete(exposure);
  }

  /** Records that the connection of a request was lost; calls back once it is known whether its runner has ended. */
  lose(exposure: Exposure, done: ExaminationListener): void {
    const { record } = exposure;
    this.markLost(exposure);
    if (record.end === undefined) {
      this.examine(record, done);
    } else {
      this.report(record, record.end);
      done(true);
    }
  }

  /** Records that a request was given up without a whole answer. */
  abandon(exposure: Exposure): void {
    const { record, sentAt } = exposure;
    const isSilent = record.lastActivityAt <= sentAt;
    const silence = this.options.runtime.now() - sentAt;
    if (isSilent && silence >= MINIMUM_SILENCE_MILLISECONDS) {
      this.markLost(exposure);
    } else {
      this.settle(exposure);
    }
  }

  /** Records evidence that a runner has ended. */
  noteEvidence(record: RunnerRecord, evidence: EndEvidence): void {
    if (record.end !== undefined) {
      return;
    }
    const wasAnnounced = !record.runner.ready || record.removedAt !== undefined;
    record.end = { evidence, wasAnnounced };
    this.report(record, record.end, true);
  }

  /** Records that the entry of a runner has gone, which shows its end only if it had fallen silent. */
  noteUnlisted(record: RunnerRecord): void {
    const isWaitedFor = this.lostWithin(record).length > 0;
    if (isWaitedFor && record.runner.ready) {
      this.noteEvidence(record, 'unlisted');
    }
  }

  /** Records that a runner has begun to answer a request for which it was expected. */
  noteAnswer(record: RunnerRecord): void {
    if (record.end !== undefined && END_EVIDENCE[record.end.evidence] === 'presumed') {
      record.end = undefined;
      this.options.onWithdrawn(record);
    }
  }

  private markLost(exposure: Exposure): void {
    const now = this.options.runtime.now();
    exposure.lostAt ??= now;
    for (const each of exposure.record.exposures) {
      if (each.lostAt !== undefined && each.lostAt < now - LOST_RETENTION_MILLISECONDS) {
        this.settle(each);
      }
    }
  }

  /** Returns the requests that were lost when the runner was last heard of, or later. */
  private lostWithin(record: RunnerRecord): Exposure[] {
    const since = Math.max(
      record.lastActivityAt - READ_SKEW_MILLISECONDS,
      this.options.runtime.now() - LOST_RETENTION_MILLISECONDS,
    );
    return [...record.exposures].filter(({ lostAt }) => lostAt !== undefined && lostAt >= since);
  }

  private report(record: RunnerRecord, end: RunnerEnd, isFirst = false): void {
    const lost = this.lostWithin(record);
    lost.forEach((exposure) => this.settle(exposure));
    if (isFirst || lost.length > 0) {
      this.options.onEnd(record, end, lost, isFirst);
    }
  }

  private examine(record: RunnerRecord, done: ExaminationListener): void {
    const waiting = this.examinations.get(record);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.examinations.set(record, [done]);
    const { runtime, hasConnection, probe } = this.options;
    runtime.setTimer(CLOSING_MILLISECONDS, () => {
      if (record.end !== undefined || hasConnection(record.runner)) {
        this.finishExamination(record);
        return;
      }
      probe(record.runner, (result) => {
        if (result !== 'connected') {
          this.noteEvidence(record, result === 'refused' ? 'refused' : 'unreachable');
        }
        this.finishExamination(record);
      });
    });
  }

  private finishExamination(record: RunnerRecord): void {
    const waiting = this.examinations.get(record) ?? [];
    this.examinations.delete(record);
    waiting.forEach((done) => done(record.end !== undefined));
  }
}
