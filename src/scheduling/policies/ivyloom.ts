/**
 * The default scheduling policy. Calls are ordered by class, then by weighted fairness between
 * groups, then by the attained service of their programs with ageing. Each call goes to the engine
 * with the lowest expected cost, or waits a limited time for the engine that has its prompt cached.
 * Prompts are held in the cache between turns for as long as the expected saving exceeds the cost.
 */
import TinyQueue from 'tinyqueue';
import type { CallId, EngineId, ProgramId } from '../../model/identifiers.js';
import type { CallTicket } from '../../wire/messages.js';
import { PauseModel } from '../pause-model.js';
import { WaitingQueue } from '../waiting-queue.js';
import type { RankedTicket } from '../waiting-queue.js';
import type {
  EngineView,
  FinishedTurn,
  HoldDecision,
  Placement,
  PoolView,
  SchedulingPolicy,
} from '../pool-view.js';
import { chooseEngine, hasFreeSlot, canStart, minimumUncachedTokens } from '../placement-cost.js';

/** Knowledge of the future, for computing an upper bound on what a policy can achieve. */
export interface Oracle {
  /** Milliseconds of service that the program still needs, including its current call. */
  remainingMilliseconds(program: ProgramId): number;
  /** Milliseconds until the program's next call, or undefined if there is none. */
  nextPauseMilliseconds(program: ProgramId): number | undefined;
}

/** Options of `IvyloomPolicy`. */
export interface IvyloomPolicyOptions {
  /** Milliseconds added to a program's rank for each token of attained service. @default 2 */
  readonly attainedWeight?: number;
  /** Hold duration in milliseconds that costs as much as a cache hit saves. @default 120000 */
  readonly holdHorizonMilliseconds?: number;
  /** If set, the policy ranks and holds by actual future demand and is named `clairvoyant`. */
  readonly oracle?: Oracle;
}

/** Maximum number of waiting calls examined per decision. */
const SCAN_LIMIT = 12;
/** Maximum time that a call waits for one particular engine, in milliseconds. */
const MAXIMUM_AFFINITY_WAIT_MILLISECONDS = 4_000;

/** A call that waits for the engine that has its prompt cached. */
interface AffinityWait {
  readonly ranked: RankedTicket;
  /** Estimated milliseconds of service already charged to the call's group. */
  readonly charged: number;
  /** Monotonic time in milliseconds at which the call returns to the waiting queue. */
  readonly expiresAt: number;
}

interface LastTurn {
  /** Monotonic time in milliseconds. */
  readonly finishedAt: number;
  /** Key of the pause model that learns the pause after this turn. */
  readonly pauseKey: string;
}

/** Fair scheduling by attained service, with prompt-cache affinity. */
export class IvyloomPolicy implements SchedulingPolicy {
  readonly name: string;
  readonly releasesMemory = true;
  private readonly queue = new WaitingQueue();
  /** Waiting calls by engine. An entry that is not in `affinityWaits` is stale. */
  private readonly affinityQueues = new Map<EngineId, TinyQueue<AffinityWait>>();
  private readonly affinityWaits = new Map<CallId, AffinityWait>();
  /** Calls that fit no engine's cache. An entry that is not in `memoryBlockedCalls` is stale. */
  private readonly memoryBlocked = new TinyQueue<RankedTicket>(
    [],
    (left, right) => left.rank - right.rank,
  );
  private readonly memoryBlockedCalls = new Map<CallId, RankedTicket>();
  /** Estimated milliseconds of service charged to a call's group until the call is answered. */
  private readonly charges = new Map<CallId, number>();
  private readonly pauseModels = new Map<string, PauseModel>();
  private readonly lastTurns = new Map<ProgramId, LastTurn>();
  private readonly attainedWeight: number;
  private readonly holdHorizon: number;
  private readonly oracle: Oracle | undefined;

  constructor(options: IvyloomPolicyOptions = {}) {
    this.attainedWeight = options.attainedWeight ?? 2;
    this.holdHorizon = options.holdHorizonMilliseconds ?? 120_000;
    this.oracle = options.oracle;
    this.name = options.oracle === undefined ? 'ivyloom' : 'clairvoyant';
  }

  enqueue(ticket: CallTicket, now: number): void {
    const last = this.lastTurns.get(ticket.program);
    if (last !== undefined) {
      this.pauseModelOf(last.pauseKey).observePause(now - last.finishedAt);
      this.lastTurns.delete(ticket.program);
    }
    this.queue.add({ ticket, rank: this.rankOf(ticket, now), enqueuedAt: now });
  }

  remove(ticket: CallTicket): void {
    this.queue.remove(ticket.call);
    this.affinityWaits.delete(ticket.call);
    this.memoryBlockedCalls.delete(ticket.call);
    this.charges.delete(ticket.call);
  }

  choose(pool: PoolView, now: number): Placement | undefined {
    const anyFree = pool.engines.some((engine) => hasFreeSlot(engine, true));
    if (!anyFree) {
      return undefined;
    }
    this.requeueExpiredWaits(pool, now);
    return this.chooseAffinity(pool) ?? this.chooseWaiting(pool, now) ?? this.chooseBlocked(pool);
  }

  finished(pool: PoolView, turn: FinishedTurn, now: number): HoldDecision {
    const { ticket } = turn;
    const charged = this.charges.get(ticket.call) ?? 0;
    this.charges.delete(ticket.call);
    this.queue.charge(ticket.group, turn.serviceMilliseconds - charged, pool.shareOf(ticket.group));
    if (ticket.endsProgram) {
      return { type: 'hold', milliseconds: 0 };
    }
    const pauseKey = `${ticket.group}:${ticket.callClass}`;
    this.lastTurns.set(ticket.program, { finishedAt: now, pauseKey });
    return { type: 'hold', milliseconds: this.holdMilliseconds(turn, pauseKey) };
  }

  programEnded(program: ProgramId): void {
    const last = this.lastTurns.get(program);
    if (last !== undefined) {
      this.pauseModelOf(last.pauseKey).observeEnd();
      this.lastTurns.delete(program);
    }
  }

  private rankOf(ticket: CallTicket, now: number): number {
    if (this.oracle !== undefined) {
      return this.oracle.remainingMilliseconds(ticket.program);
    }
    const startedAt = now - ticket.programAge;
    return startedAt + this.attainedWeight * ticket.attainedService;
  }

  private pauseModelOf(key: string): PauseModel {
    let model = this.pauseModels.get(key);
    if (model === undefined) {
      model = new PauseModel();
      this.pauseModels.set(key, model);
    }
    return model;
  }

  private holdMilliseconds(turn: FinishedTurn, pauseKey: string): number {
    const { ticket } = turn;
    const horizon = this.holdHorizon;
    if (this.oracle !== undefined) {
      const pause = this.oracle.nextPauseMilliseconds(ticket.program);
      return pause !== undefined && pause < horizon ? pause + 1_000 : 0;
    }
    return this.pauseModelOf(pauseKey).optimalHoldMilliseconds(1, 1 / horizon);
  }

  private requeueExpiredWaits(pool: PoolView, now: number): void {
    for (const wait of [...this.affinityWaits.values()]) {
      if (wait.expiresAt > now) {
        continue;
      }
      this.cancelAffinityWait(pool, wait);
      this.queue.add(wait.ranked);
    }
  }

  private cancelAffinityWait(pool: PoolView, wait: AffinityWait): void {
    const { ticket } = wait.ranked;
    this.affinityWaits.delete(ticket.call);
    this.refund(pool, ticket, wait.charged);
  }

  private refund(pool: PoolView, ticket: CallTicket, charged: number): void {
    this.charges.delete(ticket.call);
    this.queue.charge(ticket.group, -charged, pool.shareOf(ticket.group));
  }

  /** Queues a call that currently fits no engine, in order of rank. */
  private blockOnMemory(ranked: RankedTicket): void {
    this.memoryBlocked.push(ranked);
    this.memoryBlockedCalls.set(ranked.ticket.call, ranked);
  }

  private chooseBlocked(pool: PoolView): Placement | undefined {
    for (
      let head = this.memoryBlocked.peek();
      head !== undefined;
      head = this.memoryBlocked.peek()
    ) {
      const { ticket } = head;
      if (this.memoryBlockedCalls.get(ticket.call) !== head) {
        this.memoryBlocked.pop();
        continue;
      }
      const choice = chooseEngine(pool, ticket, (engine) => this.affinityQueueLength(engine));
      if (choice === undefined || choice.waitMilliseconds > 0) {
        return undefined;
      }
      this.memoryBlocked.pop();
      this.memoryBlockedCalls.delete(ticket.call);
      this.chargeEstimate(pool, ticket);
      return { ticket, engine: choice.engine };
    }
    return undefined;
  }

  private chooseAffinity(pool: PoolView): Placement | undefined {
    for (const [name, queue] of this.affinityQueues) {
      const engine = pool.engineByName.get(name);
      for (let head = queue.peek(); head !== undefined; head = queue.peek()) {
        const { ticket } = head.ranked;
        if (this.affinityWaits.get(ticket.call) !== head) {
          queue.pop();
          continue;
        }
        if (engine === undefined || !canStart(pool, engine, ticket)) {
          break;
        }
        queue.pop();
        this.affinityWaits.delete(ticket.call);
        return { ticket, engine };
      }
    }
    return undefined;
  }

  private chooseWaiting(pool: PoolView, now: number): Placement | undefined {
    for (let scanned = 0; scanned < SCAN_LIMIT; scanned += 1) {
      const ranked = this.queue.take(now);
      if (ranked === undefined) {
        return undefined;
      }
      const charged = this.chargeEstimate(pool, ranked.ticket);
      const choice = chooseEngine(pool, ranked.ticket, (engine) =>
        this.affinityQueueLength(engine),
      );
      if (choice === undefined) {
        this.refund(pool, ranked.ticket, charged);
        this.blockOnMemory(ranked);
        continue;
      }
      if (choice.waitMilliseconds === 0) {
        return { ticket: ranked.ticket, engine: choice.engine };
      }
      const maximumWait = Math.min(choice.waitMilliseconds * 2, MAXIMUM_AFFINITY_WAIT_MILLISECONDS);
      this.waitForEngine(choice.engine, { ranked, charged, expiresAt: now + maximumWait });
    }
    return undefined;
  }

  private chargeEstimate(pool: PoolView, ticket: CallTicket): number {
    const uncached = minimumUncachedTokens(pool, ticket);
    const cost = pool.costs.serviceMilliseconds(uncached, ticket.maximumTokens, 0);
    this.charges.set(ticket.call, cost);
    this.queue.charge(ticket.group, cost, pool.shareOf(ticket.group));
    return cost;
  }

  private waitForEngine(engine: EngineView, wait: AffinityWait): void {
    let queue = this.affinityQueues.get(engine.engine);
    if (queue === undefined) {
      queue = new TinyQueue<AffinityWait>(
        [],
        (left, right) => left.ranked.rank - right.ranked.rank,
      );
      this.affinityQueues.set(engine.engine, queue);
    }
    queue.push(wait);
    this.affinityWaits.set(wait.ranked.ticket.call, wait);
  }

  private affinityQueueLength(engine: EngineView): number {
    return this.affinityQueues.get(engine.engine)?.length ?? 0;
  }
}
