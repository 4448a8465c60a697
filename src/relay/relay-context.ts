/** What all calls of one gateway share. */
import type { Runtime } from '../runtime/runtime.js';
import type { TurnClient } from '../turns/turn-client.js';
import type { MemoryBudget } from './memory/memory-budget.js';
import type { RunnerBackpressure } from './memory/runner-backpressure.js';
import type { HeaderNames } from './request/header-names.js';
import type { ProgramAdmission } from './admission/program-admission.js';
import type { ProgramStats } from './admission/program-stats.js';
import type { ServiceDemand } from './admission/service-demand.js';
import type { PlacementCharge } from './placement/placement-charges.js';
import type { QuotaGate } from './admission/quota-gate.js';
import type { RelayMetrics } from './relay-metrics.js';
import type { RunnerRegistry } from './runners/runner-registry.js';
import type { RunnerConnections } from './tries/runner-connections.js';
import type { TrafficSplit } from './runners/traffic-split.js';
import type { RoutingTable } from './request/routing-table.js';

/** See the head of this file. */
export interface RelayContext {
  readonly runtime: Runtime;
  readonly zone: string;
  readonly names: HeaderNames;
  readonly registry: RunnerRegistry;
  readonly connections: RunnerConnections;
  readonly admission: ProgramAdmission;
  readonly kindStats: ProgramStats;
  readonly demand: ServiceDemand;
  readonly split: TrafficSplit;
  /** Whether a few runners are drawn and weighed, in place of all. */
  readonly samplesCandidates: boolean;
  /** What placement adds up. */
  readonly charges: readonly PlacementCharge[];
  readonly turns: TurnClient;
  readonly quotas: QuotaGate;
  readonly metrics: RelayMetrics;
  /** Bytes that this process holds for others. */
  readonly memory: MemoryBudget;
  /** Bytes that runners have not taken. */
  readonly backpressure: RunnerBackpressure;
  /** The newest configuration; undefined before the first. */
  currentTable(): RoutingTable | undefined;
  /** Whether that is proved to be the newest, to within the bound for changes. */
  isTableProven(): boolean;
  /** Whether no key can have been taken away so long ago that it must not be served. */
  areKeysFresh(): boolean;
}
