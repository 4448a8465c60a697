/** What a soak is run with, and what it shows. */
import type { PowerLossCounts } from './power-loss-counts.js';
import type { SoakCounts } from './soak-client.js';
import type { Fault } from './soak-faults.js';
import type { UpgradePlan, UpgradeStep } from './soak-upgrade.js';

/** What a soak is run with. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Clients at work at the same time. @default 8 */
  readonly clientCount?: number;
  /** Gateways at work. @default 3 */
  readonly gatewayCount?: number;
  /** Replicas at work: three are members, others stand by. @default 4 */
  readonly replicaCount?: number;
  /** Kinds of faults that strike. @default all */
  readonly faults?: readonly Fault[];
  /** Block of addresses, so that soaks can run beside one another. @default 0 */
  readonly block?: number;
  /** Whether entries of other writers stand in the store; older builds end over them. @default true */
  readonly hasStrangeEntries?: boolean;
  /** Machines that change their build meanwhile. @default none */
  readonly upgrade?: UpgradePlan | undefined;
}

/** What a soak showed. */
export interface SoakReport {
  readonly seed: number;
  readonly counts: SoakCounts;
  readonly faults: Readonly<Record<string, number>>;
  /** Pairs of faults that struck at the same time. */
  readonly pairs: Readonly<Record<string, number>>;
  /** Looks at the configuration of gateways in touch. */
  readonly configurationLooks: number;
  /** Requests sent under keys that were taken away. */
  readonly oldKeyRequests: number;
  /** Requests of the tenant with a limit that were answered. */
  readonly limitedAnswers: number;
  /** Milliseconds from the start of all processes after each loss of all power to service of every kind. */
  readonly recoveries: readonly number[];
  /** What losses of power took that was not synced: that they bite. */
  readonly lost: PowerLossCounts;
  /** Machines that were started with another build, in their order. */
  readonly upgrade: readonly UpgradeStep[];
  readonly violations: readonly string[];
  /** Where the logs of the processes are. */
  readonly folder: string;
}

/** A soak under way. */
export interface RunningSoak {
  readonly report: Promise<SoakReport>;
  /** Ends all processes at once, for when the soak itself is to end. */
  readonly killAll: () => void;
}
