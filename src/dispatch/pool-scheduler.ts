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
import type { ClusterConfiguration } from '../configuration/documents.js';
import type { BackEndPort, BackEndReport, Fence } from '../platform/back-end-port.js';
import type { Runtime } from '../runtime/runtime.js';
import { CacheDirectory } from '../scheduling/cache-directory.js';
import { CostModel } from '../scheduling/cost-model.js';
import type { Placement, PoolView, SchedulingPolicy } from '../scheduling/pool-view.js';
import type { CallTicket, Message, PoolFinished, PoolReport } from '../wire/messages.js';
import { EngineSet } from './engine-set.js';
import type { EngineState } from './engine-state.js';
import { HoldKeeper } from './hold-keeper.js';

/** Time between requests for a back end's report, in milliseconds. */
const REPORT_PERIOD_MILLISECONDS = 2_000;
/** Time an assignment or an end may be on its way before a report is believed over it, in ms. */
const SETTLING_MILLISECONDS = 2_500;
/** Time without a report after which a shard's calls are forgotten, in milliseconds. */
const OWNER_SILENCE_MILLISECONDS = 6_000;
/** Time for which a new scheduler only listens, so that it hears of running calls, in ms. */
const LISTENING_MILLISECONDS = 1_200;

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
  private readonly engines: EngineSet;
  private readonly holds: HoldKeeper;
  private readonly calls = new Map<CallId, KnownCall>();
  private readonly endedAt = new Map<CallId, number>();
  private readonly shardHeardAt = new Map<ShardId, number>();
  private readonly pool: PoolView;
  private readonly startedAt: number;
  private lastReportAt = 0;
  private choosing = false;

  constructor(private readonly options: PoolSchedulerOptions) {
    this.startedAt = options.runtime.now();
    const engines = new EngineSet(options.service);
    const directory = new CacheDirectory();
    this.engines = engines;
    this.pool = {
      get engines() {
        return engines.views;
      },
      get engineByName() {
        return engines.viewByName;
      },
      directory,
      costs: new CostModel(),
      shareOf: (group) => options.configuration().groups.get(group)?.share ?? 1,
    };
    this.holds = new HoldKeeper({ ...options, engines, directory });
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
    this.holds.releaseProgram(program);
  }

  /** Called a few times a second: follows configuration, lapses, silence and reports. */
  tick(): void {
    const now = this.options.runtime.now();
    this.configure();
    for (const engine of this.engines.values()) {
      engine.refresh(now);
    }
    this.holds.dropLapsed(now);
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
    this.engines.configure(this.options.configuration(), this.options.runtime.now());
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
    this.holds.finishTurn(this.pool, engine, turn, now);
  }

  /** Refuses at once what the queue's speed shows cannot be started before its caller gives up. */
  private refuseHopeless(now: number): void {
    for (const known of [...this.calls.values()]) {
      const { ticket } = known;
      if (known.engine !== '' || ticket === undefined) {
        continue;
      }
      const left = ticket.deadlineIn - (now - known.enqueuedAt);
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
    for (const engine of this.engines.values()) {
      const { engine: name } = engine.view;
      this.options.backEnds.report(name, (report) => this.receiveBackEndReport(name, report));
    }
    this.holds.checkAll();
  }

  private receiveBackEndReport(name: EngineId, report: BackEndReport): void {
    const engine = this.engines.get(name);
    const now = this.options.runtime.now();
    if (engine === undefined || !this.options.canServe()) {
      return;
    }
    if (report.unreachable) {
      engine.noteFailure(now);
    } else {
      this.holds.receiveReport(engine, report, now);
    }
  }
}
