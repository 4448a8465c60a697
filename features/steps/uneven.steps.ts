/**
 * Steps about runners that are not alike. The load is that of a service of 6 places a runner whose engines run
 * at 0.7 to 1.7 of its usual speed, and whose plain runners have spells.
 */
import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  evidenceAmounts,
  evidenceOf,
  NO_EVIDENCE,
} from '../../src/relay/runners/runner-evidence.js';
import { openByStanding, RunnerBelief } from '../../src/relay/runners/service-review.js';
import { reviewStandings } from '../../src/relay/runners/runner-standing.js';
import { lifeOf } from '../../src/relay/runners/runner.js';
import type { RunnerLife } from '../../src/relay/runners/runner.js';
import { RunnerBook } from '../../src/relay/runners/runner-book.js';
import type { TryOutcome } from '../../src/relay/runners/try-outcome.js';
import { CallReading } from '../../src/relay/tries/call-reading.js';
import { TryReport } from '../../src/relay/tries/try-report.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { createRandom } from '../../src/runtime/random.js';
import { UnevenLab } from '../support/uneven-lab.js';
import type { LabBeliefs, LabOptions } from '../support/uneven-lab.js';
import { usualMilliseconds } from '../support/uneven-runners.js';
import type { FaultKind, LabRunner } from '../support/uneven-runners.js';

interface World {
  playWith: (beliefs: LabBeliefs) => number;
  shared: number;
}

const GATEWAYS = 24;
const SLOTS = 6;
const SPELL_SHARE = 0.15;
const LEARNING_MILLISECONDS = 3_000;
const FAULT_AT = 3_000;
const NEVER = Infinity;
const SEEDS = [1, 2, 3] as const;

const USUAL: LabRunner = { speed: 1 };

function optionsWith(runners: readonly LabRunner[], more: Partial<LabOptions> = {}): LabOptions {
  return {
    beliefs: 'shared',
    gateways: GATEWAYS,
    runners,
    service: { slots: SLOTS, isEngine: false, spellShare: SPELL_SHARE },
    load: 0.3,
    milliseconds: LEARNING_MILLISECONDS,
    seed: 1,
    ...more,
  };
}

function failing(kind: FaultKind, share: number, until: number = NEVER): LabRunner {
  return { speed: 1, fault: { kind, share, from: FAULT_AT, until } };
}

function among(count: number, faulty: readonly LabRunner[]): LabRunner[] {
  return Array.from({ length: count }, (_, index) => faulty[index] ?? USUAL);
}

/** Gateways at which a runner is out. */
function outAt(lab: UnevenLab, index: number): number {
  return lab.standings(index).filter((tag) => tag === 'Out').length;
}

/** Mean time of the requests after the first seconds, in milliseconds. */
function meanTime(options: LabOptions): number {
  const { requests } = new UnevenLab(options).run();
  const counted = requests.filter(({ arrivedAt }) => arrivedAt > LEARNING_MILLISECONDS);
  return counted.reduce((sum, { milliseconds }) => sum + milliseconds, 0) / counted.length;
}

Given(
  /^runners of speeds 0.7, 0.7 and 1.7 that are (plain|engines), at a load of (\S+) of their room$/,
  function (this: World, kind: string, load: string) {
    const runners = Array.from({ length: 12 }, (_, index) => ({
      speed: index % 3 === 2 ? 1.7 : 0.7,
    }));
    const isEngine = kind === 'engines';
    const service = { slots: SLOTS, isEngine, spellShare: isEngine ? 0 : SPELL_SHARE };
    this.playWith = (beliefs) => {
      const more = { beliefs, service, load: Number(load), milliseconds: 9_000 };
      const times = SEEDS.map((seed) => meanTime(optionsWith(runners, { ...more, seed })));
      return times.reduce((sum, time) => sum + time, 0) / times.length;
    };
    this.shared = this.playWith('shared');
  },
);

Then(
  /^requests take at most (\S+) of their time with means of each gateway's own requests$/,
  function (this: World, bound: string) {
    const means = this.playWith('means');
    assert.ok(this.shared <= means * Number(bound), `${this.shared} ms, with means ${means} ms`);
  },
);

Then(
  /^at most (\S+) of their time where all speeds are known beforehand$/,
  function (this: World, bound: string) {
    const known = this.playWith('clairvoyant');
    assert.ok(this.shared <= known * Number(bound), `${this.shared} ms, known ${known} ms`);
  },
);

Then('among 20 plain runners with such spells none is called slow or ejected in 12 s', function () {
  for (const seed of SEEDS) {
    const options = optionsWith(among(20, []), { load: 0.5, milliseconds: 12_000, seed });
    const events = new Set(new UnevenLab(options).run().news.map(({ event }) => event));
    assert.deepEqual([...events], ['runner.seen']);
  }
});

Then(
  /^a runner that is to (\S+) on (\S+) of its requests is out after at most (\d+) requests$/,
  function (kind: FaultKind, share: string, most: string) {
    for (const seed of SEEDS) {
      const runners = among(20, [failing(kind, Number(share))]);
      const lab = new UnevenLab(optionsWith(runners, { seed })).run();
      const before = lab.tries[0]!;
      const isOut = (): boolean => outAt(lab, 0) > GATEWAYS / 2;
      assert.ok(lab.clock.runUntil(FAULT_AT + 8_000, isOut), `seed ${seed}: not out`);
      const tries = lab.tries[0]! - before;
      assert.ok(tries <= Number(most), `seed ${seed}: ${tries} requests`);
      const others = lab.news.filter(({ event, runner }) => runner > 0 && event !== 'runner.seen');
      assert.deepEqual(others, []);
    }
  },
);

Then('a runner that turns slow gets at most a third of its share from 2 s later on', function () {
  const lab = new UnevenLab(optionsWith(among(20, [failing('slow', 1)]))).run();
  lab.clock.runUntil(FAULT_AT + 2_000);
  const before = [...lab.tries];
  lab.clock.runUntil(FAULT_AT + 10_000);
  const tries = lab.tries.map((count, index) => count - before[index]!);
  const share = tries.reduce((sum, count) => sum + count, 0) / tries.length;
  assert.ok(tries[0]! < share / 3, `${tries[0]} of ${share}`);
});

Then(
  'of 100 runners of which 40 fail, at least 30 of those and no other are out after 5 s',
  function () {
    const faulty = Array.from({ length: 40 }, () => failing('reset', 0.5));
    const options = optionsWith(among(100, faulty), { gateways: 12, load: 0.1 });
    const lab = new UnevenLab(options).run();
    lab.clock.runUntil(FAULT_AT + 5_000);
    const out = lab.tries.map((_, index) => outAt(lab, index) > 6);
    assert.ok(out.slice(0, 40).filter(Boolean).length >= 30, `${out.filter(Boolean).length}`);
    assert.equal(out.slice(40).filter(Boolean).length, 0);
  },
);

Then('where all runners fail 0.9 or 1.0 of their requests, none is taken out of use', function () {
  for (const share of [0.9, 1]) {
    const faulty = Array.from({ length: 10 }, () => failing('reset', share));
    const lab = new UnevenLab(optionsWith(among(10, faulty), { gateways: 6 })).run();
    lab.clock.runUntil(FAULT_AT + 10_000);
    const ejected = lab.news.filter(({ event }) => event === 'runner.ejected');
    assert.equal(ejected.length, 0, `${ejected.length} ejections at ${share}`);
    const usual = { requests: 100, failures: 100 * share };
    const runners = Array.from({ length: 10 }, () => ({
      standing: { tag: 'Whole' } as const,
      ejections: 0,
      slots: SLOTS,
      untriedMilliseconds: 0,
      evidence: { ...NO_EVIDENCE, usual },
    }));
    const findings = reviewStandings(runners, 10 * SLOTS, 0);
    assert.deepEqual(new Set(findings.map(({ standing }) => standing.tag)), new Set(['Whole']));
  }
});

Then(
  'while half of the runners are being replaced and 20 of the rest fail, none is taken out of use',
  function () {
    const faulty = Array.from({ length: 20 }, () => failing('reset', 0.5));
    const options = optionsWith(among(100, faulty), { gateways: 12, load: 0.1 });
    const lab = new UnevenLab(options).run();
    for (let index = 50; index < 100; index += 1) {
      lab.list(index, false);
    }
    lab.clock.runUntil(FAULT_AT + 5_000);
    const out = lab.tries.filter((_, index) => outAt(lab, index) > 0);
    assert.equal(out.length, 0);
  },
);

Then(
  'a runner whose fault ends is in use again within 20 s, and one that goes on failing is not',
  function () {
    const mended = failing('reset', 1, FAULT_AT + 4_000);
    const lab = new UnevenLab(optionsWith(among(20, [mended, failing('reset', 1)]))).run();
    lab.clock.runUntil(FAULT_AT + 4_000);
    assert.ok(outAt(lab, 0) > GATEWAYS / 2 && outAt(lab, 1) > GATEWAYS / 2);
    lab.clock.runUntil(FAULT_AT + 24_000);
    assert.ok(outAt(lab, 0) < GATEWAYS / 2, `out at ${outAt(lab, 0)}`);
    assert.ok(outAt(lab, 1) > GATEWAYS / 2, `out at ${outAt(lab, 1)}`);
  },
);

const PAUSES_SECONDS = [30, 60, 120, 240, 240];

/** Standing of one of four runners that was ejected so often, without a trial for some time. */
function untriedStanding(ejections: number, untriedMilliseconds: number): string {
  const usual = { standing: { tag: 'Whole' }, ejections: 0, slots: SLOTS } as const;
  const whole = { ...usual, untriedMilliseconds, evidence: NO_EVIDENCE };
  const out = { ...whole, ejections, standing: { tag: 'Out', since: 0 } } as const;
  return reviewStandings([out, whole, whole, whole], 4 * SLOTS, untriedMilliseconds)[0]!.standing
    .tag;
}

Then(
  'one that gets no repeatable work gets none while it is out, and half of its share 30 s later, then 60, 120, 240 and 240 s',
  function () {
    keepsOutWithoutTrials();
    PAUSES_SECONDS.forEach((seconds, index) => {
      assert.equal(untriedStanding(index + 1, seconds * 1_000 - 1), 'Out');
      assert.equal(untriedStanding(index + 1, seconds * 1_000), 'Halved');
    });
  },
);

Then(
  'a request that may not go to the runner that is out, or that failed at one, is drawn among the others only',
  function () {
    const clock = new VirtualClock();
    const runtime = new SimulatedProcess('g', clock, createRandom(1), () => undefined).begin();
    const book = new RunnerBook(runtime);
    for (const id of ['out', 'failed', 'well']) {
      book.put({ id, service: 's', host: id, port: 1, zone: 'z', slots: SLOTS, ready: true });
    }
    const [out, failed] = book.records();
    out!.belief.standing = { tag: 'Out', since: 0 };
    const failedAt = new Set([lifeOf(failed!.runner)]);
    const mayGoTo = (life: RunnerLife): boolean => life !== lifeOf(out!.runner);
    const choice = { mayGoTo, failedAt, mayBeTrial: true };
    for (let draw = 0; draw < 1_000; draw += 1) {
      const drawn = book.candidates('s', [], new Set(), choice);
      assert.deepEqual(
        drawn.map(({ record }) => record.runner.id),
        ['well'],
      );
    }
  },
);

/** A service of 10 runners that each get a request every two seconds, one of them ejected at the start. */
function quietLab(first: LabRunner, isRepeatable: boolean): UnevenLab {
  const load = (0.5 * usualMilliseconds(QUIET_SERVICE)) / 1_000 / SLOTS;
  const more = { gateways: 6, service: QUIET_SERVICE, load, isRepeatable };
  const lab = new UnevenLab(optionsWith(among(10, [first]), more)).run();
  lab.eject(0);
  return lab;
}

const QUIET_SERVICE = { slots: SLOTS, isEngine: false, spellShare: 0 };

Then(
  'at 0.5 requests a second for each runner, a runner that is well again is in use within 130 s',
  function () {
    const lab = quietLab(USUAL, true);
    assert.equal(outAt(lab, 0), 6);
    lab.clock.runUntil(LEARNING_MILLISECONDS + 130_000);
    assert.equal(outAt(lab, 0), 0);
  },
);

Then(
  'so is one of a service without repeatable work, within 35 s, but none that went on failing trials',
  function () {
    const lab = quietLab(USUAL, false);
    lab.clock.runUntil(LEARNING_MILLISECONDS + 29_000);
    assert.equal(outAt(lab, 0), 6);
    lab.clock.runUntil(LEARNING_MILLISECONDS + 35_000);
    assert.equal(outAt(lab, 0), 0);
    const busy = new UnevenLab(
      optionsWith(among(10, [failing('reset', 1)]), { gateways: 6 }),
    ).run();
    busy.eject(0);
    busy.clock.runUntil(LEARNING_MILLISECONDS + 35_000);
    assert.equal(outAt(busy, 0), 6);
  },
);

function keepsOutWithoutTrials(): void {
  const random = createRandom(1);
  const runners = Array.from({ length: 4 }, (_, hash) => {
    const belief = new RunnerBelief();
    belief.standing = hash === 0 ? { tag: 'Out', since: 0 } : { tag: 'Whole' };
    return { hash, runner: { id: `r${hash}`, service: 's', slots: SLOTS }, belief };
  });
  for (let draw = 0; draw < 1_000; draw += 1) {
    assert.ok(openByStanding(runners, false, random).every(({ hash }) => hash > 0));
  }
}

Then('a gateway that tells failures of all runners ejects none of them', function () {
  const told = { requests: 1e6, failures: 1e6 };
  const none = { weight: 0, sum: 0 };
  const evidence = { usual: told, generating: none, reading: none, trials: told };
  const amounts = evidenceAmounts({ ...evidence, trials: { requests: 0, failures: 0 } })!;
  const lies = (hashes: readonly number[]) => hashes.map((key) => ({ key, amounts }));
  for (const few of [0, 19]) {
    const options = optionsWith(among(20, []), {
      milliseconds: 8_000,
      lies: (hashes) => lies(hashes.slice(few)),
    });
    const lab = new UnevenLab(options).run();
    assert.equal(lab.news.filter(({ event }) => event === 'runner.ejected').length, 0);
  }
});

Then('whatever a gateway saw, what it tells of a runner stays within its bounds', function () {
  const amount = fc.double({ min: 0, max: 1e9, noNaN: true });
  const counts = fc.record({ requests: amount, failures: amount });
  const logs = fc.record({ weight: amount, sum: fc.double({ min: -1e9, max: 1e9, noNaN: true }) });
  const seen = fc.record({ usual: counts, generating: logs, reading: logs, trials: counts });
  fc.assert(
    fc.property(seen, (evidence) => {
      const told = evidenceOf(evidenceAmounts(evidence) ?? []);
      for (const { requests, failures } of [told.usual, told.trials]) {
        assert.ok(requests <= 8.01 && failures <= 2.51);
      }
      assert.ok(told.generating.weight <= 8.01 && told.reading.weight <= 8.01);
    }),
  );
});

/** A try at a runner of which 20 quick answers are known, and what it told. */
function reportOf(kind = QUICK): {
  clock: VirtualClock;
  told: TryOutcome[];
  begin: (kind: string) => TryReport;
  report: TryReport;
} {
  const clock = new VirtualClock();
  const runtime = new SimulatedProcess('g', clock, createRandom(1), () => undefined).begin();
  const book = new RunnerBook(runtime);
  book.put({ id: 'r', service: 's', host: 'r', port: 1, zone: 'z', slots: SLOTS, ready: true });
  const record = book.records()[0]!;
  const told: TryOutcome[] = [];
  book.noteOutcome = (_record, outcome) => told.push(outcome);
  const begin = (of: string): TryReport => new TryReport({ runtime, book }, record, of);
  for (let answer = 0; answer < 20; answer += 1) {
    const quick = begin(QUICK);
    clock.runUntil(clock.now + 40);
    quick.end('Answered');
  }
  told.length = 0;
  return { clock, told, begin, report: begin(kind) };
}

const QUICK = 'quick';

Then(
  'a client that is held for 20 s makes no silent try, and a runner that says nothing after that does',
  function () {
    const { clock, told, report } = reportOf();
    const nothing = { pause: () => undefined, resume: () => undefined };
    const current = () => ({ attempt: nothing, silence: nothing, report });
    const call = { readsOn: false, current, end: () => undefined };
    const reading = new CallReading({ now: () => clock.now }, call);
    reading.hold();
    clock.runUntil(clock.now + 20_000);
    assert.deepEqual(told, []);
    reading.release();
    clock.runUntil(clock.now + 400);
    assert.deepEqual(told, []);
    clock.runUntil(clock.now + 100);
    assert.deepEqual(told, ['Silent']);
  },
);

Then(
  'an answer that waits 1500 ms for the replicas after its end makes no silent try',
  function () {
    const { clock, told, report } = reportOf();
    clock.runUntil(clock.now + 40);
    report.pause();
    clock.runUntil(clock.now + 1_500);
    report.end('Answered');
    assert.deepEqual(told, ['Answered']);
  },
);

Then(
  'work that is quiet for 5 s beside work that takes 40 ms makes none, and one that hangs is silent within 60 s',
  function () {
    const { clock, told, begin, report } = reportOf('quiet');
    const answers = [report, ...Array.from({ length: 7 }, () => begin('quiet'))];
    for (const answer of answers) {
      clock.runUntil(clock.now + (answer === report ? 5_000 : 0));
      answer.end('Answered');
    }
    const later = begin('quiet');
    clock.runUntil(clock.now + 5_500);
    later.end('Answered');
    assert.deepEqual(new Set(told), new Set(['Answered']));
    begin('quiet');
    clock.runUntil(clock.now + 60_000);
    assert.equal(told.at(-1), 'Silent');
  },
);
