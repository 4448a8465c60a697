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
import { HoldManager } from './hold-manager.js';

/** Time between requests for a back end's report, in milliseconds. */
const BACK_END_REPORT_PERIOD_MILLISECONDS = 2_000;
/** Time an assignment or an end may be on its way before a report is believed over it, in ms. */
const IN_FLIGHT_GRACE_MILLISECONDS = 2_500;
/** Time without a report after which a shard's calls are forgotten, in milliseconds. */
const OWNER_TIMEOUT_MILLISECONDS = 6_000;
/** Time for which a new scheduler only listens, so that it hears of running calls, in ms. */
const STARTUP_OBSERVATION_MILLISECONDS = 1_200;

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
interface TrackedCall {
  ticket: CallTicket | undefined;
  readonly call: CallId;
  readonly group: GroupName;
  owner: NodeId;
  /** Shard the call belongs to. */
  readonly shard: ShardId;
  /** Empty while it waits. */
  engine: EngineId;
  /** When it was enqueued or assigned, monotonic milliseconds. */
  changedAt: number;
  readonly enqueuedAt: number;
  pendingPrefillTokens: number;
}

/** One row of the pool, for operators. */
export interface EngineRow {
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
  private readonly holds: HoldManager;
  private readonly calls = new Map<CallId, TrackedCall>();
  private readonly endedAt = new Map<CallId, number>();
  private readonly lastReportByShard = new Map<ShardId, number>();
  private readonly pool: PoolView;
  private readonly startedAt: number;
  private backEndReportsRequestedAt = 0;
  private assigning = false;

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
    this.holds = new HoldManager({ ...options, engines, directory });
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
    this.lastReportByShard.set(message.from, now);
    message.waiting.forEach((ticket) => this.recordWaiting(from, message.from, ticket, now));
    message.running.forEach((running) => {
      const { call, engine, group } = running;
      this.recordRunning(from, message.from, call, engine, group, now);
    });
    if (message.complete) {
      this.dropUnlisted(message, now);
    }
    this.assignStartableCalls();
  }

  /** Takes word that a call has left its engine. */
  receiveFinished(message: PoolFinished): void {
    const now = this.options.runtime.now();
    const engine = this.engines.get(message.engine);
    const known = this.calls.get(message.call);
    if (known !== undefined && known.engine === message.engine) {
      this.forgetCall(known, now);
      engine?.subtractPendingPrefill(known.pendingPrefillTokens);
    }
    const ticket = engine?.removeRunning(message.call) ?? known?.ticket;
    if (engine !== undefined) {
      this.recordOutcome(engine, message, ticket, now);
    }
    this.assignStartableCalls();
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
      engine.updateAvailability(now);
    }
    this.holds.removeExpired(now);
    this.dropCallsOfSilentShards(now);
    this.forgetOldEndedCalls(now);
    this.refuseUnmeetableDeadlines(now);
    if (now - this.backEndReportsRequestedAt >= BACK_END_REPORT_PERIOD_MILLISECONDS) {
      this.backEndReportsRequestedAt = now;
      this.requestBackEndReports();
    }
    this.assignStartableCalls();
  }

  /** The pool's engines, for operators. */
  listEngines(): EngineRow[] {
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
        left: Math.round((hold.expiresAt - now) / 1_000),
      })),
    );
  }

  private configure(): void {
    this.engines.configure(this.options.configuration(), this.options.runtime.now());
  }

  private recordWaiting(owner: NodeId, shard: ShardId, ticket: CallTicket, now: number): void {
    const known = this.calls.get(ticket.call);
    if (known === undefined) {
      this.enqueue(owner, shard, ticket, now);
      return;
    }
    known.owner = owner;
    const graceElapsed = now - known.changedAt > IN_FLIGHT_GRACE_MILLISECONDS;
    if (known.engine !== '' && graceElapsed) {
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
      changedAt: now,
      enqueuedAt: now,
      pendingPrefillTokens: 0,
    });
    this.options.policy.enqueue(ticket, now);
  }

  private recordRunning(
    owner: NodeId,
    shard: ShardId,
    call: CallId,
    engine: EngineId,
    group: GroupName,
    now: number,
  ): void {
    const ended = this.endedAt.get(call);
    if (ended !== undefined && now - ended < IN_FLIGHT_GRACE_MILLISECONDS) {
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
      changedAt: now,
      enqueuedAt: now,
      pendingPrefillTokens: 0,
    });
    this.engines.get(engine)?.addRunning(call, ticket, 0);
  }

  private dropUnlisted(message: PoolReport, now: number): void {
    const listed = new Set<CallId>();
    message.waiting.forEach((ticket) => listed.add(ticket.call));
    message.running.forEach((running) => listed.add(running.call));
    for (const known of [...this.calls.values()]) {
      const graceElapsed = now - known.changedAt > IN_FLIGHT_GRACE_MILLISECONDS;
      if (known.shard === message.from && !listed.has(known.call) && graceElapsed) {
        this.dropCall(known, now);
      }
    }
  }

  private dropCall(known: TrackedCall, now: number): void {
    if (known.engine === '' && known.ticket !== undefined) {
      this.options.policy.remove(known.ticket);
    }
    const engine = this.engines.get(known.engine);
    engine?.removeRunning(known.call);
    engine?.subtractPendingPrefill(known.pendingPrefillTokens);
    this.forgetCall(known, now);
  }

  private forgetCall(known: TrackedCall, now: number): void {
    this.calls.delete(known.call);
    this.endedAt.set(known.call, now);
  }

  private forgetOldEndedCalls(now: number): void {
    for (const [call, ended] of this.endedAt) {
      if (now - ended < IN_FLIGHT_GRACE_MILLISECONDS) {
        return;
      }
      this.endedAt.delete(call);
    }
  }

  private dropCallsOfSilentShards(now: number): void {
    for (const [shard, reportedAt] of this.lastReportByShard) {
      if (now - reportedAt < OWNER_TIMEOUT_MILLISECONDS) {
        continue;
      }
      this.lastReportByShard.delete(shard);
      const orphans = [...this.calls.values()].filter((known) => known.shard === shard);
      orphans.forEach((known) => this.dropCall(known, now));
    }
  }

  private recordOutcome(
    engine: EngineState,
    message: PoolFinished,
    ticket: CallTicket | undefined,
    now: number,
  ): void {
    if (message.outcome === 'failed') {
      engine.recordFailure(now);
    }
    if (message.outcome !== 'answered') {
      return;
    }
    engine.recordSuccess();
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
  private refuseUnmeetableDeadlines(now: number): void {
    for (const known of [...this.calls.values()]) {
      const { ticket } = known;
      if (known.engine !== '' || ticket === undefined) {
        continue;
      }
      const remaining = ticket.deadlineIn - (now - known.enqueuedAt);
      const needed = this.pool.costs.serviceMilliseconds(0, ticket.maximumTokens, 0);
      if (remaining < needed) {
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

  private assignStartableCalls(): void {
    const { runtime, policy, canServe } = this.options;
    const now = runtime.now();
    if (this.assigning || !canServe() || now - this.startedAt < STARTUP_OBSERVATION_MILLISECONDS) {
      return;
    }
    this.assigning = true;
    for (
      let placement = policy.choose(this.pool, now);
      placement !== undefined;
      placement = policy.choose(this.pool, now)
    ) {
      this.assign(placement, now);
    }
    this.assigning = false;
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
    known.changedAt = now;
    known.pendingPrefillTokens = ticket.promptTokens - cached;
    state.addRunning(ticket.call, ticket, known.pendingPrefillTokens);
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

  private schedulePrefillEnd(state: EngineState, known: TrackedCall): void {
    const prefillBacklog = state.view.pendingPrefillTokens;
    const delay = prefillBacklog * this.pool.costs.prefillMillisecondsPerToken;
    this.options.runtime.setTimer(delay, () => {
      state.subtractPendingPrefill(known.pendingPrefillTokens);
      known.pendingPrefillTokens = 0;
    });
  }

  private requestBackEndReports(): void {
    for (const engine of this.engines.values()) {
      const { engine: name } = engine.view;
      this.options.backEnds.report(name, (report) => this.receiveBackEndReport(name, report));
    }
    this.holds.checkAllHolds();
  }

  private receiveBackEndReport(name: EngineId, report: BackEndReport): void {
    const engine = this.engines.get(name);
    const now = this.options.runtime.now();
    if (engine === undefined || !this.options.canServe()) {
      return;
    }
    if (report.unreachable) {
      engine.recordFailure(now);
    } else {
      this.holds.receiveReport(engine, report, now);
    }
  }
}
