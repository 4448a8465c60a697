/**
 * Schedules calls onto the engines of one service, on the node that leads the pool's shard. The
 * state is rebuilt from the reports of shard owners and engines, so nothing is persisted.
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

/** Time between requests for engine reports, in milliseconds. */
const BACK_END_REPORT_PERIOD_MILLISECONDS = 2_000;
/**
 * Time in milliseconds during which an owner's report does not override a recent assignment or
 * end of a call, since the report may have been sent before it.
 */
const IN_FLIGHT_GRACE_MILLISECONDS = 2_500;
/** Time without a report after which a shard's calls are dropped, in milliseconds. */
const OWNER_TIMEOUT_MILLISECONDS = 6_000;
/**
 * Time after start, in milliseconds, during which no call is assigned, so that the scheduler first
 * learns from reports which calls are running.
 */
const STARTUP_OBSERVATION_MILLISECONDS = 1_200;

/** Dependencies of a `PoolScheduler`. */
export interface PoolSchedulerOptions {
  readonly service: ServiceName;
  readonly runtime: Runtime;
  readonly policy: SchedulingPolicy;
  readonly backEnds: BackEndPort;
  readonly configuration: () => ClusterConfiguration;
  readonly fence: () => Fence;
  readonly canServe: () => boolean;
  readonly send: (to: NodeId, message: Message) => void;
  /** Asks the shard owners which of these programs have ended. */
  readonly checkHolds: (programs: readonly ProgramId[]) => void;
}

/** A waiting or running call. */
interface TrackedCall {
  ticket: CallTicket | undefined;
  readonly call: CallId;
  readonly group: GroupName;
  owner: NodeId;
  /** Shard of the call's program. */
  readonly shard: ShardId;
  /** Empty while the call waits. */
  engine: EngineId;
  /** Monotonic time in milliseconds at which the call was enqueued or assigned. */
  changedAt: number;
  /** Monotonic time in milliseconds from which the ticket's deadline counts. */
  readonly enqueuedAt: number;
  /** Uncached prompt tokens whose prefill is not expected to be complete. */
  pendingPrefillTokens: number;
}

/** An engine as listed for operators. */
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

/** A hold as listed for operators. */
export type HoldRow = {
  readonly program: ProgramId;
  readonly engine: EngineId;
  readonly service: ServiceName;
  readonly tokens: number;
  /** Seconds until the hold expires. */
  readonly left: number;
};

/** Queues the calls of one service and assigns them to engines. */
export class PoolScheduler {
  private readonly engines: EngineSet;
  private readonly holdManager: HoldManager;
  private readonly calls = new Map<CallId, TrackedCall>();
  /** End times of recent calls, kept so that late reports do not add these calls again. */
  private readonly endedAt = new Map<CallId, number>();
  /** Monotonic time in milliseconds of each shard's last report. */
  private readonly lastReportByShard = new Map<ShardId, number>();
  private readonly pool: PoolView;
  private readonly startedAt: number;
  private backEndReportsRequestedAt = 0;
  /** Prevents reentrant calls of `assignStartableCalls`. */
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
    this.holdManager = new HoldManager({ ...options, engines, directory });
    this.configure();
  }

  /** Number of waiting calls. */
  get waitingCount(): number {
    let count = 0;
    for (const call of this.calls.values()) {
      count += call.engine === '' ? 1 : 0;
    }
    return count;
  }

  /** Handles an owner's report of single calls or, if complete, of all its calls in this pool. */
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

  /** Handles an owner's message that a call no longer runs on its engine. */
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

  /** Releases the cached prompts of an ended program. */
  receiveProgramGone(program: ProgramId): void {
    this.holdManager.releaseProgram(program);
  }

  /** Applies configuration changes and timeouts and starts calls; called a few times a second. */
  tick(): void {
    const now = this.options.runtime.now();
    this.configure();
    for (const engine of this.engines.values()) {
      engine.updateAvailability(now);
    }
    this.holdManager.removeExpired(now);
    this.dropCallsOfSilentShards(now);
    this.forgetOldEndedCalls(now);
    this.refuseUnmeetableDeadlines(now);
    if (now - this.backEndReportsRequestedAt >= BACK_END_REPORT_PERIOD_MILLISECONDS) {
      this.backEndReportsRequestedAt = now;
      this.requestBackEndReports();
    }
    this.assignStartableCalls();
  }

  /** Lists the pool's engines for operators. */
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

  /** Lists the holds on the pool's engines for operators. */
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
      // The owner missed the assignment or lost the engine's stream, so the call is queued again.
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
    this.holdManager.finishTurn(this.pool, engine, turn, now);
  }

  /**
   * Refuses waiting calls whose deadline is closer than their expected service time with a fully
   * cached prompt.
   */
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

  /** Clears a call's pending prefill after the expected time of its engine's whole backlog. */
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
    this.holdManager.checkAllHolds();
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
      this.holdManager.receiveReport(engine, report, now);
    }
  }
}
