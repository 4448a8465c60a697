/**
 * A rolling upgrade during a soak: machines are stopped one after another and restarted with another build, and
 * optionally rolled back, while clients send requests and faults may be injected.
 */
import { endedConnections } from './ended-connections.js';
import type { PlatformProcess, PlatformRole } from './platform-process.js';
import { PROGRAM } from './platform-process.js';
import type { SoakCounts } from './soak-client.js';

/** Orders of an upgrade, named after the role that is upgraded first. */
export const UPGRADE_ORDERS = ['gateways', 'replicas'] as const;
export type UpgradeOrder = (typeof UPGRADE_ORDERS)[number];

/** Extents of an upgrade. */
export const UPGRADE_ENDS = ['whole', 'halfway', 'back'] as const;
/** All machines, just over half of them for good, or just over half of them followed by a rollback. */
export type UpgradeEnd = (typeof UPGRADE_ENDS)[number];

/**
 * What is checked besides the guarantees: nothing while faults are injected; otherwise that no shared connection
 * was closed over an unreadable message (`connections`), and also that no request was refused (`refusals`).
 * Refusals are left out on a machine that is busy with other work, where replicas may be too slow anyway.
 */
export type UpgradeChecks = 'nothing' | 'connections' | 'refusals';

/** Plan of a rolling upgrade. */
export interface UpgradePlan {
  /** Commit whose build all machines start with. */
  readonly from: string;
  /** Path of that build's program. */
  readonly program: string;
  readonly order: UpgradeOrder;
  readonly end: UpgradeEnd;
  /** What is checked besides the guarantees. */
  readonly checks: UpgradeChecks;
}

/** A machine restarted with another build, and the request counts until the next restart. */
export interface UpgradeStep {
  readonly machine: string;
  readonly build: 'old' | 'new';
  readonly sent: number;
  readonly refused: number;
  readonly failed: number;
}

/** Dependencies of the rolling upgrade. */
export interface SoakUpgradeOptions {
  readonly plan: UpgradePlan;
  readonly processesOf: (role: PlatformRole) => readonly PlatformProcess[];
  readonly counts: SoakCounts;
  /** Runs an action on a machine once no fault has it as a target, and keeps faults off it meanwhile. */
  readonly reserve: (machine: PlatformProcess, action: () => Promise<void>) => Promise<void>;
}

/** Pause between two machines, in which a replica catches up and clients use the mixed builds, in milliseconds. */
const RESTART_PAUSE_MILLISECONDS = 3_000;

interface PlannedStep {
  readonly name: string;
  readonly role: PlatformRole;
  readonly build: 'old' | 'new';
}

/** Performs a rolling upgrade and reports what went wrong in it. */
export class SoakUpgrade {
  readonly steps: UpgradeStep[] = [];

  constructor(private readonly options: SoakUpgradeOptions) {}

  /** Restarts all machines of the plan; resolves after the pause that follows the last one. */
  async run(): Promise<void> {
    for (const step of this.plannedSteps()) {
      const before = { ...this.options.counts };
      await this.restart(step);
      await new Promise((resolve) => setTimeout(resolve, RESTART_PAUSE_MILLISECONDS));
      const { counts } = this.options;
      this.steps.push({
        machine: step.name,
        build: step.build,
        sent: counts.sent - before.sent,
        refused: counts.refused - before.refused,
        failed: counts.failed - before.failed,
      });
    }
  }

  /** Returns the upgrade's violations. Call once all processes have ended; `folder` holds a subfolder for each log. */
  violationsIn(folder: string): string[] {
    const { checks } = this.options.plan;
    const ended = checks === 'nothing' ? [] : endedConnections(folder);
    return checks === 'refusals' ? [...ended, ...this.refusals] : ended;
  }

  private get refusals(): string[] {
    return this.steps
      .filter(({ refused }) => refused > 0)
      .map(({ machine, build, sent, refused }) => {
        return `upgrade: ${refused} of ${sent} requests refused after ${machine} started with the ${build} build`;
      });
  }

  private plannedSteps(): PlannedStep[] {
    const { plan, processesOf } = this.options;
    const roles: readonly PlatformRole[] =
      plan.order === 'gateways' ? ['gateway', 'replica'] : ['replica', 'gateway'];
    const machines = roles.flatMap((role) => processesOf(role).map(({ machine }) => machine));
    const upgrades = machines.map(({ name, role }) => ({ name, role, build: 'new' as const }));
    // More than half of the machines.
    const majority = upgrades.slice(0, Math.ceil((machines.length + 1) / 2));
    const back = [...majority].reverse().map((step) => ({ ...step, build: 'old' as const }));
    const ends = { whole: upgrades, halfway: majority, back: [...majority, ...back] };
    return ends[plan.end];
  }

  private async restart({ name, role, build }: PlannedStep): Promise<void> {
    const { plan, processesOf, reserve } = this.options;
    const process = processesOf(role).find(({ machine }) => machine.name === name);
    // A fault may have replaced the machine for good; the replacement runs the build of the machine that it replaced.
    if (process === undefined) {
      return;
    }
    await reserve(process, async () => {
      const ended = process.whenExited();
      // An exit that the soak did not cause stays in unexpectedExits; the process is restarted regardless.
      process.signal('SIGTERM');
      await ended;
      process.program = build === 'new' ? PROGRAM : plan.program;
      process.start();
    });
  }
}
