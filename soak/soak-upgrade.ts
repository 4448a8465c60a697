/**
 * Machines that are stopped one after the other and start again with another build, while clients work and
 * faults strike; then, if wanted, back again.
 */
import { endedConnections } from './ended-connections.js';
import type { PlatformProcess, PlatformRole } from './platform-process.js';
import { PROGRAM } from './platform-process.js';
import type { SoakCounts } from './soak-client.js';

/** Which machines come first. */
export const UPGRADE_ORDERS = ['gateways', 'replicas'] as const;
/** One of these. */
export type UpgradeOrder = (typeof UPGRADE_ORDERS)[number];

/** How far an upgrade goes. */
export const UPGRADE_ENDS = ['whole', 'halfway', 'back'] as const;
/** One of these: all machines, half of them for good, or half of them and then all back. */
export type UpgradeEnd = (typeof UPGRADE_ENDS)[number];

/**
 * What is judged: nothing while faults strike; else that no shared connection ended over an unreadable message
 * (`connections`), and besides that no request was refused (`refusals`).
 * On a machine that is busy with other work replicas may be too slow for a request without any upgrade.
 */
export type UpgradeJudgement = 'nothing' | 'connections' | 'refusals';

/** An upgrade that is played. */
export interface UpgradePlan {
  /** Commit with which all machines start. */
  readonly from: string;
  /** Its program. */
  readonly program: string;
  readonly order: UpgradeOrder;
  readonly end: UpgradeEnd;
  /** What is judged of it, beside the promises. */
  readonly judged: UpgradeJudgement;
}

/** One machine that was started with another build, and what clients saw until the next one was. */
export interface UpgradeStep {
  readonly machine: string;
  readonly build: 'old' | 'new';
  readonly sent: number;
  readonly refused: number;
  readonly failed: number;
}

/** What the upgrade is played with. */
export interface SoakUpgradeOptions {
  readonly plan: UpgradePlan;
  readonly of: (role: PlatformRole) => readonly PlatformProcess[];
  readonly counts: SoakCounts;
  /** Runs an action on a machine once no fault strikes it, and keeps faults away meanwhile. */
  readonly reserve: (machine: PlatformProcess, action: () => Promise<void>) => Promise<void>;
}

/** Time between two machines: a replica has read what it missed, and clients have met the mix. */
const BETWEEN_MILLISECONDS = 3_000;

interface PlannedStep {
  readonly name: string;
  readonly role: PlatformRole;
  readonly build: 'old' | 'new';
}

/** See the head of this file. */
export class SoakUpgrade {
  readonly steps: UpgradeStep[] = [];

  constructor(private readonly options: SoakUpgradeOptions) {}

  /** Rolls all machines of the plan; resolves after the last one's pause. */
  async run(): Promise<void> {
    for (const step of this.plannedSteps()) {
      const before = { ...this.options.counts };
      await this.roll(step);
      await new Promise((resolve) => setTimeout(resolve, BETWEEN_MILLISECONDS));
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

  /** What is wrong with it, once all processes have ended; their logs are in folders of this one. */
  violationsIn(folder: string): string[] {
    const { judged } = this.options.plan;
    const ended = judged === 'nothing' ? [] : endedConnections(folder);
    return judged === 'refusals' ? [...ended, ...this.refusals] : ended;
  }

  private get refusals(): string[] {
    return this.steps
      .filter(({ refused }) => refused > 0)
      .map(({ machine, build, sent, refused }) => {
        return `upgrade: ${refused} of ${sent} refused as ${machine} began with the ${build} build`;
      });
  }

  private plannedSteps(): PlannedStep[] {
    const { plan, of } = this.options;
    const roles: readonly PlatformRole[] =
      plan.order === 'gateways' ? ['gateway', 'replica'] : ['replica', 'gateway'];
    const machines = roles.flatMap((role) => of(role).map(({ machine }) => machine));
    const onwards = machines.map(({ name, role }) => ({ name, role, build: 'new' as const }));
    // More than half, so that machines of either role are of both builds at the end.
    const half = onwards.slice(0, Math.ceil((machines.length + 1) / 2));
    const back = [...half].reverse().map((step) => ({ ...step, build: 'old' as const }));
    const ends = { whole: onwards, halfway: half, back: [...half, ...back] };
    return ends[plan.end];
  }

  private async roll({ name, role, build }: PlannedStep): Promise<void> {
    const { plan, of, reserve } = this.options;
    const rolled = of(role).find(({ machine }) => machine.name === name);
    // Its machine may be gone for good by now; the one in its place began with the same build.
    if (rolled === undefined) {
      return;
    }
    await reserve(rolled, async () => {
      const ended = rolled.ended();
      // One that ended by itself is told as such, and starts again with the others.
      rolled.signal('SIGTERM');
      await ended;
      rolled.program = build === 'new' ? PROGRAM : plan.program;
      rolled.start();
    });
  }
}
