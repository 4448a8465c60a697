/** Steps about the record of a suspected request. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import type { Fingerprint } from '../../src/suspects/fingerprint.js';
import { decodeSuspects, encodeSuspects } from '../../src/suspects/suspect-news.js';
import { SuspectRecord } from '../../src/suspects/suspect-record.js';
import type { Encounter } from '../../src/suspects/suspect-record.js';
import { SuspectTable } from '../../src/suspects/suspect-table.js';
import { StoredSuspects } from '../../src/turns/stored-suspects.js';
import type { StorageChange } from '../../src/turns/turn-storage.js';
import { AnnouncingGateways, placementAfter } from '../support/announcing-gateways.js';

const SENT: Encounter = {
  runnerHash: 0,
  state: 'open',
  at: 1_000,
  round: 0,
  isCommon: false,
  isGivenUp: false,
  isRepeated: false,
};
const MAXIMUM_RUNNERS = 8;

const FINGERPRINT = 1 as Fingerprint;
const ANNOUNCEMENT_SEEDS = 3_000;

interface World {
  record: SuspectRecord;
  runners: number;
  /** How the runner for the next send is chosen. */
  placement: ReturnType<typeof placementAfter>;
  /** What the replica wrote to its disk. */
  written: StorageChange[];
  /** What it holds in memory after it has started again. */
  restarted: StoredSuspects;
}

Given(
  'a request that was given up at {int} runners that ended and at {int} runners that outlived it',
  function (this: World, ended: number, outlived: number) {
    this.record = new SuspectRecord();
    this.runners = 0;
    const note = (state: 'lost' | 'over'): void => {
      this.runners += 1;
      this.record.note({ ...SENT, runnerHash: this.runners, state, isGivenUp: true });
    };
    Array.from({ length: ended }, () => note('lost'));
    Array.from({ length: outlived }, () => note('over'));
  },
);

When('{int} runners end while it is waited for', function (this: World, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.runners += 1;
    this.record.note({ ...SENT, runnerHash: this.runners, state: 'lost' });
  }
});

Then('{int} ends count', function (this: World, counted: number) {
  assert.equal(this.record.lossCount, counted);
});

Then('reports in any order, some of them more than once, lead to the same count', () => {
  const report = fc
    .record({
      runnerHash: fc.integer({ min: 1, max: MAXIMUM_RUNNERS }),
      state: fc.constantFrom('over' as const, 'lost' as const, 'withdrawn' as const),
      isGivenUp: fc.boolean(),
      isRepeated: fc.boolean(),
    })
    .map((each) => ({ ...SENT, ...each, isRepeated: each.isRepeated && each.state === 'lost' }));
  const countOf = (reports: readonly Encounter[]): readonly number[] => {
    const record = new SuspectRecord();
    reports.forEach((each) => record.note(each));
    return [record.lossCount, record.lost.length, record.repeatedLossesSince(0)];
  };
  const orders = fc
    .array(report, { maxLength: 20 })
    .chain((reports) =>
      fc.tuple(
        fc.constant(reports),
        fc.shuffledSubarray([...reports, ...reports], { minLength: 2 * reports.length }),
      ),
    );
  fc.assert(
    fc.property(orders, ([reports, reordered]) => {
      assert.deepEqual(countOf(reordered), countOf(reports));
    }),
  );
});

When(
  'it is announced for that runner again after {int} ms',
  function (this: World, milliseconds: number) {
    this.record.note({ ...SENT, runnerHash: 1, at: SENT.at + milliseconds });
  },
);

Then('it may be at {int} runners', function (this: World, count: number) {
  assert.equal(this.record.openAt(SENT.at).length, count);
});

Then('a late report that the runner outlived it before changes nothing', function (this: World) {
  this.record.note({ ...SENT, runnerHash: 1, state: 'over', isGivenUp: true });
  assert.equal(this.record.openAt(SENT.at).length, 1);
});

function runtimeAt(milliseconds: number): Runtime {
  return { now: () => milliseconds, wallTime: () => milliseconds } as Runtime;
}

Given(
  'a replica that stored that {int} runners ended under a request',
  function (this: World, ended: number) {
    const gateway = new SuspectTable(runtimeAt(0));
    for (let runnerHash = 1; runnerHash <= ended; runnerHash += 1) {
      gateway.note(FINGERPRINT, { ...SENT, runnerHash, state: 'lost' });
    }
    this.written = [];
    const storage = { write: (changes: readonly StorageChange[]) => this.written.push(...changes) };
    const replica = new StoredSuspects({ runtime: runtimeAt(0), storage });
    replica.record(Buffer.from(encodeSuspects(gateway.takeUnrecordedNews())));
    assert.equal(this.written.length, 1);
  },
);

When('it starts again {int} s later', function (this: World, seconds: number) {
  this.restarted = new StoredSuspects({ runtime: runtimeAt(1_000 * seconds) });
  this.written.forEach((change) => {
    assert.equal(change.tag, 'suspects');
    this.restarted.restore(change.suspects);
  });
});

Then(
  'a gateway that starts reads that {int} runners ended under the request',
  function (this: World, counted: number) {
    const gateway = new SuspectTable(runtimeAt(0));
    gateway.merge(decodeSuspects(this.restarted.snapshot()), false);
    assert.equal(gateway.find(FINGERPRINT)?.lossCount ?? 0, counted);
  },
);

Then(
  'calls at {int} gateways that begin within {int} ms end {int} runners at most, if messages take {int} to {int} ms',
  (count: number, within: number, limit: number, shortest: number, longest: number) => {
    for (let seed = 0; seed < ANNOUNCEMENT_SEEDS; seed += 1) {
      const random = createRandom(seed);
      const startsAt = Array.from({ length: count }, () => random.uniform() * within);
      const delayOf = (): number => shortest + random.uniform() * (longest - shortest);
      const gateways = new AnnouncingGateways(startsAt, delayOf);
      gateways.run();
      const { ended } = gateways;
      assert.ok(ended > 0 && ended <= limit, `seed ${seed}: ${ended} runners ended`);
    }
  },
);

When(
  'the next send of a request under which {int} runners ended is arranged',
  function (this: World, ended: number) {
    this.placement = placementAfter(ended);
  },
);

Then(
  /^its runner is chosen (as for any request|apart from suspects)$/,
  function (this: World, how: string) {
    assert.equal(this.placement !== undefined, how === 'apart from suspects');
  },
);
