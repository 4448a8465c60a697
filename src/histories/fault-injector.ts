/** Injects planned faults into a simulated cluster and records when each was active. */
import type { EngineId, NodeId } from '../model/identifiers.js';
import { runStatement } from '../language/run-statement.js';
import * as E from 'fp-ts/lib/Either.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import type { FaultKind, PlannedFault } from './fault-plan.js';
import type { RecordedRun } from './recorded-events.js';

const MESSAGE_LOSS_PROBABILITY = 0.15;
const EXTRA_DELAY_MILLISECONDS = 400;
const CLOCK_JUMP_MILLISECONDS = 3_600_000;
const MAXIMUM_TORN_ENTRIES = 6;
const OPERATOR = { name: 'operator', mayChange: true };

/** Starts each planned fault at its time and ends it after its duration. */
export class FaultInjector {
  /** Number of faults injected, by kind. */
  readonly faultCounts = new Map<FaultKind, number>();
  private commandCount = 0;
  private tornNode: NodeId = '';

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly run: RecordedRun,
    private readonly engines: readonly EngineId[],
  ) {}

  /** Schedules faults; their times count from the clock's present time. */
  schedule(faults: readonly PlannedFault[]): void {
    for (const fault of faults) {
      this.cluster.clock.schedule(fault.at, () => this.inject(fault));
    }
  }

  /** Ends all active faults and restarts all nodes that are down. */
  healAll(): void {
    const { cluster } = this;
    cluster.network.heal();
    cluster.network.loss = 0;
    cluster.network.extraDelay = 0;
    cluster.keyValue.isDown = false;
    cluster.keyValue.answerLoss = 0;
    for (const node of cluster.nodeNames) {
      cluster.processOf(node).resume();
      cluster.startNode(node);
    }
  }

  private inject(fault: PlannedFault): void {
    this.faultCounts.set(fault.kind, (this.faultCounts.get(fault.kind) ?? 0) + 1);
    const { now } = this.cluster.clock;
    this.run.faultIntervals.push({ from: now, until: now + fault.lastsMilliseconds });
    const heal = this.startFault(fault);
    this.cluster.clock.schedule(fault.lastsMilliseconds, heal);
  }

  private nodeOf(number: number): NodeId {
    const names = this.cluster.nodeNames;
    return names[number % names.length]!;
  }

  private engineOf(number: number): EngineId {
    return this.engines[number % this.engines.length]!;
  }

  private startFault(fault: PlannedFault): () => void {
    const { cluster } = this;
    const node = this.nodeOf(fault.target);
    const engine = this.engineOf(fault.other);
    switch (fault.kind) {
      case 'processDeath':
        this.kill(node);
        return () => cluster.startNode(node);
      case 'tornTail':
        this.kill(node);
        this.tearDisk(node, 1 + (fault.other % MAXIMUM_TORN_ENTRIES));
        return () => cluster.startNode(node);
      case 'processPause':
        cluster.processOf(node).pause();
        return () => cluster.processOf(node).resume();
      case 'partition':
        return this.isolate(node, (other) => cluster.network.cutLink(node, other));
      case 'oneWayPartition':
        return this.isolate(node, (other) => cluster.network.cutOneWay(node, other));
      case 'streamCut':
        cluster.network.cutLink(node, engine);
        return () => cluster.network.heal();
      case 'engineCrash':
        cluster.crashBackEnd(engine, fault.lastsMilliseconds);
        return () => undefined;
      case 'clockJump': {
        const sign = fault.other % 2 === 0 ? 1 : -1;
        cluster.processOf(node).wallOffset += sign * CLOCK_JUMP_MILLISECONDS;
        return () => undefined;
      }
      case 'plannedStop':
        return this.stopGracefully(node);
      case 'toolHang':
        return this.hangTools();
      default:
        return this.startServiceFault(fault, engine);
    }
  }

  private startServiceFault(fault: PlannedFault, engine: EngineId): () => void {
    const { network, keyValue } = this.cluster;
    switch (fault.kind) {
      case 'messageLoss':
        network.loss = MESSAGE_LOSS_PROBABILITY;
        return () => (network.loss = 0);
      case 'messageDelay':
        network.extraDelay = EXTRA_DELAY_MILLISECONDS;
        return () => (network.extraDelay = 0);
      case 'keyValueOutage':
        keyValue.isDown = true;
        return () => (keyValue.isDown = false);
      case 'keyValueAnswerLoss':
        keyValue.answerLoss = 0.6;
        this.runCommand(`set group brandvold share ${1 + (fault.other % 5)}`, fault.target, {});
        return () => (keyValue.answerLoss = 0);
      case 'leavingBackEnd':
        this.runCommand(`drain engine ${engine}`, fault.target, { drains: engine });
        return () => this.runCommand(`resume engine ${engine}`, fault.target, { resumes: engine });
      default:
        this.runCommand(`set group brandvold share ${2 + (fault.other % 5)}`, fault.target, {});
        this.runCommand(`set group brandvold share ${7 + (fault.other % 5)}`, fault.target + 1, {});
        return () => undefined;
    }
  }

  private kill(node: NodeId): void {
    this.run.stops
      .filter((stop) => stop.node === node && stop.endedAt === Infinity)
      .forEach((stop) => (stop.interrupted = true));
    this.cluster.killNode(node);
  }

  /** Tears the disk of at most one node in a run: three replicas tolerate the loss of one disk. */
  private tearDisk(node: NodeId, entries: number): void {
    if (this.tornNode === '') {
      this.tornNode = node;
      this.cluster.tearDisk(node, entries);
    }
  }

  private isolate(node: NodeId, cut: (other: NodeId) => void): () => void {
    this.cluster.nodeNames.filter((other) => other !== node).forEach(cut);
    return () => this.cluster.network.heal();
  }

  private hangTools(): () => void {
    const tools = [...this.cluster.backEnds.values()].filter((backEnd) => 'hanging' in backEnd);
    const set = (hanging: boolean): void => {
      tools.forEach((tool) => {
        (tool as unknown as { hanging: boolean }).hanging = hanging;
      });
    };
    set(true);
    return () => set(false);
  }

  private stopGracefully(node: NodeId): () => void {
    const { cluster, run } = this;
    if (cluster.node(node) === undefined) {
      return () => undefined;
    }
    const stop = { node, beganAt: cluster.clock.now, endedAt: Infinity, interrupted: false };
    run.stops.push(stop);
    cluster.leaveNode(node, () => {
      stop.endedAt = cluster.clock.now;
      cluster.clock.schedule(500, () => cluster.startNode(node));
    });
    return () => undefined;
  }

  /** Runs an operator command on a node; an accepted change is recorded with its revision. */
  private runCommand(
    statement: string,
    target: number,
    marks: { readonly drains?: string; readonly resumes?: string },
  ): void {
    const node = this.cluster.node(this.nodeOf(target));
    if (node === undefined || this.cluster.processOf(this.nodeOf(target)).isPaused) {
      return;
    }
    this.commandCount += 1;
    const issuedAt = this.cluster.clock.now;
    runStatement(node, statement, OPERATOR, `change-${this.commandCount}`, (result) => {
      if (E.isLeft(result) || result.right.revision === undefined) {
        return;
      }
      this.run.changes.push({
        statement,
        revision: result.right.revision,
        issuedAt,
        at: this.cluster.clock.now,
        drains: marks.drains ?? '',
        resumes: marks.resumes ?? '',
      });
    });
  }
}
