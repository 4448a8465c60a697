/**
 * Scheduler of one service's back ends, on the node that leads the pool's shard. All it knows is
 * rebuilt from the owners' reports and from the back ends, so it keeps nothing on disk.
 */
import type {
  CallId,
  EngineId,
  GroupName,
  NodeId,
  ProgramId,
  ServiceName,
  ShardId,
} from '../model/identifiers.js';
import { enginesOf } from '../configuration/documents.js';
import type { ClusterConfiguration } from '../configuration/documents.js';
import type { BackEndPort, BackEndReport, Fence } from '../platform/back-end-port.js';
import type { Runtime } from '../runtime/runtime.js';
import { CacheDirectory } from '../scheduling/cache-directory.js';
import { CostModel } from '../scheduling/cost-model.js';
import { programPrefix } from '../scheduling/pool-view.js';
import type {
  EngineView,
  FinishedTurn,
  Placement,
  PoolView,
  SchedulingPolicy,
} from '../scheduling/pool-view.js';
import type { CallTicket, Message, PoolFinished, PoolReport } from '../wire/messages.js';
import { EngineState } from './engine-state.js';

/** Time between requests for a back end's report, in milliseconds. */
const REPORT_PERIOD_MILLISECONDS = 2_000;
/** Time an assignment or an end may be on its way before a report is believed over it, in ms. */
const SETTLING_MILLISECONDS = 2_500;
/** Time without a report after which a shard's calls are forgotten, in milliseconds. */
const OWNER_SILENCE_MILLISECONDS = 6_000;
/** Time for which a new scheduler only listens, so that it hears of running calls, in ms. */
const LISTENING_MILLISECONDS = 1_200;
/** Estimated waits beyond this part of the caller's patience are refused at once. */
const HOPELESS_FRACTION = 1;

/** What a pool scheduler is made with. */
export interface PoolSchedulerOptions {
  readonly service: ServiceName;
  readonly runtime: Runtime;
  readonly policy: SchedulingPolicy;
  readonly backEnds: BackEndPort;
  readonly configuration: () => ClusterConfiguration;
  readonly fence: () => Fence;
  readonly canServe: () => boolean;
  readonly send: (to: NodeId, message: Message) => void;
  /** Asks the owners which of these programs are over. */
  readonly checkHolds: (programs: readonly ProgramId[]) => void;
}

/** A call the scheduler knows of. */
interface KnownCall {
  ticket: CallTicket | undefined;
  readonly call: CallId;
  readonly group: GroupName;
  owner: NodeId;
  /** Shard the call belongs to. */
  readonly shard: ShardId;
  /** Empty while it waits. */
  engine: EngineId;
  /** When it was enqueued or assigned, monotonic milliseconds. */
  since: number;
  readonly enqueuedAt: number;
  uncached: number;
}

/** One row of the pool, for operators. */
export interface PoolRow {
  readonly engine: EngineId;
  readonly service: ServiceName;
  readonly zone: string;
  readonly state: string;
  readonly running: number;
  readonly limit: number;
  readonly heldPrograms: number;
  readonly heldTokens: number;
}

/** One held program, for operators. */
export type HoldRow = {
  readonly program: ProgramId;
  readonly engine: EngineId;
  readonly service: ServiceName;
  readonly tokens: number;
  /** Seconds until the hold lapses by itself. */
  readonly left: number;
};

/** See the head of this file. */
export class PoolScheduler {
  private readonly engines = new Map<EngineId, EngineState>();
  private readonly calls = new Map<CallId, KnownCall>();
  private readonly endedAt = new Map<CallId, number>();
  private readonly shardHeardAt = new Map<ShardId, number>();
  private readonly pool: {
    engines: EngineView[];
    engineByName: Map<EngineId, EngineView>;
  } & Omit<PoolView, 'engines' | 'engineByName'>;
  private readonly startedAt: number;
  private configuredRevision = -1;
  private lastReportAt = 0;
  private choosing = false;

  constructor(private readonly options: PoolSchedulerOptions) {
    this.startedAt = options.runtime.now();
    this.pool = {
      engines: [],
      engineByName: new Map(),
      directory: new CacheDirectory(),
      costs: new CostModel(),
      shareOf: (group) => options.configuration().groups.get(group)?.share ?? 1,
    };
    this.configure();
  }

  /** Calls waiting here. */
  get waitingCount(): number {
    let count = 0;
    for (const call of this.calls.values()) {
      count += call.engine === '' ? 1 : 0;
    }
    return count;
  }

  /** Takes an owner's report: single calls, or everything it has here. */
  receiveReport(from: NodeId, message: PoolReport): void {
    const now = this.options.runtime.now();
    this.shardHeardAt.set(message.from, now);
    message.waiting.forEach((ticket) => this.noteWaiting(from, message.from, ticket, now));
    message.running.forEach((running) => {
      const { call, engine, group } = running;
      this.noteRunning(from, message.from, call, engine, group, now);
    });
    if (message.complete) {
      this.dropUnlisted(message, now);
    }
    this.startWhatCanStart();
  }

  /** Takes word that a call has left its engine. */
  receiveFinished(message: PoolFinished): void {
    const now = this.options.runtime.now();
    const engine = this.engines.get(message.engine);
    const known = this.calls.get(message.call);
    if (known !== undefined && known.engine === message.engine) {
      this.forgetCall(known, now);
      engine?.prefillDone(known.uncached);
    }
    const ticket = engine?.removeRunning(message.call) ?? known?.ticket;
    if (engine !== undefined) {
      this.learn(engine, message, ticket, now);
    }
    this.startWhatCanStart();
  }

  /** Gives back the memory of a program that is over. */
  receiveProgramGone(program: ProgramId): void {
    const { policy } = this.options;
    policy.programEnded(program);
    const holders = this.pool.directory.forget(program);
    for (const engine of this.engines.values()) {
      if (engine.removeHold(program)) {
        holders.push(engine.view.engine);
      }
    }
    if (!policy.releasesMemory) {
      return;
    }
    for (const engine of new Set(holders)) {
      this.options.backEnds.hold(engine, program, 0, this.options.fence());
    }
  }

  /** Called a few times a second: follows configuration, lapses, silence and reports. */
  tick(): void {
    const now = this.options.runtime.now();
    this.configure();
    for (const engine of this.engines.values()) {
      engine.refresh(now);
      const lapsed = engine.dropLapsedHolds(now);
      lapsed.forEach((program) => this.pool.directory.remove(engine.view.engine, program));
    }
    this.forgetSilentOwners(now);
    this.forgetOldEnds(now);
    this.refuseHopeless(now);
    if (now - this.lastReportAt >= REPORT_PERIOD_MILLISECONDS) {
      this.lastReportAt = now;
      this.askForReports();
    }
    this.startWhatCanStart();
  }

  /** The pool's engines, for operators. */
  listEngines(): PoolRow[] {
    const now = this.options.runtime.now();
    return [...this.engines.values()].map((engine) => ({
      engine: engine.view.engine,
      service: this.options.service,
      zone: engine.view.zone,
      state: engine.isDraining ? 'draining' : engine.isEjected(now) ? 'ejected' : 'up',
      running: engine.view.running,
      limit: engine.view.concurrency,
      heldPrograms: engine.holds.size,
      heldTokens: engine.view.heldTokens,
    }));
  }

  /** Prompt memory held by order, for operators; times in seconds. */
  listHolds(): HoldRow[] {
    const now = this.options.runtime.now();
    return [...this.engines.values()].flatMap((engine) =>
      [...engine.holds].map(([program, hold]) => ({
        program,
        engine: engine.view.engine,
        service: this.options.service,
        tokens: hold.tokens,
        left: Math.round((hold.until - now) / 1_000),
      })),
    );
  }

  private configure(): void {
    const configuration = this.options.configuration();
    if (configuration.revision === this.configuredRevision) {
      return;
    }
    this.configuredRevision = configuration.revision;
    const now = this.options.runtime.now();
    const documents = enginesOf(configuration, this.options.service);
    const names = new Set(documents.map((document) => document.name));
    for (const name of [...this.engines.keys()]) {
      if (!names.has(name)) {
        this.engines.delete(name);
      }
    }
    for (const document of documents) {
      const known = this.engines.get(document.name);
      if (known !== undefined && known.view.concurrency === Math.max(1, document.concurrency)) {
        known.configure(document, now);
      } else if (known === undefined) {
        this.engines.set(document.name, new EngineState(document));
      } else {
        this.replaceEngine(known, new EngineState(document));
      }
    }
    this.pool.engines = [...this.engines.values()].map((engine) => engine.view);
    this.pool.engineByName = new Map(this.pool.engines.map((view) => [view.engine, view]));
  }

  private replaceEngine(known: EngineState, next: EngineState): void {
    for (const [call, ticket] of known.running) {
      next.addRunning(call, ticket, 0);
    }
    for (const [program, hold] of known.holds) {
      next.addHold(program, hold);
    }
    this.engines.set(next.view.engine, next);
  }

  private noteWaiting(owner: NodeId, shard: ShardId, ticket: CallTicket, now: number): void {
    const known = this.calls.get(ticket.call);
    if (known === undefined) {
      this.enqueue(owner, shard, ticket, now);
      return;
    }
    known.owner = owner;
    const settled = now - known.since > SETTLING_MILLISECONDS;
    if (known.engine !== '' && settled) {
      // The owner never got the assignment, or lost the engine's stream: it is sent again.
      this.engines.get(known.engine)?.removeRunning(ticket.call);
      this.forgetCall(known, now);
      this.enqueue(owner, shard, ticket, now);
    }
  }

  private enqueue(owner: NodeId, shard: ShardId, ticket: CallTicket, now: number): void {
    this.endedAt.delete(ticket.call);
    this.calls.set(ticket.call, {
      ticket,
      call: ticket.call,
      group: ticket.group,
      owner,
      shard,
      engine: '',
      since: now,
      enqueuedAt: now,
      uncached: 0,
    });
    this.options.policy.enqueue(ticket, now);
  }

  private noteRunning(
    owner: NodeId,
    shard: ShardId,
    call: CallId,
    engine: EngineId,
    group: GroupName,
    now: number,
  ): void {
    const ended = this.endedAt.get(call);
    if (ended !== undefined && now - ended < SETTLING_MILLISECONDS) {
      return;
    }
    const known = this.calls.get(call);
    if (known?.engine === engine) {
      known.owner = owner;
      return;
    }
    if (known !== undefined && known.engine === '' && known.ticket !== undefined) {
      this.options.policy.remove(known.ticket);
    }
    const ticket = known?.ticket;
    this.calls.set(call, {
      ticket,
      call,
      group,
      owner,
      shard,
      engine,
      since: now,
      enqueuedAt: now,
      uncached: 0,
    });
    this.engines.get(engine)?.addRunning(call, ticket, 0);
  }

  private dropUnlisted(message: PoolReport, now: number): void {
    const listed = new Set<CallId>();
    message.waiting.forEach((ticket) => listed.add(ticket.call));
    message.running.forEach((running) => listed.add(running.call));
    for (const known of [...this.calls.values()]) {
      const settled = now - known.since > SETTLING_MILLISECONDS;
      if (known.shard === message.from && !listed.has(known.call) && settled) {
        this.dropCall(known, now);
      }
    }
  }

  private dropCall(known: KnownCall, now: number): void {
    if (known.engine === '' && known.ticket !== undefined) {
      this.options.policy.remove(known.ticket);
    }
    const engine = this.engines.get(known.engine);
    engine?.removeRunning(known.call);
    engine?.prefillDone(known.uncached);
    this.forgetCall(known, now);
  }

  private forgetCall(known: KnownCall, now: number): void {
    this.calls.delete(known.call);
    this.endedAt.set(known.call, now);
  }

  private forgetOldEnds(now: number): void {
    for (const [call, ended] of this.endedAt) {
      if (now - ended < SETTLING_MILLISECONDS) {
        return;
      }
      this.endedAt.delete(call);
    }
  }

  private forgetSilentOwners(now: number): void {
    for (const [shard, heardAt] of this.shardHeardAt) {
      if (now - heardAt < OWNER_SILENCE_MILLISECONDS) {
        continue;
      }
      this.shardHeardAt.delete(shard);
      const orphans = [...this.calls.values()].filter((known) => known.shard === shard);
      orphans.forEach((known) => this.dropCall(known, now));
    }
  }

  private learn(
    engine: EngineState,
    message: PoolFinished,
    ticket: CallTicket | undefined,
    now: number,
  ): void {
    if (message.outcome === 'failed') {
      engine.noteFailure(now);
    }
    if (message.outcome !== 'answered') {
      return;
    }
    engine.noteSuccess();
    const { usage, serviceMilliseconds } = message;
    const uncached = usage.promptTokens - usage.cachedTokens;
    this.pool.costs.observe(
      uncached,
      usage.completionTokens,
      engine.view.running,
      serviceMilliseconds,
    );
    if (ticket === undefined) {
      return;
    }
    const turn = { ticket, engine: engine.view, usage, serviceMilliseconds };
    this.noteCached(turn);
    this.decideHold(engine, turn, now);
  }

  private noteCached(turn: FinishedTurn): void {
    const { engine } = turn.engine;
    this.pool.directory.add(engine, programPrefix(turn.ticket, turn.usage));
    const shared = turn.ticket.prefixes.filter((prefix) => prefix.name !== turn.ticket.program);
    shared.forEach((prefix) => this.pool.directory.add(engine, prefix));
  }

  private decideHold(engine: EngineState, turn: FinishedTurn, now: number): void {
    const { backEnds, policy, fence } = this.options;
    if (engine.view.cacheTokens === 0) {
      return;
    }
    const decision = policy.finished(this.pool, turn, now);
    if (decision.type === 'leave') {
      return;
    }
    const { program } = turn.ticket;
    const { engine: name } = engine.view;
    this.releaseElsewhere(program, name);
    backEnds.hold(name, program, decision.milliseconds, fence());
    engine.removeHold(program);
    if (decision.milliseconds === 0) {
      this.pool.directory.remove(name, program);
      return;
    }
    const tokens = turn.usage.promptTokens + turn.usage.completionTokens;
    engine.addHold(program, { tokens, until: now + decision.milliseconds });
  }

  /** Older copies of the same history, left on engines the program has moved away from. */
  private releaseElsewhere(program: ProgramId, keep: EngineId): void {
    for (const holder of this.pool.directory.holders(program)) {
      if (holder !== keep) {
        this.pool.directory.remove(holder, program);
        this.engines.get(holder)?.removeHold(program);
        this.options.backEnds.hold(holder, program, 0, this.options.fence());
      }
    }
  }

  /** Refuses at once what the queue's speed shows cannot be started before its caller gives up. */
  private refuseHopeless(now: number): void {
    for (const known of [...this.calls.values()]) {
      const { ticket } = known;
      if (known.engine !== '' || ticket === undefined) {
        continue;
      }
      const left = ticket.deadlineIn * HOPELESS_FRACTION - (now - known.enqueuedAt);
      const needed = this.pool.costs.serviceMilliseconds(0, ticket.maximumTokens, 0);
      if (left < needed) {
        this.options.policy.remove(ticket);
        this.forgetCall(known, now);
        this.options.send(known.owner, {
          type: 'poolRefusal',
          service: this.options.service,
          call: known.call,
          detail: 'No back end will be free before the deadline.',
          retryAfterSeconds: Math.ceil(needed / 1_000) + 1,
        });
      }
    }
  }

  private startWhatCanStart(): void {
    const { runtime, policy, canServe } = this.options;
    const now = runtime.now();
    if (this.choosing || !canServe() || now - this.startedAt < LISTENING_MILLISECONDS) {
      return;
    }
    this.choosing = true;
    for (
      let placement = policy.choose(this.pool, now);
      placement !== undefined;
      placement = policy.choose(this.pool, now)
    ) {
      this.assign(placement, now);
    }
    this.choosing = false;
  }

  private assign(placement: Placement, now: number): void {
    const { ticket, engine } = placement;
    const known = this.calls.get(ticket.call);
    const state = this.engines.get(engine.engine);
    if (known === undefined || state === undefined) {
      return;
    }
    const cached = this.pool.directory.cachedTokens(engine.engine, ticket.prefixes);
    known.engine = engine.engine;
    known.since = now;
    known.uncached = ticket.promptTokens - cached;
    state.addRunning(ticket.call, ticket, known.uncached);
    state.removeHold(ticket.program);
    this.schedulePrefillEnd(state, known);
    this.options.send(known.owner, {
      type: 'poolAssignment',
      service: this.options.service,
      call: ticket.call,
      engine: engine.engine,
      ...this.options.fence(),
    });
  }

  private schedulePrefillEnd(state: EngineState, known: KnownCall): void {
    const ahead = state.view.pendingPrefillTokens;
    const delay = ahead * this.pool.costs.prefillMilliseconds;
    this.options.runtime.setTimer(delay, () => {
      state.prefillDone(known.uncached);
      known.uncached = 0;
    });
  }

  private askForReports(): void {
    const programs: ProgramId[] = [];
    for (const engine of this.engines.values()) {
      const name = engine.view.engine;
      this.options.backEnds.report(name, (report) => this.receiveBackEndReport(name, report));
      programs.push(...engine.holds.keys());
    }
    if (programs.length > 0) {
      this.options.checkHolds(programs);
    }
  }

  private receiveBackEndReport(name: EngineId, report: BackEndReport): void {
    const engine = this.engines.get(name);
    if (engine === undefined || !this.options.canServe()) {
      return;
    }
    if (report.unreachable) {
      engine.noteFailure(this.options.runtime.now());
      return;
    }
    report.evictedPrograms.forEach((program) => this.pool.directory.remove(name, program));
    const unknown = report.held.filter((held) => !engine.holds.has(held.program));
    if (unknown.length > 0) {
      // Held by an earlier scheduler's order: its owner says whether the program still lives.
      this.adoptHolds(engine, report);
      this.options.checkHolds(unknown.map((held) => held.program));
    }
  }

  private adoptHolds(engine: EngineState, report: BackEndReport): void {
    const until = this.options.runtime.now() + 2 * REPORT_PERIOD_MILLISECONDS;
    for (const held of report.held) {
      if (!engine.holds.has(held.program)) {
        engine.addHold(held.program, { tokens: held.tokens, until });
        const prefix = { name: held.program, tokens: held.tokens };
        this.pool.directory.add(engine.view.engine, prefix);
      }
    }
  }
}
