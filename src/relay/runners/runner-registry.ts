/** Tracks what a gateway knows of the runners: membership, health, load, latency and cached prompts. */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';
import { ColdPeriods } from './cold-periods.js';
import { EngineEstimate } from './engine-estimate.js';
import type { EngineSample } from './engine-estimate.js';
import { PromptCacheEstimate } from './prompt-cache-estimate.js';
import type { PromptKey, PromptPart } from '../request/relay-request.js';
import {
  addressOf,
  incarnationHash,
  incarnationOf,
  isEarlierIncarnation,
  softwareVersionOf,
} from './runner.js';
import type { Runner, RunnerIncarnation } from './runner.js';
import { isBelievedEnd } from './runner-ends.js';
import type { Exposure, RunnerEnd } from './runner-ends.js';
import type { LoadView, ServiceLoad } from './runner-view.js';
import { InactivityEstimate } from './inactivity-estimate.js';
import { VersionHistory } from './version-history.js';
import { RunnerLatency, ServiceLatency } from './latency-estimate.js';
import type { LatencySample } from './latency-estimate.js';

/** Time for which a runner removed from the list may still be used if no other runner is left. */
const REMOVED_GRACE_MILLISECONDS = 1_200;
/** Time for which a runner is avoided after its first failure; doubles with each further failure. */
const INITIAL_BACKOFF_MILLISECONDS = 300;
const MAXIMUM_BACKOFF_MILLISECONDS = 3_000;
/**
 * Time after a runner turned cold in which reports of cached parts are ignored, in milliseconds: peers may have sent
 * them before the cache was lost.
 */
const LATE_REPORT_MILLISECONDS = 1_000;

/** Local state of one runner incarnation. Times are local clock times in milliseconds. */
export interface RunnerRecord {
  runner: Runner;
  /** Hash of the incarnation, by which gateways refer to it among each other. */
  readonly hash: number;
  /** Requests of this gateway that are in flight on the runner. */
  inFlight: number;
  /** When the runner was removed from the list; undefined while it is listed. */
  removedAt: number | undefined;
  /** Cancels a removal that is scheduled after a lost lease; undefined if none is scheduled. */
  cancelRemoval: CancelTimer | undefined;
  /** End of the backoff after a failure; the runner is avoided until then. */
  unhealthyUntil: number;
  /** Consecutive failures. */
  failures: number;
  /** Whether a connection to the runner's address failed; reset by the next answer with a usable timing. */
  unreachable: boolean;
  /** When the last byte was received from the runner, or a probe last reached it; see `onActivity`. */
  lastActivityAt: number;
  /** When the last byte was received from the runner; -Infinity before the first. */
  lastReceivedAt: number;
  /** Whether a request waits for the runner for unusually long and nothing has come since, although it takes connections. */
  isSilent: boolean;
  readonly latency: RunnerLatency;
  /** Usual inactivity of the runners of its service; shared by all of them. */
  readonly inactivity: InactivityEstimate;
  readonly promptCache: PromptCacheEstimate;
  /** Local time until which reports of cached parts are ignored. */
  ignoresReportsUntil: number;
  /** Revision of its entry in the store; undefined if unknown. */
  revision: number | undefined;
  /** Its end, as far as this gateway knows; undefined while it counts as alive. */
  end: RunnerEnd | undefined;
  /** Requests of this gateway whose connection to it was lost or given up lately, and that it may have ended under. */
  lostExposures: readonly Exposure[];
}

/** A runner that placement may choose, with its state at that moment. */
export interface RunnerCandidate extends LoadView {
  readonly id: RunnerIncarnation;
  readonly record: RunnerRecord;
}

/** Estimates shared by all runners of a service. */
interface ServiceEstimates {
  readonly latency: ServiceLatency;
  readonly engine: EngineEstimate;
  readonly inactivity: InactivityEstimate;
}

/**
 * Registry of all known runners. Entries come from the list of runners in the store; load, latency, health and
 * cached prompts are learned from this gateway's own requests and from what other gateways report.
 */
export class RunnerRegistry {
  private readonly records = new Map<string, RunnerRecord>();
  private readonly recordsByService = new Map<string, Set<RunnerRecord>>();
  private readonly recordsByHash = new Map<number, RunnerRecord>();
  /** The newest runner at each address. */
  private readonly recordsByAddress = new Map<string, RunnerRecord>();
  private readonly estimatesByService = new Map<string, ServiceEstimates>();
  /** Software versions that are and were listed. */
  readonly versions: VersionHistory;
  /** Cold periods of the runners. */
  readonly coldPeriods: ColdPeriods;

  /** Returns the requests that other gateways have in flight on a runner, by the hash of its incarnation. */
  inFlightOfOthers: (runnerHash: number) => number = () => 0;
  /** Returns the age of the load that other gateways reported, in milliseconds. */
  loadAgeMilliseconds: () => number = () => 0;
  /** Returns the prompt cache capacity of a service's runners in tokens, or undefined if unknown. */
  cacheCapacityOf: (service: string) => number | undefined = () => undefined;
  /** Returns the time for which the runners of a service are cold after a start, in milliseconds. */
  coldStartMillisecondsOf: (service: string) => number = () => 0;
  /** Called when a request brings prompt parts to a runner that were not known to be cached there. */
  onPartsCached: (runnerHash: number, parts: readonly PromptPart[]) => void = () => undefined;
  /** Called when a runner incarnation is added. */
  onRunnerAdded: (runner: Runner) => void = () => undefined;
  /** Called when data was received from a runner, or a probe reached it. */
  onActivity: (runner: Runner) => void = () => undefined;
  /** Called when another runner is listed at a runner's address, or the runner was started again. */
  onReplaced: (record: RunnerRecord) => void = () => undefined;
  /** Called when a runner's entry has gone, before the runner counts as removed. */
  onUnlisted: (record: RunnerRecord) => void = () => undefined;
  /** Called when a runner begins to drain, when its entry has gone, and when it is forgotten after that. */
  onLeaving: (runner: Runner) => void = () => undefined;
  /** Returns whether a request may be at a runner under which several others have ended, by the hash of its incarnation. */
  hasSuspect: (runnerHash: number) => boolean = () => false;
  /** Returns whether an idle connection to a runner is open. */
  hasIdleConnection: (runner: Runner) => boolean = () => false;

  constructor(private readonly runtime: Runtime) {
    this.coldPeriods = new ColdPeriods(runtime);
    this.versions = new VersionHistory(runtime);
  }

  /** Returns the requests of this gateway in flight, by incarnation, for the runners that have any. */
  ownLoads(): Map<RunnerIncarnation, number> {
    const loads = new Map<RunnerIncarnation, number>();
    for (const { runner, inFlight } of this.records.values()) {
      if (inFlight > 0) {
        loads.set(incarnationOf(runner), inFlight);
      }
    }
    return loads;
  }

  /**
   * Adds or updates a runner from an entry of the list. Entries of earlier incarnations are ignored.
   * @param revision revision of the entry in the store; undefined if unknown
   */
  put(runner: Runner, revision?: number): void {
    const known = this.records.get(runner.id);
    if (known === undefined) {
      this.add(runner, revision);
      return;
    }
    if (isEarlierIncarnation(runner, known.runner)) {
      this.logEarlierIncarnation(runner, known.runner);
      return;
    }
    const isOtherIncarnation =
      runner.startedAt !== undefined && incarnationOf(runner) !== incarnationOf(known.runner);
    if (isOtherIncarnation || softwareVersionOf(runner) !== softwareVersionOf(known.runner)) {
      this.replaceIncarnation(runner, known, revision);
      return;
    }
    if (known.runner.ready !== runner.ready || known.removedAt !== undefined) {
      const { id, service, ready } = runner;
      this.runtime.log('info', 'runner changed', {
        event: 'runner.changed',
        runner: id,
        service,
        ready,
      });
    }
    const beginsToDrain = known.runner.ready && !runner.ready;
    // An entry without a start time belongs to the known incarnation.
    known.runner = { ...runner, startedAt: known.runner.startedAt };
    known.revision = revision ?? known.revision;
    known.removedAt = undefined;
    known.cancelRemoval?.();
    known.cancelRemoval = undefined;
    this.updateColdPeriod(known, revision);
    if (beginsToDrain) {
      this.onLeaving(known.runner);
    }
  }

  /**
   * Schedules the removal of a runner whose lease expired while the store was unavailable, so that the runner could
   * not renew it. The runner stays in use until then and is kept if it registers again in time.
   */
  scheduleRemoval(id: string, milliseconds: number): void {
    const record = this.records.get(id);
    if (
      record === undefined ||
      record.removedAt !== undefined ||
      record.cancelRemoval !== undefined
    ) {
      return;
    }
    const wait = Math.round(milliseconds);
    const fields = { event: 'runner.lapsed', runner: id, service: record.runner.service, wait };
    this.runtime.log('info', 'lease of a runner expired while the store was unavailable', fields);
    record.cancelRemoval = this.runtime.setTimer(milliseconds, () => {
      record.cancelRemoval = undefined;
      this.remove(id);
    });
  }

  /**
   * Records that the evacuation of a zone was lifted. Its runners are assumed to be cold for as long as after a start:
   * their entries may say so only later, and all gateways return to them at once.
   */
  noteZoneRestored(zone: string): void {
    for (const record of this.records.values()) {
      const { runner } = record;
      const milliseconds = this.coldStartMillisecondsOf(runner.service);
      if (runner.zone === zone && this.coldPeriods.assumeCold(runner, milliseconds)) {
        this.noteCacheLost(record);
      }
    }
  }

  /** Removes a runner whose entry is gone; it stays usable as a last resort for a grace period. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record === undefined || record.removedAt !== undefined) {
      return;
    }
    this.onUnlisted(record);
    const removedAt = this.runtime.now();
    record.removedAt = removedAt;
    const { service } = record.runner;
    this.runtime.log('info', 'runner removed', { event: 'runner.left', runner: id, service });
    this.onLeaving(record.runner);
    this.runtime.setTimer(REMOVED_GRACE_MILLISECONDS, () =>
      this.deleteIfStillRemoved(id, removedAt),
    );
  }

  /**
   * Returns the runners of a service that may get a request, all of them ready: the healthy listed ones if there are
   * any, else all listed ones that are not known to have ended, else all listed ones, else those that were removed within
   * the grace period.
   * @param parts prompt of the request, for counting cached tokens
   * @param excluded runners to leave out
   * @param isAllowed whether a runner may get the request at all
   */
  candidates(
    service: string,
    parts: readonly PromptPart[],
    excluded: ReadonlySet<RunnerIncarnation>,
    isAllowed: (runner: Runner) => boolean = () => true,
  ): RunnerCandidate[] {
    const now = this.runtime.now();
    const usable = [...(this.recordsByService.get(service) ?? [])].filter(
      ({ runner }) => !excluded.has(incarnationOf(runner)) && isAllowed(runner),
    );
    const listed = usable.filter((record) => record.runner.ready && record.removedAt === undefined);
    const living = listed.filter((record) => !this.isEnded(record));
    const healthy = living.filter((record) => record.unhealthyUntil <= now);
    const preferences = [healthy, living, listed];
    const chosen = preferences.find(({ length }) => length > 0) ?? usable.filter(isRemoved);
    return chosen.map((record) => this.viewOf(record, parts));
  }

  /** Returns the listed runners of a service that accept new requests. */
  readyRunners(service: string): Runner[] {
    return [...(this.recordsByService.get(service) ?? [])].flatMap(({ runner, removedAt }) =>
      runner.ready && removedAt === undefined ? [runner] : [],
    );
  }

  /** Whether a service has a runner that may be used, if only as a last resort, and that passes a test. */
  hasUsableRunner(service: string, test: (runner: Runner) => boolean): boolean {
    for (const record of this.recordsByService.get(service) ?? []) {
      if ((record.runner.ready || isRemoved(record)) && test(record.runner)) {
        return true;
      }
    }
    return false;
  }

  /** Forgets the prompts cached on the runners of a zone. */
  forgetPromptCaches(zone: string): void {
    for (const { runner, promptCache } of this.records.values()) {
      if (runner.zone === zone) {
        promptCache.clear();
      }
    }
  }

  /**
   * Returns the total load and capacity of the runners of a service that accept new requests.
   * @param counts whether a runner counts
   */
  loadOf(service: string, counts: (runner: Runner) => boolean = () => true): ServiceLoad {
    let inFlight = 0;
    let slots = 0;
    let runners = 0;
    for (const { runner, hash, removedAt, inFlight: own } of this.recordsByService.get(service) ??
      []) {
      if (runner.ready && removedAt === undefined && counts(runner)) {
        inFlight += own + this.inFlightOfOthers(hash);
        slots += runner.slots;
        runners += 1;
      }
    }
    return { inFlight, slots, runners };
  }

  /** Returns the id of a runner by the hash of its incarnation; undefined if it is not listed. */
  idOf(runnerHash: number): string | undefined {
    return this.recordsByHash.get(runnerHash)?.runner.id;
  }

  /** Whether a runner that was chosen may still get a request, as far as its own state goes. */
  isUsable(record: RunnerRecord): boolean {
    const { runner, removedAt } = record;
    const isListed = runner.ready && removedAt === undefined;
    return isListed && !this.isEnded(record) && !this.isReplaced(record);
  }

  /** Whether a runner drains, its entry has gone, or it has been forgotten since. */
  isLeaving(record: RunnerRecord): boolean {
    const { runner, removedAt } = record;
    return !runner.ready || removedAt !== undefined || this.isForgotten(record);
  }

  /** Whether a runner is not known any more: its entry has been gone for longer than the grace period, or was replaced. */
  isForgotten(record: RunnerRecord): boolean {
    return this.records.get(record.runner.id) !== record;
  }

  /** Whether a runner is known to have ended, although it is listed. */
  private isEnded({ end }: RunnerRecord): boolean {
    return end !== undefined && isBelievedEnd(end, this.runtime.now());
  }

  /** Counts a request as being at a runner before it is sent; returns the function that takes that back. */
  reservePlace(record: RunnerRecord): () => void {
    record.inFlight += 1;
    return () => {
      record.inFlight -= 1;
    };
  }

  /** Whether another record has replaced one, since its runner restarted or changed its version. */
  isReplaced(record: RunnerRecord): boolean {
    const current = this.records.get(record.runner.id);
    return current !== undefined && current !== record;
  }

  /** Records that a request was sent to a runner. */
  noteRequestSent(record: RunnerRecord, parts: readonly PromptPart[]): void {
    record.inFlight += 1;
    const changed = record.promptCache.touch(parts);
    if (changed.length > 0) {
      this.onPartsCached(record.hash, changed);
    }
  }

  /**
   * Records that a request on a runner has ended.
   * @param latencySample timing of a complete answer; undefined if the request failed or its timing is not usable
   * @param engineSample what a complete stream showed of the engine
   */
  noteRequestEnded(
    record: RunnerRecord,
    latencySample: LatencySample | undefined,
    engineSample?: EngineSample,
  ): void {
    record.inFlight -= 1;
    if (latencySample !== undefined) {
      record.latency.observe(latencySample);
      this.markHealthy(record);
    }
    if (engineSample !== undefined) {
      this.estimatesOf(record.runner.service).engine.observe(engineSample);
    }
  }

  /** Returns the estimated costs of the engines of a service. */
  engineCosts(service: string): EngineEstimate {
    return this.estimatesOf(service).engine;
  }

  /** Records that a runner has a prompt part cached, as reported by a peer or by the runner itself. */
  learnCachedPart(runnerHash: number, key: PromptKey, tokens: number): void {
    const record = this.recordsByHash.get(runnerHash);
    if (record !== undefined && record.ignoresReportsUntil <= this.runtime.now()) {
      record.promptCache.learn(key, tokens);
    }
  }

  /** Returns the number of prompt parts that are assumed to be cached on a runner. */
  cachedPartCount(runnerHash: number): number {
    return this.recordsByHash.get(runnerHash)?.promptCache.partCount ?? 0;
  }

  /** Records a failure of a runner and starts or extends its backoff. */
  markUnhealthy(record: RunnerRecord, reason: string): void {
    record.failures += 1;
    const pause = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** (record.failures - 1),
    );
    record.unhealthyUntil = this.runtime.now() + pause;
    const fields = { event: 'runner.distrusted', runner: record.runner.id, reason, pause };
    this.runtime.log('warn', 'runner marked unhealthy', fields);
  }

  /** Records that no connection to a runner's address could be opened. */
  markUnreachable(record: RunnerRecord, reason: string): void {
    record.unreachable = true;
    this.markUnhealthy(record, reason);
  }

  private viewOf(record: RunnerRecord, parts: readonly PromptPart[]): RunnerCandidate {
    const { zone, slots } = record.runner;
    const { hasIdleConnection } = this;
    const inFlightOfOthers = this.inFlightOfOthers(record.hash);
    return {
      record,
      id: incarnationOf(record.runner),
      hash: record.hash,
      zone,
      slots,
      inFlight: record.inFlight + inFlightOfOthers,
      inFlightOfOthers,
      meanMilliseconds: record.latency.expectedMilliseconds,
      cachedTokens: record.promptCache.leadingTokens(parts),
      coldness: this.coldPeriods.coldnessOf(record.runner),
      hasSuspect: this.hasSuspect(record.hash),
      // Evaluated lazily: the lookup is expensive with hundreds of runners, and few charges need it.
      get hasIdleConnection() {
        return hasIdleConnection(record.runner);
      },
    };
  }

  private markHealthy(record: RunnerRecord): void {
    record.unreachable = false;
    if (record.failures > 0) {
      record.failures = 0;
      record.unhealthyUntil = 0;
      const fields = { event: 'runner.trusted', runner: record.runner.id };
      this.runtime.log('info', 'runner healthy again', fields);
    }
  }

  /** Starts a new record: a restarted runner shares no state with its earlier incarnation. */
  private replaceIncarnation(runner: Runner, before: RunnerRecord, revision?: number): void {
    before.cancelRemoval?.();
    this.onReplaced(before);
    this.deleteRecord(before);
    const { id, service, startedAt } = runner;
    const fields = { event: 'runner.reborn', runner: id, service, bornAt: startedAt ?? 0 };
    this.runtime.log('info', 'runner restarted', fields);
    this.add(runner, revision);
  }

  private updateColdPeriod(record: RunnerRecord, revision?: number): void {
    if (this.coldPeriods.update(record.runner, revision)) {
      this.noteCacheLost(record);
    }
  }

  private noteCacheLost(record: RunnerRecord): void {
    record.promptCache.clear();
    record.ignoresReportsUntil = this.runtime.now() + LATE_REPORT_MILLISECONDS;
  }

  private logEarlierIncarnation(
    { id, startedAt = 0 }: Runner,
    { startedAt: known = 0 }: Runner,
  ): void {
    const fields = { event: 'runner.earlierLife', runner: id, bornAt: startedAt, known };
    this.runtime.log('warn', 'entry of an earlier incarnation of a runner ignored', fields);
  }

  private deleteRecord(record: RunnerRecord): void {
    this.records.delete(record.runner.id);
    this.recordsByHash.delete(record.hash);
    this.recordsByService.get(record.runner.service)?.delete(record);
    const address = addressOf(record.runner);
    if (this.recordsByAddress.get(address) === record) {
      this.recordsByAddress.delete(address);
    }
    this.coldPeriods.noteUnlisted(record.runner);
    this.versions.noteUnlisted(record.runner.service, softwareVersionOf(record.runner));
  }

  private add(runner: Runner, revision?: number): void {
    let lastActivityAt = this.runtime.now();
    const noteActivity = (at: number): void => {
      lastActivityAt = at;
      this.onActivity(runner);
    };
    const record: RunnerRecord = {
      runner,
      hash: incarnationHash(runner),
      inFlight: 0,
      removedAt: undefined,
      cancelRemoval: undefined,
      unhealthyUntil: 0,
      failures: 0,
      unreachable: false,
      get lastActivityAt() {
        return lastActivityAt;
      },
      set lastActivityAt(at) {
        noteActivity(at);
      },
      lastReceivedAt: -Infinity,
      isSilent: false,
      latency: new RunnerLatency(this.estimatesOf(runner.service).latency),
      inactivity: this.estimatesOf(runner.service).inactivity,
      promptCache: new PromptCacheEstimate(() => this.cacheCapacityOf(runner.service) ?? Infinity),
      ignoresReportsUntil: -Infinity,
      revision,
      end: undefined,
      lostExposures: [],
    };
    this.takeAddress(record);
    this.records.set(runner.id, record);
    this.recordsByHash.set(record.hash, record);
    const ofService = this.recordsByService.get(runner.service) ?? new Set();
    this.recordsByService.set(runner.service, ofService.add(record));
    const { id, service, ready } = runner;
    this.onRunnerAdded(runner);
    const version = softwareVersionOf(runner);
    this.versions.noteListed(service, version);
    const fields = { event: 'runner.seen', runner: id, service, ready, version };
    this.runtime.log('info', 'runner added', fields);
    this.updateColdPeriod(record, revision);
  }

  /** Only of two entries with known revisions, the later one shows that the runner of the earlier one has ended. */
  private takeAddress(record: RunnerRecord): void {
    const address = addressOf(record.runner);
    const other = this.recordsByAddress.get(address);
    const isEarlier = (record.revision ?? Infinity) < (other?.revision ?? -Infinity);
    if (other === undefined || !isEarlier) {
      this.recordsByAddress.set(address, record);
    }
    if (other?.revision !== undefined && record.revision !== undefined) {
      this.onReplaced(isEarlier ? record : other);
    }
  }

  /**
   * Deletes a runner unless it was listed again, or listed and removed again, since `removedAt`. The clock is not
   * checked: timers may fire a fraction of a millisecond early, and ignoring such a timer would leave the runner
   * usable forever.
   */
  private deleteIfStillRemoved(id: string, removedAt: number): void {
    const record = this.records.get(id);
    if (record?.removedAt === removedAt) {
      this.deleteRecord(record);
      this.onLeaving(record.runner);
    }
  }

  private estimatesOf(service: string): ServiceEstimates {
    let estimates = this.estimatesByService.get(service);
    if (estimates === undefined) {
      estimates = {
        latency: new ServiceLatency(),
        engine: new EngineEstimate(),
        inactivity: new InactivityEstimate(),
      };
      this.estimatesByService.set(service, estimates);
    }
    return estimates;
  }
}

function isRemoved(record: RunnerRecord): boolean {
  return record.removedAt !== undefined && record.runner.ready;
}
