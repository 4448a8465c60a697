/** Steps about turns that are stored although their clients received them by several requests. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { checksumAfter, EMPTY_CHECKSUM, StreamOutputs } from '../../src/turns/stream-outputs.js';
import type { OutputEvent } from '../../src/turns/stream-outputs.js';
import {
  ALL_EVENTS,
  RETAINED_PATH,
  UNRESUMABLE_PATH,
  VersionWorld,
} from '../support/version-world.js';
import type { TryResult } from '../support/version-world.js';

interface World {
  versions?: VersionWorld;
  /** The tries of each turn, in order. */
  streams: TryResult[][];
}

const OK = 200;
const UNAVAILABLE = 503;
const GATEWAYS = 3;
const WHOLE_OUTPUT = ALL_EVENTS.map((event) => `event ${event} by v1\n`).join('');

function pathOf(index: number): string {
  return `${RETAINED_PATH}/${index}`;
}

function beginTurns(world: World, count: number, events: number): Promise<TryResult[]> {
  const begin = (_: unknown, index: number): Promise<TryResult> =>
    world.versions!.send(0, undefined, events, pathOf(index));
  return Promise.all(Array.from({ length: count }, begin));
}

/** Returns the number of events that the client has received so far. */
function receivedCount(tries: readonly TryResult[]): number {
  return tries.reduce((sum, { events }) => sum + events.length, 0);
}

/** Returns the body with which a runner got a turn that continues another one. */
async function bodyOfNext(
  { versions }: World,
  previousTurn: string,
  path: string,
): Promise<string | undefined> {
  const { requestId } = await versions!.send(GATEWAYS - 1, undefined, Infinity, path, previousTurn);
  const runs = versions!.runners.flatMap(({ runner }) => runner.runs);
  return runs.find((run) => run.requestId === requestId)?.body;
}

When(
  /^(\d+) clients receive (\d+) events of turns of their own, (leave|lose their gateway), and resume them (by name|without a name|twice by name) at gateway (\d)$/,
  async function (
    this: World,
    count: string,
    events: string,
    end: string,
    how: string,
    gateway: string,
  ) {
    const versions = this.versions!;
    const firsts = await beginTurns(this, Number(count), Number(events));
    if (end === 'lose their gateway') {
      versions.kill(0);
    }
    const resumeAll = async (first: TryResult, index: number): Promise<TryResult[]> => {
      const requestId = how === 'without a name' ? undefined : first.requestId;
      const tries = [first];
      const resume = async (at: number, leaveAfter?: number): Promise<void> => {
        const resumed = { requestId, lastEvent: receivedCount(tries) };
        tries.push(await versions.send(at, resumed, leaveAfter, pathOf(index)));
      };
      if (how === 'twice by name') {
        await resume(GATEWAYS - 1, 2);
      }
      await resume(Number(gateway) - 1);
      return tries;
    };
    this.streams = await Promise.all(firsts.map(resumeAll));
  },
);

Then('each turn was received whole, in {int} tries', function (this: World, count: number) {
  assert.ok(this.streams.length > 0);
  for (const tries of this.streams) {
    const ids = tries.flatMap(({ events }) => events.map(({ id }) => id));
    assert.deepEqual(ids, ALL_EVENTS, JSON.stringify(tries));
    const { status, complete } = tries.at(-1)!;
    assert.deepEqual([tries.length, status, complete], [count, OK, true]);
  }
});

Then('the next turn of each gets the whole output at gateway 3', async function (this: World) {
  for (const [index, tries] of this.streams.entries()) {
    const body = await bodyOfNext(this, tries.at(-1)!.requestId, pathOf(index));
    assert.equal(body, WHOLE_OUTPUT);
  }
});

When(
  'a client resumes each of {int} turns of a conversation at the next gateway',
  async function (this: World, count: number) {
    this.streams = [];
    let previous: string | undefined;
    for (let turn = 0; turn < count; turn += 1) {
      const send = (
        at: number,
        resumed?: Parameters<VersionWorld['send']>[1],
        leaveAfter?: number,
      ): Promise<TryResult> =>
        this.versions!.send(at % GATEWAYS, resumed, leaveAfter, pathOf(0), previous);
      const first = await send(turn, undefined, 2);
      const { requestId, events } = first;
      const rest = await send(turn + 1, { requestId, lastEvent: events.length });
      assert.equal(rest.status, OK);
      previous = rest.requestId;
      this.streams.push([first, rest]);
    }
  },
);

Then(
  'the next turn gets the output of all {int} turns',
  async function (this: World, count: number) {
    const body = await bodyOfNext(this, this.streams.at(-1)!.at(-1)!.requestId, pathOf(0));
    assert.equal(body, WHOLE_OUTPUT.repeat(count));
  },
);

When(
  '{int} clients receive {int} events of turns of their own, leave, and resume them after event {string}',
  async function (this: World, count: number, events: number, lastEvent: string) {
    const firsts = await beginTurns(this, count, events);
    const resume = async (first: TryResult, index: number): Promise<TryResult[]> => {
      const resumed = { requestId: first.requestId, lastEvent };
      return [first, await this.versions!.send(1, resumed, Infinity, pathOf(index))];
    };
    this.streams = await Promise.all(firsts.map(resume));
  },
);

When(
  '{int} clients receive {int} events of turns of their own, all gateways and replicas restart, and they resume at a new gateway',
  async function (this: World, count: number, events: number) {
    const versions = this.versions!;
    const firsts = await beginTurns(this, count, events);
    versions.killAllGateways();
    versions.restartReplicas();
    const gateway = await versions.returnGateway();
    const resume = async (first: TryResult, index: number): Promise<TryResult[]> => {
      const resumed = { requestId: first.requestId, lastEvent: receivedCount([first]) };
      return [first, await versions.send(gateway, resumed, Infinity, pathOf(index))];
    };
    this.streams = await Promise.all(firsts.map(resume));
  },
);

Then('every resumption is refused as not run', function (this: World) {
  assert.ok(this.streams.length > 0);
  assert.ok(this.streams.every((tries) => tries[1]!.status === UNAVAILABLE));
});

When(
  "a client asks for a turn of a route that can't be resumed after event {int}",
  async function (this: World, lastEvent: number) {
    const resumed = { requestId: undefined, lastEvent };
    this.streams = [[await this.versions!.send(0, resumed, Infinity, UNRESUMABLE_PATH)]];
  },
);

Then(
  'it receives the turn from its start, and the next turn gets the whole output',
  async function (this: World) {
    const [[only]] = this.streams as [[TryResult]];
    assert.deepEqual(
      only.events.map(({ id }) => id),
      ALL_EVENTS,
    );
    assert.equal(await bodyOfNext(this, only.requestId, UNRESUMABLE_PATH), WHOLE_OUTPUT);
  },
);

When(
  'a client leaves a turn after {int} events and resumes it at gateways 2 and 3 at the same time',
  async function (this: World, events: number) {
    const [first] = (await beginTurns(this, 1, events)) as [TryResult];
    const resumed = { requestId: first.requestId, lastEvent: events };
    const resume = (gateway: number): Promise<TryResult> =>
      this.versions!.send(gateway, resumed, Infinity, pathOf(0));
    const rests = await Promise.all([resume(1), resume(2)]);
    this.streams = rests.map((rest) => [first, rest]);
  },
);

Then(
  'both resumptions bring the rest, and the next turn of each gets the whole output',
  async function (this: World) {
    for (const [first, rest] of this.streams as [TryResult, TryResult][]) {
      const ids = [...first.events, ...rest.events].map(({ id }) => id);
      assert.deepEqual(ids, ALL_EVENTS);
      assert.equal(await bodyOfNext(this, rest.requestId, pathOf(0)), WHOLE_OUTPUT);
    }
  },
);

const STREAM_EVENTS = 6;

function eventOf(index: number, run: number): OutputEvent {
  return { id: String(index + 1), output: Buffer.from(`${index + 1} of run ${run};`) };
}

/** Records events, behind the events that come before them in their run. */
function record(
  outputs: StreamOutputs,
  before: readonly OutputEvent[],
  events: readonly OutputEvent[],
  stream = 's',
): void {
  const checksum = before.reduce(checksumAfter, EMPTY_CHECKSUM);
  outputs.record({ stream, position: before.length, checksum, events });
}

function textOf(count: number, run: number): string {
  return Array.from({ length: count }, (_, index) => `${index + 1} of run ${run};`).join('');
}

Then(
  'parts of a stream give its output up to each event, and after events that differ none',
  function () {
    const part = fc.record({
      position: fc.integer({ min: 0, max: STREAM_EVENTS - 1 }),
      count: fc.integer({ min: 1, max: STREAM_EVENTS }),
      run: fc.constantFrom(0, 0, 0, 1),
    });
    // Two runs have their first events in common.
    const forkAt = fc.integer({ min: 0, max: STREAM_EVENTS });
    fc.assert(
      fc.property(fc.array(part, { maxLength: 12 }), forkAt, (parts, commonCount) => {
        const outputs = new StreamOutputs({ runtime: { now: () => 0 }, maximumBytes: 1e6 });
        const runOf = (index: number, run: number): number => (index < commonCount ? 0 : run);
        for (const { position, count, run } of parts) {
          const all = Array.from({ length: STREAM_EVENTS }, (_, index) =>
            eventOf(index, runOf(index, run)),
          );
          record(outputs, all.slice(0, position), all.slice(position, position + count));
        }
        for (let index = 0; index < STREAM_EVENTS; index += 1) {
          const found = outputs.find('s', String(index + 1));
          const common = textOf(Math.min(index + 1, commonCount), 0);
          const own = [0, 1].map(
            (run) =>
              common +
              textOf(index + 1, run).slice(textOf(Math.min(index + 1, commonCount), run).length),
          );
          assert.ok(found === undefined || own.includes(found.output.toString()));
          assert.ok(found === undefined || found.position === index + 1);
        }
      }),
      {
        numRuns: 1_000,
        // A member that has events of one run gets a later one of another run, whose events before it has missed.
        examples: [
          [
            [
              { position: 0, count: 3, run: 1 },
              { position: 3, count: 1, run: 0 },
            ],
            0,
          ],
        ],
      },
    );
    const outputs = new StreamOutputs({ runtime: { now: () => 0 }, maximumBytes: 1e6 });
    const first = [0, 1, 2, 3].map((index) => eventOf(index, 0));
    record(outputs, [], first);
    record(outputs, first.slice(0, 2), [eventOf(2, 0), eventOf(3, 1)]);
    record(outputs, first.slice(0, 3), [eventOf(3, 0)]);
    assert.equal(outputs.find('s', '3')?.output.toString(), textOf(3, 0));
    assert.equal(outputs.find('s', '4'), undefined);
  },
);

Then('parts beyond the memory drop the streams that changed least recently', function () {
  let now = 0;
  const outputs = new StreamOutputs({ runtime: { now: () => now }, maximumBytes: 20_000 });
  const output = Buffer.alloc(1_000);
  const kept: OutputEvent[] = [];
  for (let stream = 0; stream < 100; stream += 1) {
    record(outputs, [], [{ id: '1', output }], `s${stream}`);
    const event = { id: `${stream}`, output: Buffer.alloc(1) };
    record(outputs, kept, [event], 'kept');
    kept.push(event);
  }
  assert.ok(outputs.size >= 3 && outputs.size <= 20, `${outputs.size} streams`);
  assert.equal(outputs.find('kept', '99')?.position, 100);
  now += 61_000;
  assert.equal(outputs.find('kept', '99'), undefined);
  assert.equal(outputs.size, 0);
});
