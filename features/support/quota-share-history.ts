/** Members that lend one another their shares of quotas, with lost and late messages, freezes and restarts. */
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { MemberRecord } from '../../src/turns/membership.js';
import { QuotaShares } from '../../src/turns/quota-shares.js';

const STEP_MILLISECONDS = 25;
const PULL_MILLISECONDS = 300;
const MAXIMUM_DELAY_MILLISECONDS = 500;
const HISTORY_MILLISECONDS = 30_000;
const TENANTS = ['a', 'b', 'c', 'd', 'e', 'f'];
const ROUNDING = 1e-9;

/** Runs one history and checks at each step that no share has two holders. */
export class QuotaShareHistory {
  readonly violations: string[] = [];
  /** Largest share of a tenant's quota that one member held. */
  largestShare = 0;
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly record: MemberRecord;
  private readonly members: QuotaShares[];
  private readonly frozenUntil: number[];

  constructor(
    seed: number,
    count: number,
    /** An injected fault: the borrower counts a lease from the receipt of the reply. */
    private readonly countsFromReceipt: boolean,
  ) {
    this.random = createRandom(seed);
    const ids = Array.from({ length: count }, (_, index) => `m${index}`);
    const members = ids.map((id) => ({ id, node: id, host: id, port: 1, zone: id }));
    this.record = { epoch: 1, members };
    this.members = ids.map((id) => new QuotaShares(id, 0));
    this.frozenUntil = ids.map(() => 0);
  }

  run(): this {
    this.members.forEach((_, from) =>
      this.members.forEach((__, to) => from === to || this.schedulePull(from, to)),
    );
    this.scheduleTrouble();
    for (let at = 0; at < HISTORY_MILLISECONDS; at += STEP_MILLISECONDS) {
      this.clock.runUntil(at);
      this.check();
    }
    return this;
  }

  private check(): void {
    for (const tenant of TENANTS) {
      const shares = this.members.map(
        (member) => member.shareOf(tenant, this.record, this.clock.now).share,
      );
      this.largestShare = Math.max(this.largestShare, ...shares);
      const sum = shares.reduce((left, right) => left + right, 0);
      if (sum > 1 + ROUNDING) {
        this.violations.push(`${sum} of ${tenant} at ${this.clock.now}`);
      }
    }
  }

  private schedulePull(from: number, to: number): void {
    this.clock.schedule(PULL_MILLISECONDS * (0.5 + this.random.uniform()), () => {
      this.whenAwake(from, () => this.pull(from, to));
      this.schedulePull(from, to);
    });
  }

  private pull(from: number, to: number): void {
    const borrower = this.members[from]!;
    const askedAt = this.clock.now;
    this.deliver(() =>
      this.whenAwake(to, () => {
        const lent = this.members[to]!.lend(`m${from}`, this.record, this.clock.now);
        this.deliver(() =>
          this.whenAwake(from, () => {
            // A reply reaches only the process that asked.
            if (this.members[from] === borrower) {
              const since = this.countsFromReceipt ? this.clock.now : askedAt;
              borrower.borrow(`m${to}`, lent, 1, this.record, since, this.clock.now);
            }
          }),
        );
      }),
    );
  }

  private deliver(receive: () => void): void {
    if (this.random.uniform() < 0.9) {
      const isLate = this.random.uniform() < 0.1;
      this.clock.schedule(
        this.random.uniform() * (isLate ? MAXIMUM_DELAY_MILLISECONDS : 10),
        receive,
      );
    }
  }

  private whenAwake(member: number, action: () => void): void {
    const wait = this.frozenUntil[member]! - this.clock.now;
    if (wait <= 0) {
      action();
    } else {
      this.clock.schedule(wait, () => this.whenAwake(member, action));
    }
  }

  private scheduleTrouble(): void {
    this.clock.schedule(this.random.exponential(1_500), () => {
      const member = this.random.integer(0, this.members.length - 1);
      const { now } = this.clock;
      const kind = this.random.uniform();
      if (kind < 0.4) {
        this.frozenUntil[member] = now + this.random.uniform() * 3_000;
      } else if (kind < 0.7) {
        this.members[member] = new QuotaShares(`m${member}`, now);
      } else {
        this.members[member]!.keep(this.random.pick(TENANTS), this.record, now);
      }
      this.scheduleTrouble();
    });
  }
}
