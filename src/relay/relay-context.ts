/** Dependencies and settings that all calls of a gateway share. */
import type { Runtime } from '../runtime/runtime.js';
import type { ExceptionLog } from '../telemetry/exception-log.js';
import type { RegionTraffic } from '../topology/region-traffic.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import type { TurnClient } from '../turns/turn-client.js';
import type { MemoryBudget } from './memory/memory-budget.js';
import type { RunnerBackpressure } from './memory/runner-backpressure.js';
import type { HeaderNames } from './request/header-names.js';
import type { ProgramAdmission } from './admission/program-admission.js';
import type { LoadCorrection } from './admission/load-correction.js';
import type { ProgramStats } from './admission/program-stats.js';
import type { ServiceDemand } from './admission/service-demand.js';
import type { ColdQueue } from './admission/cold-queue.js';
import type { PlacementCharge } from './placement/placement-charges.js';
import type { QuotaGate } from './admission/quota-gate.js';
import type { RelayMetrics } from './relay-metrics.js';
import type { ColdLimits } from './runners/cold-limits.js';
import type { ResumableStreams } from './runners/resumable-streams.js';
import type { RunnerEnds } from './runners/runner-ends.js';
import type { RunnerExclusions } from './runners/runner-exclusions.js';
import type { RunnerRegistry } from './runners/runner-registry.js';
import type { RunnerConnections } from './tries/runner-connections.js';
import type { RequestSuspects } from './suspects/request-suspects.js';
import type { TrafficSplit } from './runners/traffic-split.js';
import type { RoutingTable } from './request/routing-table.js';

/** The shared dependencies of the calls of a gateway. */
export interface RelayContext {
  readonly runtime: Runtime;
  readonly zone: string;
  /** Distances to the zones of runners; undefined if regions are not known. */
  readonly distances: ZoneDistances | undefined;
  /** Counts the bytes exchanged with runners by region; undefined if regions are not known. */
  readonly traffic: RegionTraffic | undefined;
  readonly names: HeaderNames;
  readonly registry: RunnerRegistry;
  /** Ends of runners, and the requests that were there. */
  readonly ends: RunnerEnds;
  /** Requests under which runners have ended. */
  readonly suspects: RequestSuspects;
  /** Rules by which a runner must not get a request. */
  readonly exclusions: RunnerExclusions;
  /** Limits of the requests that are sent to cold runners; also one of the exclusions. */
  readonly coldLimits: ColdLimits;
  /** Requests that wait until one may be sent to a cold runner. */
  readonly coldQueue: ColdQueue;
  readonly connections: RunnerConnections;
  readonly admission: ProgramAdmission;
  readonly kindStats: ProgramStats;
  readonly demand: ServiceDemand;
  readonly loadCorrection: LoadCorrection;
  readonly split: TrafficSplit;
  /** Where streams began that clients may resume. */
  readonly streams: ResumableStreams;
  /** Whether placement compares a few randomly drawn runners instead of all. */
  readonly samplesCandidates: boolean;
  /** Cost terms that placement adds up. */
  readonly charges: readonly PlacementCharge[];
  readonly turns: TurnClient;
  /** Regions in which turns are stored; empty if regions are not known. */
  readonly storageRegions: ReadonlySet<string>;
  readonly quotas: QuotaGate;
  readonly metrics: RelayMetrics;
  /** Exceptions that no code expected; see `RequestBoundary`. */
  readonly exceptions: ExceptionLog;
  /** Memory budget of this process. */
  readonly memory: MemoryBudget;
  /** Called with the number of bytes of each read of a connection. */
  readonly onBuffered: (bytes: number) => void;
  /** Unsent bytes by runner. */
  readonly backpressure: RunnerBackpressure;
  /** Returns the configuration in force; undefined before the first. */
  currentTable(): RoutingTable | undefined;
  /**
   * Whether the configuration in force is proven to be the newest, within the time allowed for
   * changes.
   */
  isTableProven(): boolean;
  /** Whether keys may be accepted: none can have been revoked longer ago than the allowed delay. */
  areKeysFresh(): boolean;
}
