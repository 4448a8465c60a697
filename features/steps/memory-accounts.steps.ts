/** Steps for memory accounting and slow readers, in virtual time and without a network. */
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { Given, Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';
import fc from 'fast-check';
import { ClientAnswer, WINDOW_BYTES } from '../../src/relay/answers/client-answer.js';
import { ClientWriter, CHUNK_BYTES } from '../../src/relay/answers/client-writer.js';
import type { WriterListener, WriterTarget } from '../../src/relay/answers/client-writer.js';
import { SlowReaderMonitor } from '../../src/relay/answers/slow-reader-monitor.js';
import type { DeliveryState } from '../../src/relay/answers/slow-reader-monitor.js';
import { MEMORY_ACCOUNTS } from '../../src/relay/memory/memory-accounts.js';
import type { MemoryAllocation } from '../../src/relay/memory/memory-accounts.js';
import { NO_BOUNDS, boundsForBudget } from '../../src/relay/memory/memory-bounds.js';
import { MemoryBudget, byBytesAndTime } from '../../src/relay/memory/memory-budget.js';
import type { CutOrder, SlowReader } from '../../src/relay/memory/memory-budget.js';
import type { RunnerIncarnation } from '../../src/relay/runners/runner.js';
import { RunnerBackpressure } from '../../src/relay/memory/runner-backpressure.js';
import { RequestCompletion } from '../../src/http-server/request-completion.js';
import { StreamAnswer } from '../../src/relay/answers/stream-answer.js';
import type { AnsweredCall, AnswerHead } from '../../src/relay/answers/answer-reader.js';
import type { RelayContext } from '../../src/relay/relay-context.js';
import type { RunnerRecord } from '../../src/relay/runners/runner-registry.js';
import { InactivityMonitor } from '../../src/relay/tries/inactivity-monitor.js';
import { createRandom } from '../../src/runtime/random.js';
import type { LogFields, Runtime } from '../../src/runtime/runtime.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

/** Identity of an arbitrary runner. */
const RUNNER = 'r' as RunnerIncarnation;

interface World {
  clock: VirtualClock;
  budget: MemoryBudget;
  otherAllocation: MemoryAllocation;
  lines: LogFields[];
  bodiesRead: number;
  cut: string[];
  /** Numbers of the admitted bodies, and the allocations that hold their bytes. */
  acceptedBodies: { readonly body: number; readonly allocation: MemoryAllocation }[];
}

function runtimeOn(clock: VirtualClock, lines: LogFields[]): Runtime {
  const runtime = new SimulatedProcess('g', clock, createRandom(1)).start();
  return { ...boundRuntime(runtime), log: (_level, _message, fields = {}) => lines.push(fields) };
}

/** Advances the clock by some milliseconds. */
function advance(clock: VirtualClock, milliseconds: number): void {
  clock.runUntil(clock.now + milliseconds);
}

/** Copies a runtime into a plain object whose methods don't depend on `this`. */
function boundRuntime(runtime: Runtime): Runtime {
  return {
    now: () => runtime.now(),
    wallTime: () => runtime.wallTime(),
    setTimer: (delay, callback) => runtime.setTimer(delay, callback),
    random: runtime.random,
    log: runtime.log,
  };
}

Then(
  'in any order of allocations and releases, the accounts add up to the bytes held',
  function () {
    const step = fc.record({ holder: fc.nat(5), bytes: fc.nat(5_000) });
    fc.assert(
      fc.property(fc.array(step), (steps) => {
        const budget = new MemoryBudget(runtimeOn(new VirtualClock(), []), NO_BOUNDS);
        const allocations = Array.from({ length: 6 }, (_, index) =>
          budget.allocate(MEMORY_ACCOUNTS[index % MEMORY_ACCOUNTS.length]!),
        );
        steps.forEach(({ holder, bytes }) => allocations[holder]!.set(bytes));
        const held = allocations.reduce((sum, { bytes }) => sum + bytes, 0);
        const byAccount = Object.values(budget.byAccount()).reduce((sum, bytes) => sum + bytes, 0);
        assert.equal(budget.heldBytes, held);
        assert.equal(byAccount, held);
        allocations.forEach((allocation) => allocation.release());
        allocations.forEach((allocation) => allocation.release());
        // Bytes added after the release are not counted.
        allocations.forEach((allocation) => allocation.add(7));
        assert.equal(budget.heldBytes, 0);
      }),
    );
  },
);

Given('a budget of {int} bytes', function (this: World, bytes: number) {
  this.clock = new VirtualClock();
  this.lines = [];
  this.bodiesRead = 0;
  this.cut = [];
  this.budget = new MemoryBudget(runtimeOn(this.clock, this.lines), boundsForBudget(bytes));
  this.otherAllocation = this.budget.allocate('bodies');
});

When('the bytes held rise to {int}', function (this: World, bytes: number) {
  advance(this.clock, 2_000);
  this.otherAllocation.set(bytes);
});

Then(
  'the level is {string}, new requests are {word}, new bodies {word}( read)',
  function (this: World, level: string, requests: string, bodies: string) {
    let isRead = false;
    this.budget.whenBodyAccepted(() => {
      isRead = true;
    });
    assert.equal(this.budget.level, level);
    assert.equal(this.budget.acceptsRequests, requests === 'taken');
    assert.equal(isRead, bodies === 'are');
  },
);

Then(
  'a log line names each level that was entered, and the bytes of each account',
  function (this: World) {
    const levels = this.lines.map(({ level }) => level);
    assert.deepEqual(levels, ['wait', 'refuse', 'cut', 'refuse', 'calm']);
    assert.deepEqual(
      this.lines.map(({ bodies }) => bodies),
      [610_000, 760_000, 1_000_000, 690_000, 530_000],
    );
  },
);

When('{int} bodies of new requests arrive', function (this: World, count: number) {
  for (let body = 0; body < count; body += 1) {
    this.budget.whenBodyAccepted(() => (this.bodiesRead += 1));
  }
  assert.equal(this.bodiesRead, 0);
});

Then('{int} of them are read', function (this: World, count: number) {
  assert.equal(this.bodiesRead, count);
});

/** Adds a reader that releases its bytes when it is cut. */
function createReader(
  budget: MemoryBudget,
  requestId: string,
  heldBytes: number,
  idleMilliseconds: number,
  onCut: (requestId: string) => void,
): SlowReader {
  const allocation = budget.allocate('answers');
  allocation.set(heldBytes);
  const reader: SlowReader = {
    requestId,
    get heldBytes() {
      return allocation.bytes;
    },
    idleMilliseconds,
    cut: () => {
      budget.removeReader(reader);
      allocation.release();
      onCut(requestId);
    },
  };
  budget.addReader(reader);
  return reader;
}

Given(
  'readers with bytes held and time since they last read:',
  function (this: World, table: DataTable) {
    for (const { reader, bytes, milliseconds } of table.hashes()) {
      const note = (requestId: string): number => this.cut.push(requestId);
      createReader(this.budget, reader!, Number(bytes), Number(milliseconds), note);
    }
  },
);

When('the other bytes held rise to {int}', function (this: World, bytes: number) {
  this.otherAllocation.set(bytes);
});

Then('the readers cut are {string}', function (this: World, names: string) {
  assert.deepEqual(this.cut, names.split(','));
});

/**
 * Returns the number of readers cut until the level is left, of 300 clients that read nothing, 20
 * of which hold most of the bytes.
 */
function cutsUnder(order: CutOrder): number {
  const bounds = boundsForBudget(24_000_000);
  const budget = new MemoryBudget(runtimeOn(new VirtualClock(), []), bounds, order);
  const random = createRandom(7);
  let cuts = 0;
  for (let index = 0; index < 300; index += 1) {
    const bytes = index % 15 === 0 ? 900_000 : 12_000;
    createReader(budget, `c${index}`, bytes, random.integer(300, 1_900), () => (cuts += 1));
  }
  budget.allocate('bodies').set(2_800_000);
  return cuts;
}

Then(
  'cutting by bytes and time ends at most a tenth of the answers that cutting by time alone ends',
  function () {
    const byTime: CutOrder = (left, right) => right.idleMilliseconds - left.idleMilliseconds;
    const ended = cutsUnder(byBytesAndTime);
    const others = cutsUnder(byTime);
    assert.ok(ended >= 1 && ended * 10 <= others, `${ended} ended, by time alone ${others}`);
  },
);

/** A client watched by a {@link ReaderWatch} in virtual time. */
class WatchedClient {
  readonly clock = new VirtualClock();
  stand: DeliveryState = 'held';
  hasMemory = true;
  cutAt: number | undefined;
  readonly readAt: number[] = [];
  readonly watch: SlowReaderMonitor;

  constructor() {
    const runtime = runtimeOn(this.clock, []);
    this.watch = new SlowReaderMonitor(runtime, {
      deliveryState: () => this.stand,
      hasSpareMemory: () => this.hasMemory,
      extendWindow: () => this.readAt.push(this.clock.now),
      disconnect: () => (this.cutAt = this.clock.now),
    });
    this.watch.start();
  }
}

Then(
  'a client whose runner waits for it is cut after {int} seconds without reading, and after {int} while memory is short',
  function (calmSeconds: number, shortSeconds: number) {
    for (const isCalm of [true, false]) {
      const client = new WatchedClient();
      client.hasMemory = isCalm;
      advance(client.clock, 30_000);
      assert.equal(client.cutAt, (isCalm ? calmSeconds : shortSeconds) * 1_000);
    }
  },
);

Then(
  'a client that reads something every {int} seconds is not cut in {int} minutes, and its runner is never left unread longer than {int} ms',
  function (seconds: number, minutes: number, most: number) {
    const client = new WatchedClient();
    for (let second = 0; second < minutes * 60; second += seconds) {
      advance(client.clock, seconds * 1_000);
      client.watch.noteProgress();
    }
    assert.equal(client.cutAt, undefined);
    const gaps = client.readAt.map((at, index) => at - (client.readAt[index - 1] ?? 0));
    assert.ok(Math.max(...gaps) <= most, `${Math.max(...gaps)} ms unread`);
    assert.ok(client.clock.now - client.readAt.at(-1)! <= most);
  },
);

Then(
  'a client whose turn will be stored is not cut while the turn arrives, but {int} seconds after it is complete',
  function (seconds: number) {
    const client = new WatchedClient();
    client.stand = 'readOn';
    advance(client.clock, 60_000);
    assert.equal(client.cutAt, undefined);
    client.stand = 'ready';
    client.watch.noteProgress();
    advance(client.clock, seconds * 1_000 - 1_000);
    assert.equal(client.cutAt, undefined);
    advance(client.clock, 2_000);
    assert.notEqual(client.cutAt, undefined);
  },
);

/** A writer's listener that does nothing. */
const IGNORING_LISTENER: WriterListener = {
  onBackpressure: () => undefined,
  onProgress: () => undefined,
  onDrained: () => undefined,
};

/** A client that reads what was written to it when the test says so. */
class ManualTarget implements WriterTarget {
  readonly taken: Buffer[] = [];
  ends = 0;
  private waiting: { readonly bytes: Buffer; readonly done: (() => void) | undefined }[] = [];
  private onDrain: (() => void) | undefined;

  constructor(private readonly markBytes: number) {}

  get writableLength(): number {
    return this.waiting.reduce((sum, { bytes }) => sum + bytes.length, 0);
  }

  write(bytes: Buffer, done?: (error: Error | null | undefined) => void): boolean {
    this.waiting.push({ bytes, done: done === undefined ? undefined : () => done(undefined) });
    return this.writableLength < this.markBytes;
  }

  end(): void {
    this.ends += 1;
  }

  once(_event: 'drain', listener: () => void): void {
    this.onDrain = listener;
  }

  /** Reads everything written so far. */
  take(): void {
    const took = this.waiting;
    this.waiting = [];
    took.forEach(({ bytes }) => this.taken.push(bytes));
    took.forEach(({ done }) => done?.());
    const drained = this.onDrain;
    this.onDrain = undefined;
    drained?.();
  }
}

Then('any bytes reach a client in order, whenever it reads', function () {
  const step = fc.record({ bytes: fc.uint8Array({ maxLength: 30_000 }), takes: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
      const target = new ManualTarget(16_384);
      const outlet = new ClientWriter(target, IGNORING_LISTENER);
      for (const { bytes, takes } of steps) {
        outlet.push(Buffer.from(bytes));
        if (takes) {
          target.take();
        }
      }
      outlet.end();
      while (outlet.bufferedBytes > 0) {
        assert.ok(target.ends === 0 || !outlet.isBackpressured, 'ended while something waits');
        target.take();
      }
      assert.equal(target.ends, 1);
      const sent = Buffer.concat(steps.map(({ bytes }) => Buffer.from(bytes)));
      assert.ok(Buffer.concat(target.taken).equals(sent));
    }),
  );
});

Then(
  'each write of an answer of {int} bytes keeps at most {int} bytes in memory, and all of it reaches the client',
  function (bytes: number, most: number) {
    const target = new ManualTarget(16_384);
    const writer = new ClientWriter(target, IGNORING_LISTENER);
    const body = Buffer.alloc(bytes, 'abcdefghijk');
    writer.push(body);
    writer.end();
    while (writer.bufferedBytes > 0) {
      target.take();
    }
    assert.equal(target.ends, 1);
    assert.ok(Buffer.concat(target.taken).equals(body));
    const kept = Math.max(...target.taken.map((written) => written.buffer.byteLength));
    assert.ok(kept <= most, `${kept} bytes kept`);
  },
);

Then(
  'a runner that reads nothing may be sent requests until {int} bytes are unsent, and again once it reads',
  function (bound: number) {
    const backpressure = new RunnerBackpressure();
    const taken: (() => void)[] = [];
    while (backpressure.isWritable(RUNNER)) {
      taken.push(backpressure.trackUnsent(RUNNER, 20_000));
    }
    assert.ok(
      backpressure.unsentBytes(RUNNER) >= bound &&
        backpressure.unsentBytes(RUNNER) < bound + 20_000,
    );
    assert.ok(backpressure.isWritable('other' as RunnerIncarnation));
    taken[0]!();
    taken[0]!();
    assert.equal(backpressure.unsentBytes(RUNNER), 20_000 * (taken.length - 1));
    taken.forEach((take) => take());
    assert.ok(backpressure.isWritable(RUNNER));
    assert.equal(backpressure.unsentBytes(RUNNER), 0);
  },
);

/** Returns a response whose client reads nothing. */
function untakenResponse(): ServerResponse {
  const response = Object.assign(new EventEmitter(), { writableLength: 0, write: () => false });
  return response as unknown as ServerResponse;
}

Then(
  'a client that is behind pauses the first runner, and the next one after the same number of bytes',
  function () {
    const runtime = runtimeOn(new VirtualClock(), []);
    const answer = new ClientAnswer(untakenResponse(), {
      completion: new RequestCompletion(),
      runtime,
      memory: new MemoryBudget(runtime, NO_BOUNDS),
      requestIdHeader: 'id',
      requestId: 'behind',
    });
    const held: number[] = [];
    answer.setSource({
      ignoresBackpressure: false,
      pause: () => held.push(answer.heldBytes),
      resume: () => undefined,
      noteNewAttempt: () => undefined,
      end: () => undefined,
    });
    const pass = (): void => answer.write(Buffer.alloc(CHUNK_BYTES));
    for (let tries = 1; tries <= 3; tries += 1) {
      answer.noteNewAttempt();
      for (let bytes = 0; bytes <= WINDOW_BYTES + CHUNK_BYTES; bytes += CHUNK_BYTES) {
        pass();
      }
      assert.equal(held.length, tries, `held ${held.length} times`);
    }
  },
);

Then('a watch that is paused and resumed during a probe probes once in each silence', function () {
  const clock = new VirtualClock();
  const probes: ((reachable: boolean) => void)[] = [];
  const record = { inactivity: { timeoutMilliseconds: 100 }, lastActivityAt: 0, runner: {} };
  const context = {
    runtime: runtimeOn(clock, []),
    connections: {
      probe: (_runner: unknown, done: (reachable: boolean) => void) => probes.push(done),
    },
  };
  const watch = new InactivityMonitor(
    context as unknown as RelayContext,
    record as unknown as RunnerRecord,
    () => undefined,
  );
  advance(clock, 100);
  assert.equal(probes.length, 1);
  watch.pause();
  watch.resume();
  probes[0]!(true);
  advance(clock, 250);
  assert.equal(probes.length, 2);
  watch.stop();
  advance(clock, 1_000);
  assert.equal(probes.length, 2);
});

Then(
  '{int} bodies of {int} bytes that wait for connections do not block a runner, and count from their connections on',
  function (count: number, bytes: number) {
    const backpressure = new RunnerBackpressure();
    const sends = Array.from({ length: count }, () => backpressure.prepareSend(RUNNER, bytes));
    assert.ok(backpressure.isWritable(RUNNER));
    const [first, ...others] = sends;
    first!.onSendEnd();
    first!.onConnected();
    assert.equal(backpressure.unsentBytes(RUNNER), 0);
    others.forEach((pendingSend) => pendingSend.onConnected());
    assert.equal(backpressure.unsentBytes(RUNNER), others.length * bytes);
    assert.ok(!backpressure.isWritable(RUNNER));
    sends.forEach((pendingSend) => pendingSend.onSendEnd());
    sends.forEach((pendingSend) => pendingSend.onSendEnd());
    assert.equal(backpressure.unsentBytes(RUNNER), 0);
  },
);

When(
  '{int} bodies of {int} bytes arrive, {int} of which are cancelled',
  function (this: World, count: number, bytes: number, givenUp: number) {
    this.acceptedBodies = [];
    for (let body = 0; body < count; body += 1) {
      const giveUp = this.budget.whenBodyAccepted(() => {
        const allocation = this.budget.allocate('bodies');
        this.acceptedBodies.push({ body, allocation });
        // The bytes arrive some time after the body was accepted.
        this.clock.schedule(2, () => allocation.set(bytes));
      });
      if (body < givenUp) {
        giveUp();
      }
    }
  },
);

Then(
  'no more than {int} of them are read together, and the threshold is exceeded by no more than those',
  function (this: World, most: number) {
    assert.equal(this.acceptedBodies.length, most);
    advance(this.clock, 1_000);
    assert.ok(!this.budget.acceptsBodies);
    assert.ok(this.budget.heldBytes <= 600_000 + most * 30_000, `${this.budget.heldBytes} held`);
  },
);

Then('all but the cancelled ones are read once there is memory for each', function (this: World) {
  for (let round = 0; round < 20; round += 1) {
    this.acceptedBodies.forEach(({ allocation }) => allocation.release());
    advance(this.clock, 100);
  }
  assert.deepEqual(
    this.acceptedBodies.map(({ body }) => body),
    Array.from({ length: 80 }, (_, index) => index + 20),
  );
});

/** Returns the head of a runner's answer. */
function headOf(status: number): AnswerHead {
  const nothing = { reason: '', rawHeaders: [], headers: {}, notExecuted: false, closing: false };
  return { status, ...nothing };
}

Then(
  "a turn whose first attempt broke off in an error's body is stored with only the events of the second attempt",
  function () {
    const kept: string[] = [];
    const runtime = runtimeOn(new VirtualClock(), []);
    const turns = { storeTurn: (turn: { output: Buffer }) => kept.push(turn.output.toString()) };
    const memory = new MemoryBudget(runtime, NO_BOUNDS);
    const call = {
      context: { memory, runtime, turns, currentTable: () => undefined },
      request: {
        route: { retained: true, resumable: false, retentionSeconds: 1, services: [] },
        body: '',
      },
      answer: { started: false, beginStream: () => undefined, write: () => undefined },
      remainingMilliseconds: 1_000,
      noteFirstByte: () => undefined,
      noteFirstEvent: () => undefined,
    };
    const stream = new StreamAnswer(call as unknown as AnsweredCall);
    stream.onHead(headOf(404));
    stream.onData(Buffer.from('no such'));
    assert.ok(stream.prepareResume());
    assert.equal(memory.heldBytes, 0);
    stream.onHead(headOf(200));
    stream.onData(Buffer.from('id: 1\ndata: one\n\n'));
    stream.onEnd();
    assert.deepEqual(kept, ['one\n']);
  },
);
