/** Steps about configuration proofs and quotas in virtual time, under partitions and process freezes. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { ConfigurationProof } from '../../src/mirror/configuration-proof.js';
import type { DatagramPort } from '../../src/peers/datagram-port.js';
import { ProofExchange } from '../../src/peers/proof-exchange.js';
import { ProgramSizes } from '../../src/relay/admission/program-sizes.js';
import type { TenantId } from '../../src/relay/request/tenant.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import type { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { QuotaBuckets } from '../../src/turns/quota-buckets.js';
import type { QuotaClient } from '../../src/turns/quota-client.js';

interface World {
  clock?: VirtualClock;
  replicas?: SimulatedReplicas;
  grants?: number[];
}

const SEEDS = 40;
const GATEWAYS = 5;
const HISTORY_MILLISECONDS = 30_000;
const READ_MILLISECONDS = 700;
const MAXIMUM_DELAY_MILLISECONDS = 3_000;

/** Gateways that exchange proofs; only the first reads the store. Each applies a configuration late or never. */
class ProofHistory {
  readonly violations: string[] = [];
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  /** Times at which the store's configuration changed. */
  private readonly changedAt: number[] = [];
  private readonly revisions: number[] = [];
  private readonly proofs: ConfigurationProof[] = [];
  private readonly processes: SimulatedProcess[] = [];
  private readonly listeners = new Map<string, (bytes: Uint8Array, from: string) => void>();

  constructor(
    seed: number,
    /** An injected fault: a proof is dated to the receipt of the answer. */
    private readonly trustsReceiptTime: boolean,
  ) {
    this.random = createRandom(seed);
    for (let index = 0; index < GATEWAYS; index += 1) {
      this.addGateway(index);
    }
  }

  run(): this {
    this.scheduleChange();
    this.schedulePauses();
    for (let time = 0; time < HISTORY_MILLISECONDS; time += 50) {
      this.clock.runUntil(time);
      this.check();
    }
    return this;
  }

  private addGateway(index: number): void {
    const process = new SimulatedProcess(`g${index}`, this.clock, this.random);
    const runtime = process.start();
    this.revisions.push(0);
    const proof = new ConfigurationProof(runtime, () => this.revisions[index]!);
    this.processes.push(process);
    this.proofs.push(proof);
    const host = `g${index}`;
    const datagrams: DatagramPort = {
      onDatagram: (listener) => this.listeners.set(host, listener),
      send: (bytes, to) => this.send(bytes, host, to),
      close: () => undefined,
    };
    const others = Array.from({ length: GATEWAYS }, (_, other) => `g${other}`);
    const hostsToAsk = () =>
      others.filter((other) => other !== host && this.random.uniform() < 0.5);
    new ProofExchange({ runtime, datagrams, proof, hostsToAsk, isNeeded: () => true });
    if (index === 0) {
      this.scheduleRead(index);
    }
  }

  /** Reads the store after a pause. The proof is dated to the sending of the read. */
  private scheduleRead(index: number): void {
    this.clock.schedule(READ_MILLISECONDS, () => {
      this.processes[index]!.execute(() => {
        const sentAt = this.clock.now;
        this.clock.schedule(this.random.uniform() * 100, () => {
          const revision = this.changedAt.length;
          this.clock.schedule(this.random.uniform() * MAXIMUM_DELAY_MILLISECONDS, () =>
            this.processes[index]!.execute(() => {
              this.revisions[index] = Math.max(this.revisions[index]!, revision);
              this.proofs[index]!.noteRead(this.revisions[index]!, sentAt);
            }),
          );
        });
      });
      this.scheduleRead(index);
    });
  }

  private send(bytes: Uint8Array, from: string, to: string): void {
    const copies = this.random.uniform() < 0.1 ? 2 : this.random.uniform() < 0.1 ? 0 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isLate = this.random.uniform() < 0.2;
      const delay = this.random.uniform() * (isLate ? MAXIMUM_DELAY_MILLISECONDS : 10);
      this.clock.schedule(delay, () => {
        const target = Number(to.slice(1));
        this.processes[target]!.execute(() => this.deliver(target, bytes, from));
      });
    }
  }

  private deliver(target: number, bytes: Uint8Array, from: string): void {
    if (!this.trustsReceiptTime) {
      this.listeners.get(`g${target}`)!(bytes, from);
      return;
    }
    const source = this.proofs[Number(from.slice(1))]!.proven;
    if (source !== undefined) {
      const { revision } = source;
      this.proofs[target]!.note({ revision, provenAt: this.clock.now });
    }
  }

  private scheduleChange(): void {
    this.clock.schedule(this.random.exponential(2_000), () => {
      this.changedAt.push(this.clock.now);
      const revision = this.changedAt.length;
      for (let index = 1; index < GATEWAYS; index += 1) {
        const isNeverTold = this.random.uniform() < 0.1;
        const delay = isNeverTold ? Infinity : this.random.exponential(1_500);
        if (Number.isFinite(delay)) {
          this.clock.schedule(delay, () =>
            this.processes[index]!.execute(() => {
              this.revisions[index] = Math.max(this.revisions[index]!, revision);
            }),
          );
        }
      }
      this.scheduleChange();
    });
  }

  private schedulePauses(): void {
    this.clock.schedule(this.random.exponential(1_500), () => {
      const process = this.random.pick(this.processes);
      if (!process.isPaused) {
        process.pause();
        this.clock.schedule(this.random.uniform() * 4_000, () => process.resume());
      }
      this.schedulePauses();
    });
  }

  /** A gateway with a proof must have applied every change that the store acknowledged before the proof's time. */
  private check(): void {
    this.proofs.forEach((proof, index) => {
      const { proven } = proof;
      const before = this.changedAt.filter((at) => at < (proven?.provenAt ?? -Infinity)).length;
      if (before > this.revisions[index]!) {
        this.violations.push(`g${index} lacks change ${before} at ${this.clock.now}`);
      }
    });
  }
}

Then(
  'in any exchange with late, lost and repeated messages between freezing gateways no proof looks too new',
  function () {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      assert.deepEqual(new ProofHistory(seed, false).run().violations, [], `seed ${seed}`);
    }
  },
);

Then('a proof that is dated to the receipt of its answer is detected', function () {
  const caught = Array.from({ length: SEEDS }, (_, seed) => new ProofHistory(seed, true).run());
  assert.ok(caught.some(({ violations }) => violations.length > 0));
});

/** Starts a gateway's side of the exchange and records what it sends; its clock starts at 0, as that of any process. */
function startGateway(seed: number) {
  const clock = new VirtualClock();
  const runtime = new SimulatedProcess('g', clock, createRandom(seed)).start();
  const proof = new ConfigurationProof(runtime, () => 1);
  const sent: Uint8Array[] = [];
  let listener: (bytes: Uint8Array, from: string) => void = () => undefined;
  const datagrams: DatagramPort = {
    onDatagram: (taken) => {
      listener = taken;
    },
    send: (bytes) => sent.push(bytes),
    close: () => undefined,
  };
  new ProofExchange({
    runtime,
    datagrams,
    proof,
    hostsToAsk: () => ['other'],
    isNeeded: () => true,
  });
  const take = (bytes: Uint8Array): void => listener(bytes, 'other');
  return { clock, proof, sent, take };
}

Then(
  'a restarted gateway ignores answers to its earlier questions and accepts those to its new ones',
  function () {
    const before = startGateway(1);
    before.clock.runUntil(450);
    const other = startGateway(2);
    other.proof.noteRead(1, 0);
    other.take(before.sent.at(-1)!);
    const late = other.sent.at(-1)!;
    const again = startGateway(3);
    again.clock.runUntil(1_000);
    again.take(late);
    assert.equal(again.proof.ageMilliseconds, Infinity);
    other.take(again.sent.at(-1)!);
    again.take(other.sent.at(-1)!);
    assert.equal(again.proof.proven?.revision, 1);
  },
);

Then(
  'a gateway that lacks the newest configuration has no proof of it until it applies it',
  function () {
    let revision = 3;
    const runtime = { ...new SimulatedProcess('g', new VirtualClock(), createRandom(1)).start() };
    const proof = new ConfigurationProof(runtime, () => revision);
    proof.note({ revision: 3, provenAt: 100 });
    proof.note({ revision: 4, provenAt: 200 });
    assert.equal(proof.proven?.provenAt, 100);
    revision = 4;
    assert.equal(proof.proven?.provenAt, 200);
  },
);

const WINDOW_MILLISECONDS = 5_000;
const MEMBERS = 5;
/** The allowed excess over the limit: a tenth of it plus 20 requests. */
const OVERSHOOT = 1.1;
const SLACK = 20;

/** Returns the maximum number of grants in any window. */
function largestWindow(grants: readonly number[]): number {
  let first = 0;
  let largest = 0;
  grants.forEach((at, index) => {
    while (grants[first]! < at - WINDOW_MILLISECONDS) {
      first += 1;
    }
    largest = Math.max(largest, index - first + 1);
  });
  return largest;
}

function largestAllowed(ratePerSecond: number, burst: number): number {
  return ((ratePerSecond * WINDOW_MILLISECONDS) / 1_000 + burst) * OVERSHOOT + SLACK;
}

/** Asks members, starting at a random one, until one grants; returns the time at which the request runs. */
function spendAt(
  members: readonly QuotaBuckets[],
  quota: { ratePerSecond: number; burst: number },
  beginsRequests: number,
  now: number,
  random: RandomSource,
  patienceMilliseconds = 0,
): number | undefined {
  const tenantQuota = { tenant: 't', version: 1, ...quota };
  const first = random.integer(0, members.length - 1);
  const share = 1 / members.length;
  for (const patience of new Set([0, patienceMilliseconds])) {
    for (let index = 0; index < members.length; index += 1) {
      const member = members[(first + index) % members.length]!;
      const decision = member.take(tenantQuota, share, beginsRequests, now, patience);
      if (decision.granted) {
        return now + decision.waitMilliseconds;
      }
    }
  }
  return undefined;
}

const MAXIMUM_PATIENCE_MILLISECONDS = 600;
const ALLOWANCE = { overshoot: OVERSHOOT - 1, slack: SLACK };

function fullMembers(): QuotaBuckets[] {
  return Array.from({ length: MEMBERS }, () => new QuotaBuckets(-60_000, ALLOWANCE));
}

Then('in any run of requests no window holds more than its limit at five members', function () {
  const gaps = fc.array(fc.integer({ min: 0, max: 300 }), { minLength: 50, maxLength: 600 });
  fc.assert(
    fc.property(
      gaps,
      fc.integer({ min: 1, max: 40 }),
      fc.nat(40),
      fc.nat(),
      (drawn, rate, burst, seed) => {
        const random = createRandom(seed + 1);
        const members = fullMembers();
        const grants: number[] = [];
        let now = 0;
        for (const gap of drawn) {
          now += gap;
          const isNewProgram = random.uniform() < 0.2;
          const patience = isNewProgram ? 0 : random.integer(0, MAXIMUM_PATIENCE_MILLISECONDS);
          const quota = { ratePerSecond: rate, burst };
          const runsAt = spendAt(members, quota, isNewProgram ? 5 : 0, now, random, patience);
          if (runsAt !== undefined) {
            grants.push(runsAt);
          }
        }
        grants.sort((left, right) => left - right);
        assert.ok(largestWindow(grants) <= largestAllowed(rate, burst));
      },
    ),
  );
});

Then('a tenant that stays beneath its limit is refused nothing at five members', function () {
  const random = createRandom(5);
  const members = fullMembers();
  const quota = { ratePerSecond: 100, burst: 100 };
  let refused = 0;
  let now = 0;
  for (let count = 0; count < 3_000; count += 1) {
    now += random.exponential(1_000 / 62);
    refused += spendAt(members, quota, count % 9 === 0 ? 9 : 0, now, random) === undefined ? 1 : 0;
  }
  assert.equal(refused, 0);
});

const TENANT = 't' as TenantId;

/** Programs of nine requests, a third of a second apart; a program ends when one of its requests is refused. */
class ProgramLoad {
  granted = 0;
  refusedPrograms = 0;
  refusedUnderWay = 0;
  private now = 0;
  private readonly due: { readonly at: number; readonly left: number }[] = [];
  private readonly members = fullMembers();
  private readonly sizes = new ProgramSizes();

  constructor(
    private readonly quota: { ratePerSecond: number; burst: number },
    private readonly random: RandomSource,
    private readonly patienceMilliseconds = 0,
  ) {}

  /** Starts programs at a mean rate until the given time. */
  run(programsPerSecond: number, until: number): void {
    while (this.now < until) {
      this.now += this.random.exponential(1_000 / programsPerSecond);
      this.sendDueRequests(this.now);
      if (this.spend(true, this.now)) {
        this.add(this.now, REQUESTS_OF_PROGRAM - 1);
      } else {
        this.refusedPrograms += 1;
      }
    }
  }

  /** Resets the counters. */
  resetCounts(): void {
    this.granted = 0;
    this.refusedPrograms = 0;
    this.refusedUnderWay = 0;
  }

  private sendDueRequests(until: number): void {
    for (let next = this.due[0]; next !== undefined && next.at <= until; next = this.due[0]) {
      this.due.shift();
      if (!this.spend(false, next.at)) {
        this.refusedUnderWay += 1;
      } else if (next.left > 1) {
        this.add(next.at, next.left - 1);
      }
    }
  }

  /** Schedules a program's next request; all pauses are equal, so the queue stays sorted. */
  private add(at: number, left: number): void {
    this.due.push({ at: at + PAUSE_OF_PROGRAM, left });
  }

  private spend(isNewProgram: boolean, at: number): boolean {
    const begins = isNewProgram ? this.sizes.expectedRequests(TENANT) : 0;
    const patience = isNewProgram ? 0 : this.patienceMilliseconds;
    const runsAt = spendAt(this.members, this.quota, begins, at, this.random, patience);
    const granted = runsAt !== undefined;
    if (granted) {
      this.granted += 1;
      this.sizes.recordRequest(TENANT, isNewProgram);
    }
    return granted;
  }
}

const REQUESTS_OF_PROGRAM = 9;
const PAUSE_OF_PROGRAM = 333;
const SETTLING_MILLISECONDS = 60_000;

Then(
  'of a tenant that sends four times its limit more than nine tenths of the requests under way are granted',
  function () {
    const load = new ProgramLoad({ ratePerSecond: 60, burst: 60 }, createRandom(7));
    load.run((0.62 * 60) / REQUESTS_OF_PROGRAM, SETTLING_MILLISECONDS);
    load.resetCounts();
    load.run((4 * 60) / REQUESTS_OF_PROGRAM, SETTLING_MILLISECONDS + 20_000);
    const share = load.granted / (load.granted + load.refusedUnderWay);
    assert.ok(share > 0.9, `${share}`);
  },
);

Then(
  /^of a tenant whose programs use 0.62 of a limit of (\d+) a second fewer than (\d+) in 100 requests are refused$/,
  function (limit: string, most: string) {
    const rate = Number(limit);
    const load = new ProgramLoad({ ratePerSecond: rate, burst: rate }, createRandom(9));
    load.run((0.62 * rate) / REQUESTS_OF_PROGRAM, SETTLING_MILLISECONDS);
    load.resetCounts();
    load.run((0.62 * rate) / REQUESTS_OF_PROGRAM, 10 * SETTLING_MILLISECONDS);
    const refused = load.refusedPrograms * REQUESTS_OF_PROGRAM + load.refusedUnderWay;
    const share = (100 * refused) / (load.granted + refused);
    assert.ok(share < Number(most), `${share}`);
  },
);

Then(
  'of a tenant at nine tenths of its limit fewer requests under way are refused when they may be held',
  function () {
    const refusedWith = (patience: number): number => {
      const load = new ProgramLoad({ ratePerSecond: 20, burst: 5 }, createRandom(13), patience);
      load.run((0.9 * 20) / REQUESTS_OF_PROGRAM, 5 * SETTLING_MILLISECONDS);
      return load.refusedUnderWay / (load.granted + load.refusedUnderWay);
    };
    const [atOnce, held] = [refusedWith(0), refusedWith(MAXIMUM_PATIENCE_MILLISECONDS)];
    assert.ok(atOnce > 0.01 && held < atOnce / 4, `${atOnce} ${held}`);
  },
);

type Fault = (world: World) => void;

const FAULTS: Readonly<Record<string, Fault>> = {
  'nothing is amiss': () => undefined,
  'two members are cut off from the others': ({ replicas }) => {
    for (const isolated of ['m1', 'm2']) {
      ['m3', 'm4', 'm5', 'store'].forEach((other) => replicas!.cut(isolated, other));
    }
  },
  'half of the gateways reach just two members': ({ replicas }) => {
    for (const gateway of ['q0', 'q1', 'q2']) {
      ['m1', 'm2', 'm3'].forEach((member) => replicas!.cut(gateway, member));
    }
  },
  'a member dies and another machine takes its place': ({ replicas }) => {
    replicas!.kill('m5');
    replicas!.add('m6', 'z6');
  },
};

const FAULT_AT_MILLISECONDS = 5_000;
const LIMIT = 100;

When(
  /^a tenant with a limit of 100 a second sends (\d+) a second through 6 gateways for 20 seconds while (.+)$/,
  function (this: World, rate: string, trouble: string) {
    const clock = this.clock!;
    const random = createRandom(11);
    const clients: QuotaClient[] = Array.from({ length: 6 }, (_, index) =>
      this.replicas!.quotaClient(`q${index}`, 'm3'),
    );
    clock.runUntil(clock.now + 3_000);
    const quota = { tenant: 't', version: 1, ratePerSecond: LIMIT, burst: LIMIT };
    const grants: number[] = [];
    const begunAt = clock.now;
    const sendNext = (): void => {
      if (clock.now > begunAt + 20_000) {
        return;
      }
      const question = { quota, beginsRequests: 0, patienceMilliseconds: 200 };
      random.pick(clients).spend(question, 300, ({ tag }) => {
        if (tag === 'Granted') {
          grants.push(clock.now);
        }
      });
      clock.schedule(random.exponential(1_000 / Number(rate)), sendNext);
    };
    sendNext();
    clock.schedule(FAULT_AT_MILLISECONDS, () => FAULTS[trouble]!(this));
    clock.runUntil(begunAt + 21_000);
    this.grants = grants;
    this.asked = Number(rate) * 20;
  },
);

interface World {
  asked?: number;
}

Then('no window holds more than its limit', function (this: World) {
  const largest = largestWindow(this.grants!);
  assert.ok(largest <= largestAllowed(LIMIT, LIMIT), `${largest}`);
});

Then(
  'at least {int} in 100 of the requests within its limit are granted',
  function (this: World, least: number) {
    const entitled = Math.min(this.asked!, LIMIT * 20);
    const share = (100 * this.grants!.length) / entitled;
    assert.ok(share >= least, `${share}`);
  },
);
