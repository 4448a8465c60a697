/**
 * Decides whether a request may be sent although runners have ended under it, and records what becomes of the runners that
 * it meets. Nothing is computed for a request while no runner has ended under any.
 */
import type { Runtime } from '../../runtime/runtime.js';
import { fingerprintText } from '../../suspects/fingerprint.js';
import type { Fingerprint } from '../../suspects/fingerprint.js';
import type { Encounter, SuspectRecord } from '../../suspects/suspect-record.js';
import { SuspectTable, SUSPECT_RETENTION_MILLISECONDS } from '../../suspects/suspect-table.js';
import { fingerprintsOf } from '../request/fingerprint.js';
import type { RelayRequest } from '../request/relay-request.js';
import { runnerLossLimitOf } from '../request/routing-table.js';
import type { EndExposures, Exposure } from '../runners/runner-ends.js';
import type { RunnerRegistry } from '../runners/runner-registry.js';
import type { RelayMetrics } from '../relay-metrics.js';
import type { SendOutcome } from './suspect-send.js';
import { RecentAnswers } from './recent-answers.js';

/** What is known about a request, as far as it matters for sending it. */
export type Verdict =
  /** No runner is known to have ended under it, or only ones that speak for another cause. */
  | 'clear'
  /** Fewer runners have ended, or may have ended, under it than may. */
  | 'suspect'
  /** As many may have ended as may, but of some it is not known yet. */
  | 'unresolved'
  /** As many have ended as may. */
  | 'quarantined';

const VERDICTS: readonly Verdict[] = ['clear', 'suspect', 'unresolved', 'quarantined'];

/** An announced send, or one that is to be announced. */
export interface AnnouncedSend {
  readonly runnerHash: number;
  /** Local time of the announcement, in milliseconds. */
  readonly at: number;
}

/**
 * Ages as which a send that is under way is told, in milliseconds: at least that of an announcement that is settled, so that it
 * comes before all others, and little enough that it is possible for as long as they are.
 */
const MINIMUM_SEND_AGE_MILLISECONDS = 50;
const MAXIMUM_SEND_AGE_MILLISECONDS = 1_000;
/** Time for which the losses of retries keep calls of the same content from being sent again, in milliseconds. */
const REPETITION_MILLISECONDS = 10_000;
/** Number of such losses. A single one may come by chance. */
const MAXIMUM_REPEATED_LOSSES = 2;
const HEXADECIMAL = 16;
/** An encounter about which nothing particular is known. */
const PLAIN_ENCOUNTER = { round: 0, isCommon: false, isGivenUp: false, isRepeated: false };
const MILLISECONDS_IN_SECOND = 1_000;

/**
 * Whether an announcement of another gateway comes before one of this gateway. It seems later than it is by the time that it
 * took, so of two that were made at the same time neither may seem earlier, and their runners decide. Both may seem earlier to
 * the other gateway; then both are taken back.
 */
function precedes(other: AnnouncedSend, own: AnnouncedSend): boolean {
  return other.at < own.at || other.runnerHash < own.runnerHash;
}

/** The suspected requests of a gateway. */
export class RequestSuspects {
  readonly table: SuspectTable;
  /** Whether what was known before this gateway started has been read. */
  isLoaded: () => boolean = () => true;
  /** Calls back once it has been read. */
  whenLoaded: (listener: () => void) => void = (listener) => listener();
  private readonly answers: RecentAnswers;
  /** Fingerprints whose quarantine was logged. */
  private readonly logged = new Set<Fingerprint>();

  constructor(
    private readonly runtime: Runtime,
    private readonly registry: Pick<RunnerRegistry, 'idOf'>,
    private readonly metrics: RelayMetrics,
  ) {
    this.table = new SuspectTable(runtime);
    this.answers = new RecentAnswers(runtime);
  }

  /** Returns what is known about a request. */
  verdictOf(request: RelayRequest): Verdict {
    const limit = runnerLossLimitOf(request.route);
    let worst: Verdict = 'clear';
    for (const record of this.recordsOf(request)) {
      const verdict = this.verdictOfRecord(record, limit);
      worst = VERDICTS.indexOf(verdict) > VERDICTS.indexOf(worst) ? verdict : worst;
    }
    return worst;
  }

  /** Returns the number of runners that ended under a request and count. */
  lossCountOf(request: RelayRequest): number {
    return Math.max(0, ...this.recordsOf(request).map(({ lossCount }) => lossCount));
  }

  /** Returns what may be done with an announced send, given what other gateways have announced meanwhile. */
  confirm(request: RelayRequest, own: AnnouncedSend): 'send' | 'wait' | 'quarantined' {
    const limit = runnerLossLimitOf(request.route);
    let mustWait = false;
    for (const record of this.recordsOf(request)) {
      const { lossCount } = record;
      if (lossCount >= limit) {
        return 'quarantined';
      }
      const earlier = this.openOf(record).filter(
        (each) => each.runnerHash !== own.runnerHash && precedes(each, own),
      );
      mustWait ||= lossCount + earlier.length + 1 > limit;
    }
    return mustWait ? 'wait' : 'send';
  }

  /** Logs and counts what was decided about the next send of a suspected request, with what decided it. */
  logSend(request: RelayRequest, outcome: SendOutcome, waitedMilliseconds: number): void {
    const decision = outcome.tag.toLowerCase();
    this.metrics.count('ivyloom_relay_suspect_sends_total', `outcome="${decision}"`);
    this.metrics.observe('ivyloom_relay_suspect_wait_milliseconds', waitedMilliseconds);
    const records = this.recordsOf(request);
    const namesOf = (encounters: readonly { readonly runnerHash: number }[]): string =>
      [...new Set(encounters.map(({ runnerHash }) => this.nameOf(runnerHash)))].join(' ');
    this.runtime.log('info', 'next send of a suspected request decided', {
      event: 'relay.suspect',
      request: request.id,
      content: fingerprintText(fingerprintsOf(request).own),
      decision,
      runner: outcome.tag === 'Send' ? outcome.chosen.record.runner.id : '',
      lost: namesOf(records.flatMap(({ lost }) => lost)),
      open: namesOf(records.flatMap((record) => this.openOf(record))),
      counted: this.lossCountOf(request),
      limit: runnerLossLimitOf(request.route),
      waited: Math.round(waitedMilliseconds),
    });
  }

  /** Whether one more end would quarantine a request. */
  isLastSend(request: RelayRequest): boolean {
    const limit = runnerLossLimitOf(request.route);
    return this.recordsOf(request).some(({ lossCount }) => lossCount >= limit - 1);
  }

  /** Returns the time until a quarantined request may be sent again, in seconds. */
  quarantineSeconds(request: RelayRequest): number {
    const limit = runnerLossLimitOf(request.route);
    const ends = this.recordsOf(request).flatMap(({ lossCount, changedAt }) =>
      lossCount >= limit ? [changedAt + SUSPECT_RETENTION_MILLISECONDS] : [],
    );
    const milliseconds = Math.max(0, ...ends) - this.runtime.now();
    return Math.max(1, Math.ceil(milliseconds / MILLISECONDS_IN_SECOND));
  }

  /** Returns the names of the runners that ended under a request, or their hashes if they are not listed any more. */
  runnersEndedUnder(request: RelayRequest): string[] {
    const hashes = this.recordsOf(request).flatMap(({ lost }) =>
      lost.map(({ runnerHash }) => runnerHash),
    );
    return [...new Set(hashes)].map((hash) => this.nameOf(hash));
  }

  /** Whether a suspected request may be at a runner. */
  isSuspectAt(runnerHash: number): boolean {
    return this.table.hasOpenAt(runnerHash);
  }

  /** Whether a request may be at a runner under which several others have ended already. */
  isRepeatedSuspectAt(runnerHash: number): boolean {
    return this.table.hasRepeatedAt(runnerHash);
  }

  /** Whether an announcement of a send to a runner would be told from a late report of an earlier one. */
  canAnnounce(request: RelayRequest, runnerHash: number): boolean {
    const now = this.runtime.now();
    return this.recordsOf(request).every((record) => record.canReopen(runnerHash, now));
  }

  /** Announces that a request is about to be sent to a runner. */
  announce(request: RelayRequest, runnerHash: number): void {
    const round = this.lossCountOf(request);
    this.note(request, { ...PLAIN_ENCOUNTER, runnerHash, state: 'open', round });
  }

  /** Records that a request was sent to a runner and that its outcome is not known. */
  noteOpen({ request, record, known, sentAt }: Exposure): void {
    const now = this.runtime.now();
    const latest = Math.min(sentAt, now - MINIMUM_SEND_AGE_MILLISECONDS);
    const at = Math.max(latest, now - MAXIMUM_SEND_AGE_MILLISECONDS);
    const encounter = { ...PLAIN_ENCOUNTER, runnerHash: record.hash, round: known.lossCount };
    this.note(request, { ...encounter, state: 'open' }, at);
  }

  /**
   * Records that a runner lives although a suspected request was sent to it.
   * @param isGivenUp whether the request was given up there, and the runner had time to end under it
   */
  noteOver(request: RelayRequest, runnerHash: number, isGivenUp = false): void {
    for (const fingerprint of this.fingerprintsIn(request)) {
      if (this.table.find(fingerprint)?.find(runnerHash)?.state === 'open') {
        this.table.note(fingerprint, { ...PLAIN_ENCOUNTER, runnerHash, state: 'over', isGivenUp });
      }
    }
  }

  /** Records that a runner ended while requests were there, or after they had been given up. */
  noteLost({ lost, givenUp }: EndExposures): void {
    lost.forEach((exposure) => this.noteLostExposure(exposure, false));
    // Of a popular request, other sends show more than one that nobody waited for.
    givenUp
      .filter(({ request }) => !this.isCommon(request))
      .forEach((exposure) => this.noteLostExposure(exposure, true));
  }

  /** Announces the sends of a request that may be at work at runners, now that others have ended under it. */
  announceAtWork(fingerprint: Fingerprint, exposures: Iterable<Exposure>): void {
    for (const exposure of exposures) {
      const { own, content } = fingerprintsOf(exposure.request);
      if ((own === fingerprint || content === fingerprint) && !this.isCommon(exposure.request)) {
        this.noteOpen(exposure);
      }
    }
  }

  /** Records that a runner that was presumed to have ended answers. */
  noteWithdrawn(runnerHash: number): void {
    for (const [fingerprint, record] of this.table.entries()) {
      if (record.find(runnerHash)?.state === 'lost') {
        this.table.note(fingerprint, { ...PLAIN_ENCOUNTER, runnerHash, state: 'withdrawn' });
      }
    }
  }

  /** Records that a request was answered in full, which speaks for it. */
  noteAnswered(request: RelayRequest): void {
    this.answers.note(fingerprintsOf(request).content);
    for (const fingerprint of this.fingerprintsIn(request)) {
      const lost = this.table.find(fingerprint)?.lost ?? [];
      if (lost.length > 0) {
        this.logged.delete(fingerprint);
        this.runtime.log('info', 'request under which runners ended was answered', {
          event: 'request.cleared',
          request: request.id,
          content: fingerprintText(fingerprint),
          lost: lost.length,
        });
      }
      this.table.noteAnswered(fingerprint);
    }
  }

  /** Renders the gauges of the suspected requests. */
  render(): string {
    let suspects = 0;
    for (const [, record] of this.table.entries()) {
      suspects += record.lossCount > 0 ? 1 : 0;
    }
    return `ivyloom_relay_suspects ${suspects}\n`;
  }

  private verdictOfRecord(record: SuspectRecord, limit: number): Verdict {
    const { lossCount } = record;
    if (lossCount >= limit) {
      return 'quarantined';
    }
    const open = this.openOf(record).length;
    if (lossCount + open === 0 || record.isPopular) {
      return 'clear';
    }
    return lossCount + open >= limit ? 'unresolved' : 'suspect';
  }

  private openOf(record: SuspectRecord): readonly AnnouncedSend[] {
    return record.openAt(this.runtime.now());
  }

  private fingerprintsIn(request: RelayRequest): readonly Fingerprint[] {
    if (this.table.size === 0) {
      return [];
    }
    const { own, content } = fingerprintsOf(request);
    return own === content ? [own] : [own, content];
  }

  private recordsOf(request: RelayRequest): SuspectRecord[] {
    return this.fingerprintsIn(request).flatMap((each) => this.table.find(each) ?? []);
  }

  /**
   * Returns whether a call that has lost a runner may be sent again. Of a popular request, which answers to others clear, ends
   * can't be counted; so once retries have lost their runners too, each call of its content gets one send for a while.
   */
  mayRetryAfterEnd(request: RelayRequest): boolean {
    const since = this.runtime.now() - REPETITION_MILLISECONDS;
    return this.recordsOf(request).every(
      (record) => record.repeatedLossesSince(since) < MAXIMUM_REPEATED_LOSSES,
    );
  }

  private noteLostExposure({ request, record, known }: Exposure, isGivenUp: boolean): void {
    const { lossCount: round, isRepeated } = known;
    this.note(request, { runnerHash: record.hash, state: 'lost', round, isGivenUp, isRepeated });
    this.logQuarantine(request);
  }

  /** Whether a request, whoever sent it, was lately answered in full. */
  private isCommon(request: RelayRequest): boolean {
    return this.answers.has(fingerprintsOf(request).content);
  }

  private note(
    request: RelayRequest,
    encounter: Omit<Encounter, 'at' | 'isCommon'>,
    at = this.runtime.now(),
  ): void {
    const { own, content } = fingerprintsOf(request);
    const isCommon = this.isCommon(request);
    // Only what others send too tells of a cause other than the request; a program's own request is its own.
    this.table.note(own, { ...encounter, isCommon: isCommon && own === content }, at);
    if (own !== content) {
      this.table.note(content, { ...encounter, isCommon }, at);
    }
  }

  private nameOf(runnerHash: number): string {
    return this.registry.idOf(runnerHash) ?? runnerHash.toString(HEXADECIMAL);
  }

  private logQuarantine(request: RelayRequest): void {
    const limit = runnerLossLimitOf(request.route);
    for (const fingerprint of this.fingerprintsIn(request)) {
      const record = this.table.find(fingerprint);
      if (record === undefined || record.lossCount < limit || this.logged.has(fingerprint)) {
        continue;
      }
      this.logged.add(fingerprint);
      this.runtime.log('warn', 'request goes to no runner any more', {
        event: 'request.quarantined',
        request: request.id,
        route: request.route.name,
        content: fingerprintText(fingerprint),
        limit,
        runners: record.lost.map(({ runnerHash }) => this.nameOf(runnerHash)).join(' '),
      });
    }
  }
}
