/** What this node believes of the runners: listed, leaving, reachable, busy, fast, and what they keep. */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';
import { EngineEstimate } from './engine-estimate.js';
import type { EngineSample } from './engine-estimate.js';
import { PromptCacheEstimate } from './prompt-cache-estimate.js';
import type { PromptKey, PromptPart } from '../request/relay-request.js';
import { isEarlierIncarnation, incarnationHash, incarnationOf } from './runner.js';
import type { Runner, RunnerIncarnation } from './runner.js';
import type { LoadView, ServiceLoad } from './runner-view.js';
import { InactivityEstimate } from './inactivity-estimate.js';
import { RunnerLatency, ServiceLatency } from './latency-estimate.js';
import type { LatencySample } from './latency-estimate.js';

/** Time for which a runner that left the list may still be used when no other is left. */
const REMOVED_GRACE_MILLISECONDS = 1_200;
const INITIAL_BACKOFF_MILLISECONDS = 300;
const MAXIMUM_BACKOFF_MILLISECONDS = 3_000;

/** Beliefs about one runner. */
export interface RunnerRecord {
  runner: Runner;
  /** Short name of its life. */
  readonly hash: number;
  /** Requests of this node that are there now. */
  inFlight: number;
  /** Local time at which it left the list; undefined while it is listed. */
  removedAt: number | undefined;
  /** Stops the wait for an entry that lapsed while the store was away; undefined while none does. */
  cancelRemoval: CancelTimer | undefined;
  /** Not used before this time, after it could not be reached. */
  unhealthyUntil: number;
  failures: number;
  /** True from the time its address took no connection until it answers again. */
  unreachable: boolean;
  /** Local time at which a byte last came from it, in milliseconds. */
  lastActivityAt: number;
  readonly latency: RunnerLatency;
  /** Usual silences of its service. */
  readonly inactivity: InactivityEstimate;
  readonly promptCache: PromptCacheEstimate;
}

/** A runner that may be chosen. */
export interface RunnerCandidate extends LoadView {
  readonly id: RunnerIncarnation;
  readonly record: RunnerRecord;
}

/** What is learned of all runners of one service together. */
interface ServiceEstimates {
  readonly latency: ServiceLatency;
  readonly engine: EngineEstimate;
  readonly inactivity: InactivityEstimate;
}

/** See the head of this file. */
export class RunnerRegistry {
  private readonly records = new Map<string, RunnerRecord>();
  private readonly recordsByService = new Map<string, Set<RunnerRecord>>();
  private readonly recordsByHash = new Map<number, RunnerRecord>();
  private readonly estimatesByService = new Map<string, ServiceEstimates>();

  /** Requests of other gateways at a runner, by the hash of its name. */
  inFlightOfOthers: (runnerHash: number) => number = () => 0;
  /** Age of what is known of other gateways' requests, in milliseconds. */
  loadAgeMilliseconds: () => number = () => 0;
  /** Tokens that a runner of a service has memory for; undefined while that is not known. */
  cacheCapacityOf: (service: string) => number | undefined = () => undefined;
  /** A runner begins to keep parts of a prompt that this node has not known there. */
  onPartsCached: (runnerHash: number, parts: readonly PromptPart[]) => void = () => undefined;
  /** A runner is seen that was not known before. */
  onRunnerAdded: (runner: Runner) => void = () => undefined;
  /** Whether a connection to a runner is open and idle. */
  hasIdleConnection: (runner: Runner) => boolean = () => false;

  constructor(private readonly runtime: Runtime) {}

  /** Requests of this gateway at each runner that has some, by its life. */
  ownLoads(): Map<RunnerIncarnation, number> {
    const loads = new Map<RunnerIncarnation, number>();
    for (const { runner, inFlight } of this.records.values()) {
      if (inFlight > 0) {
        loads.set(incarnationOf(runner), inFlight);
      }
    }
    return loads;
  }

  /** Takes one entry of the list. */
  put(runner: Runner): void {
    const known = this.records.get(runner.id);
    if (known === undefined) {
      this.add(runner);
      return;
    }
    if (isEarlierIncarnation(runner, known.runner)) {
      this.logEarlierIncarnation(runner, known.runner);
      return;
    }
    if (incarnationOf(runner) !== incarnationOf(known.runner) && runner.startedAt !== undefined) {
      this.replaceIncarnation(runner, known);
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
    // An entry that no longer tells its start is the same life's.
    known.runner = { ...runner, startedAt: known.runner.startedAt };
    known.removedAt = undefined;
    known.cancelRemoval?.();
    known.cancelRemoval = undefined;
  }

  /**
   * Notes that an entry went while its runner could not renew it, since the store was away. The runner
   * is used as before: it writes itself down again within the milliseconds, or is gone.
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
    this.runtime.log('info', 'entry of a runner lapsed with the store away', fields);
    record.cancelRemoval = this.runtime.setTimer(milliseconds, () => {
      record.cancelRemoval = undefined;
      this.remove(id);
    });
  }

  /** Notes that an entry is gone from the list. */
  remove(id: string): void {
    const record = this.records.get(id);
    if (record === undefined || record.removedAt !== undefined) {
      return;
    }
    const removedAt = this.runtime.now();
    record.removedAt = removedAt;
    const { service } = record.runner;
    this.runtime.log('info', 'runner left', { event: 'runner.left', runner: id, service });
    this.runtime.setTimer(REMOVED_GRACE_MILLISECONDS, () =>
      this.deleteIfStillRemoved(id, removedAt),
    );
  }

  /** Runners of a service that may get a request, the trusted ones only if there are any. */
  candidates(
    service: string,
    parts: readonly PromptPart[],
    excluded: ReadonlySet<RunnerIncarnation>,
  ): RunnerCandidate[] {
    const now = this.runtime.now();
    const usable = [...(this.recordsByService.get(service) ?? [])].filter(
      (record) => !excluded.has(incarnationOf(record.runner)),
    );
    const listed = usable.filter((record) => record.runner.ready && record.removedAt === undefined);
    const healthy = listed.filter((record) => record.unhealthyUntil <= now);
    const chosen =
      healthy.length > 0 ? healthy : listed.length > 0 ? listed : usable.filter(isRemoved);
    return chosen.map((record) => this.viewOf(record, parts));
  }

  /** Requests and places of all runners of a service that take new requests. */
  loadOf(service: string): ServiceLoad {
    let inFlight = 0;
    let slots = 0;
    let runners = 0;
    for (const { runner, hash, removedAt, inFlight: own } of this.recordsByService.get(service) ??
      []) {
      if (runner.ready && removedAt === undefined) {
        inFlight += own + this.inFlightOfOthers(hash);
        slots += runner.slots;
        runners += 1;
      }
    }
    return { inFlight, slots, runners };
  }

  /** Notes that a request is sent to a runner. */
  noteRequestSent(record: RunnerRecord, parts: readonly PromptPart[]): void {
    record.inFlight += 1;
    const changed = record.promptCache.touch(parts);
    if (changed.length > 0) {
      this.onPartsCached(record.hash, changed);
    }
  }

  /** Notes that a request there is over; `whole` tells how long it took if it was answered whole. */
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

  /** What the engines of a service cost, as far as it was learned. */
  engineCosts(service: string): EngineEstimate {
    return this.estimatesOf(service).engine;
  }

  /** Takes another gateway's word that a runner keeps a part of a prompt. */
  learnCachedPart(runnerHash: number, key: PromptKey, tokens: number): void {
    this.recordsByHash.get(runnerHash)?.promptCache.learn(key, tokens);
  }

  /** Number of parts of prompts that a runner is believed to keep. */
  cachedPartCount(runnerHash: number): number {
    return this.recordsByHash.get(runnerHash)?.promptCache.partCount ?? 0;
  }

  /** Notes that a runner could not be reached or spoilt an answer. */
  markUnhealthy(record: RunnerRecord, reason: string): void {
    record.failures += 1;
    const pause = Math.min(
      MAXIMUM_BACKOFF_MILLISECONDS,
      INITIAL_BACKOFF_MILLISECONDS * 2 ** (record.failures - 1),
    );
    record.unhealthyUntil = this.runtime.now() + pause;
    const fields = { event: 'runner.distrusted', runner: record.runner.id, reason, pause };
    this.runtime.log('warn', 'runner distrusted', fields);
  }

  /** Notes that a runner's address takes no connection: it ended or is cut off. */
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
      // Looked up only where a charge asks for it: at hundreds of runners that is dear.
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
      this.runtime.log('info', 'runner trusted again', fields);
    }
  }

  /** Nothing that was believed of the earlier life is true of this one. */
  private replaceIncarnation(runner: Runner, before: RunnerRecord): void {
    before.cancelRemoval?.();
    this.deleteRecord(before);
    const { id, service, startedAt } = runner;
    const fields = { event: 'runner.reborn', runner: id, service, bornAt: startedAt ?? 0 };
    this.runtime.log('info', 'runner started again', fields);
    this.add(runner);
  }

  private logEarlierIncarnation(
    { id, startedAt: startedAt = 0 }: Runner,
    { startedAt: known = 0 }: Runner,
  ): void {
    const fields = { event: 'runner.earlierLife', runner: id, bornAt: startedAt, known };
    this.runtime.log('warn', 'entry of an earlier life of a runner ignored', fields);
  }

  private deleteRecord(record: RunnerRecord): void {
    this.records.delete(record.runner.id);
    this.recordsByHash.delete(record.hash);
    this.recordsByService.get(record.runner.service)?.delete(record);
  }

  private add(runner: Runner): void {
    const record: RunnerRecord = {
      runner,
      hash: incarnationHash(runner),
      inFlight: 0,
      removedAt: undefined,
      cancelRemoval: undefined,
      unhealthyUntil: 0,
      failures: 0,
      unreachable: false,
      lastActivityAt: this.runtime.now(),
      latency: new RunnerLatency(this.estimatesOf(runner.service).latency),
      inactivity: this.estimatesOf(runner.service).inactivity,
      promptCache: new PromptCacheEstimate(() => this.cacheCapacityOf(runner.service) ?? Infinity),
    };
    this.records.set(runner.id, record);
    this.recordsByHash.set(record.hash, record);
    const ofService = this.recordsByService.get(runner.service) ?? new Set();
    this.recordsByService.set(runner.service, ofService.add(record));
    const { id, service, ready } = runner;
    this.onRunnerAdded(runner);
    this.runtime.log('info', 'runner seen', { event: 'runner.seen', runner: id, service, ready });
  }

  /**
   * Forgets a runner, unless it is back or left once more since. The clock is not asked again: timers may come a
   * fraction of a millisecond early, and one that then did nothing would leave the runner usable for ever.
   */
  private deleteIfStillRemoved(id: string, removedAt: number): void {
    const record = this.records.get(id);
    if (record?.removedAt === removedAt) {
      this.deleteRecord(record);
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
