/**
 * Many gateways before one service whose runners are not alike, in virtual time: loads and evidence of others
 * are 0.3 s old. The beliefs, the charges and the drawing of candidates are the product's own.
 */
import { chooseRunner } from '../../src/relay/placement/choose-runner.js';
import { drawCandidates } from '../../src/relay/placement/draw-candidates.js';
import { chargesWithout } from '../../src/relay/placement/placement-charges.js';
import type { PlacementNeed } from '../../src/relay/placement/placement-charges.js';
import { sumTallies, TALLY_TOPICS, tallyList } from '../../src/peers/tallies.js';
import type { Tally, TallyRow } from '../../src/peers/tallies.js';
import { ANY_RUNNER } from '../../src/relay/runners/runner-choice.js';
import { RunnerBook } from '../../src/relay/runners/runner-book.js';
import type { RunnerLife } from '../../src/relay/runners/runner.js';
import type { RunnerCandidate, RunnerRecord } from '../../src/relay/runners/runner-book.js';
import type { EngineSample } from '../../src/relay/runners/engine-estimate.js';
import type { PaceSample } from '../../src/relay/runners/service-pace.js';
import type { RunnerStanding } from '../../src/relay/runners/runner-standing.js';
import { TryReport } from '../../src/relay/tries/try-report.js';
import { createRandom } from '../../src/runtime/random.js';
import type { LogFields, Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { MeanPace } from './mean-pace.js';
import { ENGINE_LAW, ENGINE_TOKENS, UnevenRunner, usualMilliseconds } from './uneven-runners.js';
import type { LabEnd, LabListener, LabRunner, LabService } from './uneven-runners.js';

/** Who knows what of the runners. */
export type LabBeliefs =
  /** Each gateway has a mean of its own requests, as before. */
  | 'means'
  /** What all gateways saw. */
  | 'shared'
  /** Speeds and faults are known beforehand. */
  | 'clairvoyant';

/** What is played. */
export interface LabOptions {
  readonly beliefs: LabBeliefs;
  readonly gateways: number;
  readonly runners: readonly LabRunner[];
  readonly service: LabService;
  /** Requests as a share of what the runners can bear. */
  readonly load: number;
  /** Whether requests may be sent again; they may unless said otherwise. */
  readonly isRepeatable?: boolean;
  readonly milliseconds: number;
  readonly seed: number;
  /** Rows that a lying gateway adds to what is told. */
  readonly lies?: (hashes: readonly number[]) => readonly TallyRow[];
}

/** A request as its caller sees it. */
export interface LabRequest {
  readonly gateway: number;
  readonly arrivedAt: number;
  readonly milliseconds: number;
  readonly isAnswered: boolean;
}

/** A change of belief that a gateway logged. */
export interface LabNews {
  readonly at: number;
  readonly gateway: number;
  readonly runner: number;
  readonly event: string;
}

interface LabGateway {
  readonly runtime: Runtime;
  readonly book: RunnerBook;
  readonly means: MeanPace;
  others: ReadonlyMap<number, readonly number[]>;
  told: readonly Tally[];
}

interface Snapshot {
  readonly loads: readonly ReadonlyMap<number, number>[];
  readonly total: ReadonlyMap<number, number>;
  readonly tallies: readonly (readonly Tally[])[];
  readonly sums: readonly Tally[];
}

const SERVICE = 'service';
const PERIOD_MILLISECONDS = 100;
const AGE_PERIODS = 3;
const TIMEOUT_MILLISECONDS = 1_210;
/** The only kind of request. */
const WORK = 'work';
const MOST_TRIES = 3;
const CHARGES = chargesWithout(new Set());

/** See the head of this file. */
export class UnevenLab {
  readonly requests: LabRequest[] = [];
  readonly news: LabNews[] = [];
  /** Tries sent to each runner, all gateways together. */
  readonly tries: number[];
  readonly clock = new VirtualClock();
  private readonly random;
  private readonly machines: readonly UnevenRunner[];
  private readonly gateways: readonly LabGateway[];
  private snapshots: Snapshot[] = [];
  private readonly ids: readonly string[];
  private readonly meanSpeed: number;

  constructor(private readonly options: LabOptions) {
    const { runners, service, seed } = options;
    this.random = createRandom(seed, 'requests');
    this.ids = runners.map((_, index) => `r${index}`);
    this.tries = runners.map(() => 0);
    this.meanSpeed = runners.reduce((sum, { speed }) => sum + speed, 0) / runners.length;
    this.machines = runners.map(
      (runner, index) =>
        new UnevenRunner(this.clock, createRandom(seed, `runner ${index}`), service, runner),
    );
    this.gateways = Array.from({ length: options.gateways }, (_, index) => this.gateway(index));
    this.ids.forEach((_, index) => this.list(index, true));
  }

  /** Plays it. */
  run(): this {
    this.share();
    this.arrive();
    this.clock.runUntil(this.options.milliseconds);
    return this;
  }

  /** Puts a runner on the lists of all gateways, or marks it as leaving. */
  list(index: number, ready: boolean): void {
    const { slots } = this.options.service;
    const id = this.ids[index]!;
    const runner = { id, service: SERVICE, host: id, port: 1, zone: 'z', slots, ready };
    this.gateways.forEach(({ book }) => book.put(runner));
  }

  /** Standing of a runner at each gateway. */
  standings(index: number): RunnerStanding['tag'][] {
    return this.gateways.map(({ book }) => {
      const found = book.records().find(({ runner }) => runner.id === this.ids[index]);
      return found?.belief.standing.tag ?? 'Whole';
    });
  }

  /** Takes a runner out of use at all gateways, as a review does. */
  eject(index: number): void {
    for (const { book } of this.gateways) {
      const { belief } = book.records().find(({ runner }) => runner.id === this.ids[index])!;
      belief.standing = { tag: 'Out', since: this.clock.now };
      belief.ejections += 1;
      belief.triedAt = this.clock.now;
      belief.evidence.beginTrials();
    }
  }

  private gateway(index: number): LabGateway {
    const log = (_level: string, _message: string, fields: LogFields = {}): void => {
      const runner = this.ids.indexOf(String(fields['runner']));
      const event = String(fields['event']);
      this.news.push({ at: this.clock.now, gateway: index, runner, event });
    };
    const random = createRandom(this.options.seed, `gateway ${index}`);
    const runtime = new SimulatedProcess(`g${index}`, this.clock, random, log).begin();
    const book = new RunnerBook(runtime);
    const means = new MeanPace();
    const gateway: LabGateway = { runtime, book, means, others: new Map(), told: [] };
    book.evidenceOfOthers = () => gateway.others;
    book.loadAgeMilliseconds = () => AGE_PERIODS * PERIOD_MILLISECONDS;
    book.inFlightOfOthers = (hash) => {
      const old = this.snapshots[0];
      return (old?.total.get(hash) ?? 0) - (old?.loads[index]?.get(hash) ?? 0);
    };
    return gateway;
  }

  /** Takes down what all tell now, and gives all what was told some periods ago. */
  private share(): void {
    const loads = this.gateways.map(
      ({ book }) => new Map(book.records().map(({ hash, inFlight }) => [hash, inFlight] as const)),
    );
    const total = new Map<number, number>();
    loads.forEach((own) =>
      own.forEach((count, hash) => total.set(hash, (total.get(hash) ?? 0) + count)),
    );
    const topic = TALLY_TOPICS.runnerEvidence;
    const tallies = this.gateways.map(({ book }) => [{ topic, rows: book.evidenceRows() }]);
    const hashes = this.gateways[0]!.book.records().map(({ hash }) => hash);
    const lies = this.options.lies?.(hashes) ?? [];
    const sums = tallyList(sumTallies([...tallies, [{ topic, rows: lies }]]));
    this.snapshots.push({ loads, total, tallies, sums });
    this.snapshots = this.snapshots.slice(-1 - AGE_PERIODS);
    const old = this.snapshots[0]!;
    this.gateways.forEach((gateway, index) => {
      gateway.others = sumTallies([old.sums], old.tallies[index]).get(topic) ?? new Map();
    });
    this.clock.schedule(PERIOD_MILLISECONDS, () => this.share());
  }

  private get requestsPerMillisecond(): number {
    const { runners, service, load } = this.options;
    const usual = usualMilliseconds(service);
    const room = runners.reduce((sum, { speed }) => sum + service.slots / (usual * speed), 0);
    return room * load;
  }

  private arrive(): void {
    const gateway = this.random.integer(0, this.gateways.length - 1);
    new LabCall(this, gateway).next();
    const pause = this.random.exponential(1 / this.requestsPerMillisecond);
    this.clock.schedule(pause, () => this.arrive());
  }

  /** The parts of the laboratory that a call needs. */
  partsOf(index: number): { gateway: LabGateway; service: LabService; beliefs: LabBeliefs } {
    const { service, beliefs } = this.options;
    return { gateway: this.gateways[index]!, service, beliefs };
  }

  /** The runner for a try; undefined when none is left. */
  place(index: number, tried: ReadonlySet<RunnerLife>): RunnerCandidate | undefined {
    const { book, runtime } = this.gateways[index]!;
    const { isEngine } = this.options.service;
    const need: PlacementNeed = {
      zone: 'z',
      promptTokens: isEngine ? ENGINE_TOKENS : 0,
      bodyBytes: 0,
      affinityHash: this.random.integer(0, 2 ** 32 - 1),
      engine: isEngine ? ENGINE_LAW : undefined,
    };
    const mayBeTrial = (this.options.isRepeatable ?? true) && tried.size === 0;
    const views = book
      .candidates(SERVICE, [], tried, { ...ANY_RUNNER, mayBeTrial })
      .map((view) => this.seen(index, view));
    const drawn = drawCandidates(views, book.loadAgeMilliseconds(), runtime.random);
    return chooseRunner(drawn, need, CHARGES);
  }

  /** A view by the beliefs that are played. */
  private seen(index: number, view: RunnerCandidate): RunnerCandidate {
    const { beliefs, service } = this.options;
    if (beliefs === 'shared') {
      return view;
    }
    const { means } = this.gateways[index]!;
    if (beliefs === 'means') {
      return { ...view, hasIdleConnection: true, meanMilliseconds: means.expected(view.id) };
    }
    const { speed, fault } = this.options.runners[this.ids.indexOf(view.id)]!;
    const { now } = this.clock;
    const isFaulty = fault !== undefined && now >= fault.from && now < fault.until;
    const known = isFaulty ? speed * FAULTY_FACTOR : speed / this.meanSpeed;
    return {
      ...view,
      hasIdleConnection: true,
      meanMilliseconds: usualMilliseconds(service) * this.meanSpeed * known,
      speed: { generating: known, reading: known },
    };
  }

  /** Sends a try to its runner. */
  send(record: RunnerRecord, listener: LabListener): void {
    const index = this.ids.indexOf(record.runner.id);
    this.tries[index]! += 1;
    this.machines[index]!.take(listener);
  }
}

/** Time by which a clairvoyant keeps away from a runner that fails. */
const FAULTY_FACTOR = 1_000;

/** One request with its tries. */
class LabCall {
  private readonly arrivedAt: number;
  private readonly tried = new Set<RunnerLife>();
  private tries = 0;
  private over = false;

  constructor(
    private readonly lab: UnevenLab,
    private readonly index: number,
  ) {
    this.arrivedAt = lab.clock.now;
    lab.clock.schedule(TIMEOUT_MILLISECONDS, () => this.end(false));
  }

  next(): void {
    const chosen = this.lab.place(this.index, this.tried);
    if (chosen === undefined || this.tries >= MOST_TRIES) {
      this.end(false);
      return;
    }
    this.tries += 1;
    this.tried.add(chosen.id);
    this.send(chosen);
  }

  private send(chosen: RunnerCandidate): void {
    const { gateway, beliefs } = this.lab.partsOf(this.index);
    const { record } = chosen;
    gateway.book.begin(record, []);
    const report = new TryReport(gateway, record, WORK);
    if (beliefs !== 'shared') {
      report.stop();
    }
    const sentAt = this.lab.clock.now;
    let isOpen = true;
    const close = (): void => {
      if (isOpen) {
        isOpen = false;
        report.stop();
        gateway.book.finish(record, undefined);
      }
    };
    this.lab.clock.schedule(TIMEOUT_MILLISECONDS - (sentAt - this.arrivedAt), close);
    this.lab.send(record, {
      isOpen: () => isOpen,
      onHeard: () => report.noteHeard(),
      onEnd: (end) => {
        if (!isOpen) {
          return;
        }
        isOpen = false;
        if (beliefs === 'shared') {
          this.learn(end, chosen, sentAt, report);
        } else {
          report.stop();
          gateway.book.finish(record, undefined);
          gateway.means.take(record.runner.id, this.lab.clock.now - sentAt);
        }
        this.take(end);
      },
    });
  }

  private take(end: LabEnd): void {
    if (end.tag === 'Whole') {
      this.end(true);
    } else if (!this.over) {
      this.next();
    }
  }

  private learn(end: LabEnd, chosen: RunnerCandidate, sentAt: number, report: TryReport): void {
    const { gateway, service } = this.lab.partsOf(this.index);
    const { record } = chosen;
    if (end.tag !== 'Whole') {
      gateway.book.finish(record, undefined);
      report.end(end.tag === 'Refused' ? 'Refused' : 'Failed');
      return;
    }
    const running = chosen.inFlight + 1;
    const whole: PaceSample = {
      totalMilliseconds: this.lab.clock.now - sentAt,
      eventCount: service.isEngine ? ENGINE_LAW.meanEvents : 0,
      kind: WORK,
      running,
      slots: service.slots,
    };
    record.silence.take(Math.max(end.firstMilliseconds, end.pauseMilliseconds));
    const stream = service.isEngine ? streamOf(end, running) : undefined;
    gateway.book.finish(record, whole, stream);
    report.end('Answered');
  }

  private end(isAnswered: boolean): void {
    if (!this.over) {
      this.over = true;
      const { arrivedAt, index: gateway } = this;
      const milliseconds = this.lab.clock.now - arrivedAt;
      this.lab.requests.push({ gateway, arrivedAt, milliseconds, isAnswered });
    }
  }
}

function streamOf(
  { firstMilliseconds, pauseMilliseconds }: Extract<LabEnd, { tag: 'Whole' }>,
  running: number,
): EngineSample {
  return {
    unreadTokens: ENGINE_TOKENS,
    running,
    firstEventMilliseconds: firstMilliseconds,
    pauseMilliseconds,
    eventCount: ENGINE_LAW.meanEvents,
  };
}
