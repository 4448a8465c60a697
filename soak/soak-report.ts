/** Options and report of a soak run. */
import type { VersionLooks } from './configuration-check.js';
import type { ConnectionCounts } from './connection-check.js';
import type { FatalRequestCounts } from './fatal-request-check.js';
import type { PlannedStopCounts } from './planned-stop-check.js';
import type { PowerLossCounts } from './power-loss-counts.js';
import type { ResumedTurnCounts } from './resumed-turn-check.js';
import type { SoakCounts } from './soak-client.js';
import type { Fault } from './soak-faults.js';
import type { ResumptionCounts } from './stream-version-check.js';
import type { UpgradePlan, UpgradeStep } from './soak-upgrade.js';

/** Options of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Number of concurrent clients. @default 8 */
  readonly clientCount?: number;
  /** Number of gateways. @default 3 */
  readonly gatewayCount?: number;
  /** Number of replicas: three are members, others idle standbys. @default 4 */
  readonly replicaCount?: number;
  /** Fault kinds to inject. @default all */
  readonly faults?: readonly Fault[];
  /** Block of loopback addresses; soaks in different blocks can run concurrently. @default 0 */
  readonly block?: number;
  /** Whether the store also holds invalid runner entries of other writers; older builds exit on them. @default true */
  readonly hasInvalidEntries?: boolean;
  /** Whether the settings tolerate the loss of a zone. @default false */
  readonly toleratesZoneLoss?: boolean;
  /** Path of the program with which all machines run. @default the current build */
  readonly program?: string | undefined;
  /** Rolling upgrade to perform during the run. @default none */
  readonly upgrade?: UpgradePlan | undefined;
}

/** Result of a soak run; the command prints it as JSON. */
export interface SoakReport {
  readonly seed: number;
  readonly counts: SoakCounts;
  readonly faults: Readonly<Record<string, number>>;
  /** Counts of faults that were active at the same time, by pair. */
  readonly pairs: Readonly<Record<string, number>>;
  /** Completed configuration checks of gateways that were not exempt because of a fault. */
  readonly configurationLooks: number;
  /** Whether gateways ever served an older configuration than clients had seen. */
  readonly versionLooks: VersionLooks;
  /** Answers of runners with neither a length nor chunks, and how many of them were broken off. */
  readonly unframedAnswers: { readonly sent: number; readonly broken: number };
  /** Arrivals at runners, from gateways not exempt because of a fault, while a zone was evacuated. */
  readonly evacuationArrivals: number;
  /** Requests sent with revoked or unknown keys. */
  readonly oldKeyRequests: number;
  /** Answered requests of the rate-limited tenant. */
  readonly limitedAnswers: number;
  /** Largest number of requests that reached a cold runner in any second. */
  readonly coldArrivals: number;
  /** Streams with several software versions of runners; all 0 in an upgrade, whose older build knows none. */
  readonly resumptions: ResumptionCounts;
  /** Turns that are retained and resumed by their clients; all 0 in an upgrade, whose older build stores them in part. */
  readonly resumedTurns: ResumedTurnCounts;
  /** Requests that end their runner, and ordinary ones beside them; all 0 in an upgrade. */
  readonly fatalRequests: FatalRequestCounts;
  /** Requests on kept connections; all 0 in an upgrade, whose older build may cut them. */
  readonly connections: ConnectionCounts;
  /** Those of them that ran and ended around a planned stop or a reload. */
  readonly plannedStops: PlannedStopCounts;
  /** Duration of each recovery check until every kind was served or its time was over, in milliseconds. */
  readonly recoveries: readonly number[];
  /** Unsynced data that power losses discarded; shows that the fault has an effect. */
  readonly lost: PowerLossCounts;
  /** Machines restarted with another build, in order. */
  readonly upgrade: readonly UpgradeStep[];
  readonly violations: readonly string[];
  /** Folder with the logs of the processes. */
  readonly folder: string;
}

/** A soak in progress. */
export interface RunningSoak {
  readonly report: Promise<SoakReport>;
  /** Kills all processes at once, for use when the soak itself exits. */
  readonly killAll: () => void;
}
