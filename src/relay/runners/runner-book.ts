/** What this node believes of the runners: listed, leaving, reachable, busy, fast, and what they keep. */
import type { CancelTimer, Runtime } from '../../runtime/runtime.js';
import type { EngineEstimate, EngineSample } from './engine-estimate.js';
import { PromptPlaces } from './prompt-places.js';
import type { PromptKey, PromptPart } from '../request/relay-request.js';
import { isEarlierLife, lifeHash, lifeOf } from './runner.js';
import type { Runner, RunnerLife } from './runner.js';
import type { LoadView, ServiceLoad } from './runner-view.js';
import { evidenceAmounts } from './runner-evidence.js';
import { ServiceLaw } from './service-law.js';
import { ANY_RUNNER, openRunners } from './runner-choice.js';
import type { RunnerChoice } from './runner-choice.js';
import { RunnerBelief, ServiceReview } from './service-review.js';
import type { RowsOfOthers } from './service-review.js';
import { SilenceEstimate } from './silence-estimate.js';
import type { PaceSample } from './service-pace.js';
import { weighOutcome } from './try-outcome.js';
import type { TryOutcome } from './try-outcome.js';

/** Time for which a runner that left the list may still be used when no other is left. */
const GONE_GRACE_MILLISECONDS = 1_200;
const FIRST_DISTRUST_MILLISECONDS = 300;
const LONGEST_DISTRUST_MILLISECONDS = 3_000;

/** Beliefs about one runner. */
export interface RunnerRecord {
  runner: Runner;
  /** Short name of its life. */
  readonly hash: number;
  /** Requests of this node that are there now. */
  inFlight: number;
  /** Local time at which it left the list; undefined while it is listed. */
  goneAt: number | undefined;
  /** Stops the wait for an entry that lapsed while the store was away; undefined while none does. */
  cancelLapse: CancelTimer | undefined;
  /** Not used before this time, after it could not be reached. */
  distrustedUntil: number;
  failures: number;
  /** True from the time its address took no connection until it answers again. */
  outOfReach: boolean;
  /** Local time at which a byte last came from it, in milliseconds. */
  heardAt: number;
  /** How fast it is, and how far it is trusted. */
  readonly belief: RunnerBelief;
  /** Usual silences of its service. */
  readonly silence: SilenceEstimate;
  readonly places: PromptPlaces;
}

/** A runner that may be chosen. */
export interface RunnerCandidate extends LoadView {
  readonly id: RunnerLife;
  readonly record: RunnerRecord;
}

/** What is learned of all runners of one service together. */
interface LearnedOfService {
  readonly law: ServiceLaw;
  readonly review: ServiceReview;
  readonly silence: SilenceEstimate;
}

/** A row that other gateways are told of a runner. */
export interface EvidenceRow {
  /** Hash of the runner's name. */
  readonly key: number;
  readonly amounts: readonly number[];
}

/** See the head of this file. */
export class RunnerBook {
  private readonly byId = new Map<string, RunnerRecord>();
  private readonly byService = new Map<string, Set<RunnerRecord>>();
  private readonly byHash = new Map<number, RunnerRecord>();
  private readonly learned = new Map<string, LearnedOfService>();

  /** Requests of other gateways at a runner, by the hash of its name. */
  inFlightOfOthers: (runnerHash: number) => number = () => 0;
  /** What other gateways saw of the runners, added up. */
  evidenceOfOthers: () => RowsOfOthers = () => new Map();
  /** Age of what is known of other gateways' requests, in milliseconds. */
  loadAgeMilliseconds: () => number = () => 0;
  /** Tokens that a runner of a service has memory for; undefined while that is not known. */
  memoryTokensOf: (service: string) => number | undefined = () => undefined;
  /** A runner begins to keep parts of a prompt that this node has not known there. */
  onKept: (runnerHash: number, parts: readonly PromptPart[]) => void = () => undefined;
  /** A runner is seen that was not known before. */
  onSeen: (runner: Runner) => void = () => undefined;
  /** Whether a connection to a runner is open and idle. */
  hasIdleConnection: (runner: Runner) => boolean = () => false;

  constructor(private readonly runtime: Runtime) {}

  /** Requests of this gateway at each runner that has some, by its life. */
  ownLoads(): Map<RunnerLife, number> {
    const loads = new Map<RunnerLife, number>();
    for (const { runner, inFlight } of this.byId.values()) {
      if (inFlight > 0) {
        loads.set(lifeOf(runner), inFlight);
      }
    }
    return loads;
  }

  /** Beliefs about all runners that are known. */
  records(): RunnerRecord[] {
    return [...this.byHash.values()];
  }

  /** Takes one entry of the list. */
  put(runner: Runner): void {
    const known = this.byId.get(runner.id);
    if (known === undefined) {
      this.add(runner);
      return;
    }
    if (isEarlierLife(runner, known.runner)) {
      this.ignoreEarlierLife(runner, known.runner);
      return;
    }
    if (lifeOf(runner) !== lifeOf(known.runner) && runner.bornAt !== undefined) {
      this.beginLife(runner, known);
      return;
    }
    if (known.runner.ready !== runner.ready || known.goneAt !== undefined) {
      const { id, service, ready } = runner;
      this.runtime.log('info', 'runner changed', {
        event: 'runner.changed',
        runner: id,
        service,
        ready,
      });
    }
    // An entry that no longer tells its start is the same life's.
    known.runner = { ...runner, bornAt: known.runner.bornAt };
    known.goneAt = undefined;
    known.cancelLapse?.();
    known.cancelLapse = undefined;
  }

  /**
   * Notes that an entry went while its runner could not renew it, since the store was away. The runner
   * is used as before: it writes itself down again within the milliseconds, or is gone.
   */
  lapse(id: string, milliseconds: number): void {
    const record = this.byId.get(id);
    if (record === undefined || record.goneAt !== undefined || record.cancelLapse !== undefined) {
      return;
    }
    const wait = Math.round(milliseconds);
    const fields = { event: 'runner.lapsed', runner: id, service: record.runner.service, wait };
    this.runtime.log('info', 'entry of a runner lapsed with the store away', fields);
    record.cancelLapse = this.runtime.setTimer(milliseconds, () => {
      record.cancelLapse = undefined;
      this.remove(id);
    });
  }

  /** Notes that an entry is gone from the list. */
  remove(id: string): void {
    const record = this.byId.get(id);
    if (record === undefined || record.goneAt !== undefined) {
      return;
    }
    const goneAt = this.runtime.now();
    record.goneAt = goneAt;
    const { service } = record.runner;
    this.runtime.log('info', 'runner left', { event: 'runner.left', runner: id, service });
    this.runtime.setTimer(GONE_GRACE_MILLISECONDS, () => this.forget(id, goneAt));
  }

  /**
   * Runners of a service that may get a request, the trusted ones only if there are any.
   * @param choice what the request leaves to choose from: drawn is only among these
   */
  candidates(
    service: string,
    parts: readonly PromptPart[],
    excluded: ReadonlySet<RunnerLife>,
    choice: RunnerChoice = ANY_RUNNER,
  ): RunnerCandidate[] {
    const now = this.runtime.now();
    const known = [...(this.byService.get(service) ?? [])];
    this.learnedOf(service).review.look(known.filter(isListed));
    const usable = known.filter((record) => !excluded.has(lifeOf(record.runner)));
    const listed = usable.filter(isListed);
    const trusted = listed.filter((record) => record.distrustedUntil <= now);
    const chosen =
      trusted.length > 0 ? trusted : listed.length > 0 ? listed : usable.filter(isGone);
    const open = openRunners(chosen, choice, this.runtime.random);
    const { meanMilliseconds } = this.learnedOf(service).law;
    return open.map((record) => this.viewOf(record, parts, meanMilliseconds));
  }

  /** Requests and places of all runners of a service that take new requests. */
  loadOf(service: string): ServiceLoad {
    let inFlight = 0;
    let slots = 0;
    let runners = 0;
    for (const { runner, hash, goneAt, inFlight: own } of this.byService.get(service) ?? []) {
      if (runner.ready && goneAt === undefined) {
        inFlight += own + this.inFlightOfOthers(hash);
        slots += runner.slots;
        runners += 1;
      }
    }
    return { inFlight, slots, runners };
  }

  /** Notes that a request is sent to a runner. */
  begin(record: RunnerRecord, parts: readonly PromptPart[]): void {
    record.inFlight += 1;
    const changed = record.places.touch(parts);
    if (changed.length > 0) {
      this.onKept(record.hash, changed);
    }
  }

  /** Notes that a request there is over; `whole` tells how long it took if it was answered whole. */
  finish(record: RunnerRecord, whole: PaceSample | undefined, engine?: EngineSample): void {
    record.inFlight -= 1;
    if (whole !== undefined) {
      const { law } = this.learnedOf(record.runner.service);
      const { belief } = record;
      belief.evidence.add(this.runtime.now(), law.take(whole, engine, belief.speed));
      this.trust(record);
    }
  }

  /**
   * Notes what a request showed of whether its runner works.
   * @param sentAt local time at which it was sent there, in milliseconds
   */
  noteOutcome(record: RunnerRecord, outcome: TryOutcome, sentAt: number): void {
    const { evidence, standing } = record.belief;
    evidence.add(this.runtime.now(), weighOutcome(outcome, standing, sentAt));
  }

  /** What this gateway saw of runners lately, for others. */
  evidenceRows(): EvidenceRow[] {
    const now = this.runtime.now();
    const rows: EvidenceRow[] = [];
    for (const { hash, belief, goneAt } of this.byId.values()) {
      const amounts = evidenceAmounts(belief.evidence.at(now));
      if (amounts !== undefined && goneAt === undefined) {
        rows.push({ key: hash, amounts });
      }
    }
    return rows;
  }

  /** What the engines of a service cost, as far as it was learned. */
  engineCosts(service: string): EngineEstimate {
    return this.learnedOf(service).law.engine;
  }

  /** Takes another gateway's word that a runner keeps a part of a prompt. */
  learnPlace(runnerHash: number, key: PromptKey, tokens: number): void {
    this.byHash.get(runnerHash)?.places.learn(key, tokens);
  }

  /** Number of parts of prompts that a runner is believed to keep. */
  partsKeptAt(runnerHash: number): number {
    return this.byHash.get(runnerHash)?.places.partCount ?? 0;
  }

  /** Notes that a runner could not be reached or spoilt an answer. */
  distrust(record: RunnerRecord, reason: string): void {
    record.failures += 1;
    const pause = Math.min(
      LONGEST_DISTRUST_MILLISECONDS,
      FIRST_DISTRUST_MILLISECONDS * 2 ** (record.failures - 1),
    );
    record.distrustedUntil = this.runtime.now() + pause;
    const fields = { event: 'runner.distrusted', runner: record.runner.id, reason, pause };
    this.runtime.log('warn', 'runner distrusted', fields);
  }

  /** Notes that a runner's address takes no connection: it ended or is cut off. */
  noteOutOfReach(record: RunnerRecord, reason: string): void {
    record.outOfReach = true;
    this.distrust(record, reason);
  }

  private viewOf(
    record: RunnerRecord,
    parts: readonly PromptPart[],
    usualMilliseconds: number,
  ): RunnerCandidate {
    const { zone, slots } = record.runner;
    const { speed } = record.belief;
    const { hasIdleConnection } = this;
    const inFlightOfOthers = this.inFlightOfOthers(record.hash);
    return {
      record,
      id: lifeOf(record.runner),
      hash: record.hash,
      zone,
      slots,
      inFlight: record.inFlight + inFlightOfOthers,
      inFlightOfOthers,
      meanMilliseconds: usualMilliseconds * speed.generating,
      speed,
      cachedTokens: record.places.leadingTokens(parts),
      // Looked up only where a charge asks for it: at hundreds of runners that is dear.
      get hasIdleConnection() {
        return hasIdleConnection(record.runner);
      },
    };
  }

  private trust(record: RunnerRecord): void {
    record.outOfReach = false;
    if (record.failures > 0) {
      record.failures = 0;
      record.distrustedUntil = 0;
      const fields = { event: 'runner.trusted', runner: record.runner.id };
      this.runtime.log('info', 'runner trusted again', fields);
    }
  }

  /** Nothing that was believed of the earlier life is true of this one. */
  private beginLife(runner: Runner, before: RunnerRecord): void {
    before.cancelLapse?.();
    this.drop(before);
    const { id, service, bornAt } = runner;
    const fields = { event: 'runner.reborn', runner: id, service, bornAt: bornAt ?? 0 };
    this.runtime.log('info', 'runner started again', fields);
    this.add(runner);
  }

  private ignoreEarlierLife({ id, bornAt = 0 }: Runner, { bornAt: known = 0 }: Runner): void {
    const fields = { event: 'runner.earlierLife', runner: id, bornAt, known };
    this.runtime.log('warn', 'entry of an earlier life of a runner ignored', fields);
  }

  private drop(record: RunnerRecord): void {
    this.byId.delete(record.runner.id);
    this.byHash.delete(record.hash);
    this.byService.get(record.runner.service)?.delete(record);
  }

  private add(runner: Runner): void {
    const record: RunnerRecord = {
      runner,
      hash: lifeHash(runner),
      inFlight: 0,
      goneAt: undefined,
      cancelLapse: undefined,
      distrustedUntil: 0,
      failures: 0,
      outOfReach: false,
      heardAt: this.runtime.now(),
      belief: new RunnerBelief(),
      silence: this.learnedOf(runner.service).silence,
      places: new PromptPlaces(() => this.memoryTokensOf(runner.service) ?? Infinity),
    };
    this.byId.set(runner.id, record);
    this.byHash.set(record.hash, record);
    const ofService = this.byService.get(runner.service) ?? new Set();
    this.byService.set(runner.service, ofService.add(record));
    const { id, service, ready } = runner;
    this.onSeen(runner);
    this.runtime.log('info', 'runner seen', { event: 'runner.seen', runner: id, service, ready });
  }

  /**
   * Forgets a runner, unless it is back or left once more since. The clock is not asked again: timers may come a
   * fraction of a millisecond early, and one that then did nothing would leave the runner usable for ever.
   */
  private forget(id: string, goneAt: number): void {
    const record = this.byId.get(id);
    if (record?.goneAt === goneAt) {
      this.drop(record);
    }
  }

  private learnedOf(service: string): LearnedOfService {
    let learned = this.learned.get(service);
    if (learned === undefined) {
      learned = {
        law: new ServiceLaw(),
        review: new ServiceReview(this.runtime, () => this.evidenceOfOthers()),
        silence: new SilenceEstimate(),
      };
      this.learned.set(service, learned);
    }
    return learned;
  }
}

function isListed(record: RunnerRecord): boolean {
  return record.runner.ready && record.goneAt === undefined;
}

function isGone(record: RunnerRecord): boolean {
  return record.goneAt !== undefined && record.runner.ready;
}
