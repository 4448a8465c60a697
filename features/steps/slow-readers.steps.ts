/** Steps about clients and runners that read slowly, over loopback sockets. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { MemoryAllocation } from '../../src/relay/memory/memory-accounts.js';
import { boundsForBudget } from '../../src/relay/memory/memory-bounds.js';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import { startAttempt } from '../../src/relay/tries/attempt.js';
import type { Attempt } from '../../src/relay/tries/attempt.js';
import { RunnerAgent } from '../../src/relay/tries/runner-agent.js';
import { ROUTED_HOST, RelayWorld } from '../support/relay-world.js';
import type { ClientResult, RelayWorldOptions } from '../support/relay-world.js';
import { SlowClient } from '../support/slow-client.js';
import { NonReadingRunner } from '../support/non-reading-runner.js';
import type { RunnerIncarnation } from '../../src/relay/runners/runner.js';

const MEGABYTE = 1024 * 1024;
/** Size of long streams: about 19 MB, twice what the kernel buffers for a client that reads nothing. */
const EVENT_BYTES = 16 * 1024;
const EVENTS = 1_200;
/** Events of the stream of a stored turn, which is read without backpressure: 8 MB. */
const STORED_TURN_EVENTS = 512;
/**
 * Streams for hundreds of clients. The kernel buffers about 9 MB for each client that reads nothing, in both
 * directions together. Only one stream in five is longer than that; the others fit into the kernel's buffers.
 */
const CROWD_STREAMS = { eventBytes: 64 * 1024, eventCount: 20 };
const ENDLESS_QUERY = 'stream&events=600';
const ENDLESS_INTERVAL = 5;
const ANSWER_BYTES = 8 * MEGABYTE;
const STEP_MILLISECONDS = 20;
/** Ample time for a request that does not have to wait. */
const WAIT_MILLISECONDS = 500;
/** Time without an event after which a runner counts as waiting; shorter than the longest pause of a runner. */
const STALL_MILLISECONDS = 300;
/** Expected latency of a runner without samples. */
const DEFAULT_LATENCY_MILLISECONDS = 100;
/** Statuses that state that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const LONG = { timeout: 60_000 };

interface World {
  relayWorld: RelayWorld;
  reader: SlowClient;
  readers: SlowClient[];
  normalResults: { result: ClientResult; milliseconds: number }[][];
  initialResidentBytes: number;
  maximumHeldBytes: number;
  maximumResidentBytes: number;
  nonReadingRunner?: NonReadingRunner;
  answers: ClientResult[];
  /** Ids of the requests of which any byte reached the runner that reads nothing. */
  reached: string[];
  otherAllocation?: MemoryAllocation;
  waiting?: Promise<ClientResult>;
  /** Number of events of the stream that is read. */
  expectedEvents: number;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits for a condition; fails if it does not hold within the given time. */
async function until(what: string, milliseconds: number, holds: () => boolean): Promise<void> {
  const end = performance.now() + milliseconds;
  while (!holds()) {
    assert.ok(performance.now() < end, `not within ${milliseconds} ms: ${what}`);
    await sleep(STEP_MILLISECONDS);
  }
}

async function startWorld(world: World, options: RelayWorldOptions): Promise<void> {
  world.relayWorld = new RelayWorld(options);
  world.readers = [];
  world.normalResults = [];
  world.maximumHeldBytes = 0;
  world.maximumResidentBytes = 0;
  await world.relayWorld.start(true);
}

After(async function (this: Partial<World>) {
  this.reader?.disconnect();
  this.readers?.forEach((reader) => reader.disconnect());
  this.nonReadingRunner?.close();
  await this.relayWorld?.stop();
  delete this.relayWorld;
  delete this.nonReadingRunner;
  delete this.reader;
});

const LONG_STREAMS = { eventBytes: EVENT_BYTES, eventCount: EVENTS, pauseMilliseconds: 0 };

Given('a gateway with two runners whose streams are long', async function (this: World) {
  await startWorld(this, { timeoutMilliseconds: 20_000, runner: LONG_STREAMS });
});

Given('a gateway with two runners whose plain answers are large', async function (this: World) {
  await startWorld(this, { timeoutMilliseconds: 20_000, runner: { answerBytes: ANSWER_BYTES } });
});

Given(
  'a gateway with a budget of {int} MB and two runners whose streams are long',
  async function (this: World, megabytes: number) {
    const memoryBounds = boundsForBudget(megabytes * MEGABYTE);
    const timeoutMilliseconds = 20_000;
    const runner = { ...LONG_STREAMS, ...CROWD_STREAMS };
    const common = { timeoutMilliseconds, maximumConnections: 700 };
    await startWorld(this, { memoryBounds, ...common, runner });
  },
);

Given('the first stream is interrupted in the middle', function (this: World) {
  const shared = ['cutOff' as const];
  this.relayWorld.runners.forEach((runner) => {
    runner.behaviours.shift = () => shared.shift();
  });
});

When('a client of a {string} route reads nothing', async function (this: World, route: string) {
  const query = route === 'kept' ? `stream&events=${STORED_TURN_EVENTS}` : route;
  this.expectedEvents = route === 'kept' ? STORED_TURN_EVENTS : EVENTS;
  this.reader = new SlowClient(this.relayWorld.frontPort, route, 'slow-1', 'nothing', query);
  await until(
    'backpressure of the client',
    4_000,
    () => this.relayWorld.gateway.memory.heldBytes > 0,
  );
});

When('it resumes reading after {int} milliseconds', async function (this: World, pause: number) {
  await sleep(pause);
  this.reader.resume();
});

When('it disconnects', function (this: World) {
  this.reader.disconnect();
});

Then(
  'the gateway buffers at most {int} bytes for it, and its runner waits',
  async function (this: World, most: number) {
    const { memory } = this.relayWorld.gateway;
    const sent = (): number =>
      this.relayWorld.runners.reduce((sum, { eventsSent }) => sum + eventsSent, 0);
    let before = -1;
    for (let checks = 0; before !== sent(); checks += 1) {
      assert.ok(checks < 20, 'the runner never stops sending');
      before = sent();
      await sleep(STALL_MILLISECONDS);
    }
    assert.ok(before < EVENTS, 'the whole stream was sent');
    const bufferedBytes = memory.heldBytes;
    assert.ok(bufferedBytes > 0 && bufferedBytes <= most, `${bufferedBytes} bytes buffered`);
  },
);

function eventsOf(text: string): number[] {
  return [...text.matchAll(/^id: (\d+)\r?$/gm)].map((match) => Number(match[1]));
}

Then('it gets the whole stream in order', LONG, async function (this: World) {
  await until('the end of the stream', 20_000, () => this.reader.isComplete);
  assert.deepEqual(
    eventsOf(this.reader.text),
    Array.from({ length: this.expectedEvents }, (_, index) => index + 1),
  );
});

Then('it gets the whole plain answer', LONG, async function (this: World) {
  await until('the end of the answer', 20_000, () => this.reader.isComplete);
  const { text } = this.reader;
  assert.equal(text.length - text.indexOf('\r\n\r\n') - 4, ANSWER_BYTES);
});

Then('no attempt failed, and no latency sample of its runner was taken', function (this: World) {
  assert.ok(!this.relayWorld.gateway.metrics.render().includes('ivyloom_relay_failed_tries_total'));
  const paces = this.relayWorld.gateway.registry.candidates('workers', [], new Set());
  // Without samples, the expected latency of a runner is that of its service, which has its default.
  assert.deepEqual(
    paces.map(({ record }) => record.latency.expectedMilliseconds),
    [DEFAULT_LATENCY_MILLISECONDS, DEFAULT_LATENCY_MILLISECONDS],
  );
});

Then(
  'it is disconnected within {int} milliseconds without its answer looking complete',
  LONG,
  async function (this: World, most: number) {
    const { memory } = this.relayWorld.gateway;
    await until('the disconnect', most, () => memory.heldBytes === 0);
    this.reader.resume();
    await until('the close', 3_000, () => this.reader.isClosed);
    assert.ok(!this.reader.isComplete);
  },
);

Then('its run has ended, and nothing is buffered any more', async function (this: World) {
  await until('the end of the run', 1_000, () =>
    this.relayWorld.runners.flatMap((runner) => runner.runs).every((run) => run.clientDisconnected),
  );
  assert.equal(this.relayWorld.gateway.memory.heldBytes, 0);
});

Then('its run ends within {int} milliseconds', async function (this: World, most: number) {
  const runs = this.relayWorld.runners.flatMap((runner) => runner.runs);
  assert.equal(runs.length, 1);
  await until('the end of the run', most, () => runs[0]!.clientDisconnected);
  assert.equal(this.relayWorld.gateway.memory.heldBytes, 0);
});

Then(
  'the turn is stored completely within {int} milliseconds, and the gateway buffers the rest of the answer',
  LONG,
  async function (this: World, most: number) {
    await until('the stored turn', most, () => this.relayWorld.storedTurns === 1);
    assert.ok(this.relayWorld.gateway.memory.byAccount().answers > MEGABYTE);
    assert.ok(!this.reader.isClosed);
  },
);

Then(
  'the gateway buffers the rest of the answer, and the run is over',
  async function (this: World) {
    const { memory } = this.relayWorld.gateway;
    await until('the whole answer', 3_000, () => memory.byAccount().answers > MEGABYTE);
    await until('the end of the run', 1_000, () =>
      this.relayWorld.runners.some((runner) => runner.runs[0]?.isAnswered === true),
    );
  },
);

/** Sends `count` requests in ten concurrent sequences; each gets a short plain answer. */
async function sendNormalRequests(world: World, count: number): Promise<void> {
  const LINES = 10;
  const done: { result: ClientResult; milliseconds: number }[] = [];
  const line = async (): Promise<void> => {
    for (let asked = 0; asked < count / LINES; asked += 1) {
      const before = performance.now();
      const result = await world.relayWorld.send('repeatable', { body: 'usual' });
      done.push({ result, milliseconds: performance.now() - before });
    }
  };
  await Promise.all(Array.from({ length: LINES }, line));
  world.normalResults.push(done);
}

When(
  '{int} normal clients send requests, ten at a time',
  LONG,
  async function (this: World, count: number) {
    await sendNormalRequests(this, count);
    this.maximumHeldBytes = this.relayWorld.gateway.memory.heldBytes;
    this.maximumResidentBytes = process.memoryUsage.rss();
  },
);

async function startReaders(world: World, nothing: number, trickling: number): Promise<void> {
  world.initialResidentBytes = process.memoryUsage.rss();
  const { frontPort } = world.relayWorld;
  for (let index = 0; index < trickling; index += 1) {
    world.readers.push(new SlowClient(frontPort, 'repeatable', `trickle-${index}`, 'trickle'));
  }
  for (let index = 0; index < nothing; index += 1) {
    const query = index % ENDLESS_INTERVAL === 0 ? ENDLESS_QUERY : 'stream';
    world.readers.push(new SlowClient(frontPort, 'stream', `none-${index}`, 'nothing', query));
  }
}

When(
  '{int} clients read nothing, and {int} read a few bytes a second',
  LONG,
  async function (this: World, nothing: number, trickling: number) {
    await startReaders(this, nothing, trickling);
    const { memory } = this.relayWorld.gateway;
    const slow = (): number => Number(/slow_readers (\d+)/.exec(memory.render())?.[1]);
    const endless = nothing / ENDLESS_INTERVAL;
    await until('backpressure of all clients', 20_000, () => slow() + memory.cutCount >= endless);
  },
);

When('the gateway buffers {int} bytes for others', function (this: World, bytes: number) {
  this.otherAllocation ??= this.relayWorld.gateway.memory.allocate('bodies');
  this.otherAllocation.set(bytes);
});

Then(
  'a new request without a body is answered, and one with a body waits',
  LONG,
  async function (this: World) {
    const result = await this.relayWorld.send('repeatable', { id: 'bodiless' });
    assert.equal(result.status, 200);
    this.waiting = this.relayWorld.send('repeatable', { body: 'waits', id: 'waits' });
    await sleep(WAIT_MILLISECONDS);
    const runs = this.relayWorld.runners.flatMap((runner) => runner.runs);
    assert.deepEqual(
      runs.map(({ requestId }) => requestId),
      ['bodiless'],
    );
  },
);

Then(
  'the request that waited is answered, and so is a new one',
  LONG,
  async function (this: World) {
    assert.equal((await this.waiting!).status, 200);
    const result = await this.relayWorld.send('repeatable', { body: 'later' });
    assert.equal(result.status, 200);
    delete this.otherAllocation;
  },
);

function quantile(milliseconds: readonly number[], fraction: number): number {
  const sorted = [...milliseconds].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length * fraction)]!;
}

/** Accepted increase of answer times: half of the time within which an event is to be forwarded. */
const TOLERATED_DELAY_MILLISECONDS = 100;

Then(
  'all normal clients got complete answers, the later ones as fast as the earlier ones',
  function (this: World) {
    const [before, after] = this.normalResults.map((asked) =>
      asked.map(({ milliseconds }) => milliseconds),
    );
    this.normalResults.flat().forEach(({ result }) => {
      assert.equal(result.status, 200);
      assert.ok(result.complete);
    });
    const middle = [before!, after!].map((asked) => quantile(asked, 0.5));
    const late = [before!, after!].map((asked) => quantile(asked, 0.95));
    const seen = `median ${middle.join(', ')} ms; 95 in 100 ${late.join(', ')} ms`;
    assert.ok(middle[1]! <= middle[0]! + TOLERATED_DELAY_MILLISECONDS, seen);
    assert.ok(late[1]! <= late[0]! + TOLERATED_DELAY_MILLISECONDS, seen);
  },
);

Then(
  'the gateway buffered at most {int} MB for the others, and the process used at most {int} MB more',
  function (this: World, held: number, resident: number) {
    assert.ok(this.maximumHeldBytes <= held * MEGABYTE, `${this.maximumHeldBytes} bytes buffered`);
    const more = this.maximumResidentBytes - this.initialResidentBytes;
    assert.ok(more <= resident * MEGABYTE, `${more} bytes more resident`);
  },
);

Then(
  'those that read nothing are disconnected within {int} milliseconds, and nothing is buffered for them any more',
  LONG,
  async function (this: World, most: number) {
    const { memory } = this.relayWorld.gateway;
    await until('all disconnects', most, () => memory.byAccount().answers === 0);
    const streams = this.relayWorld.runners.flatMap((runner) => runner.runs);
    const unread = streams.filter(({ requestId }) => requestId.startsWith('none-'));
    assert.equal(unread.length, 300);
    const endless = unread.filter(({ path }) => path.includes(ENDLESS_QUERY));
    await until('the end of all runs', 1_000, () => endless.every((run) => run.clientDisconnected));
  },
);

Then(
  'a new request is refused with 503 and a retry delay, and is not run',
  LONG,
  async function (this: World) {
    const result = await this.relayWorld.send('repeatable', { body: 'late', id: 'refused' });
    assert.equal(result.status, 503);
    assert.ok(Number(result.headers['retry-after']) > 0);
    const runs = this.relayWorld.runners.flatMap((runner) => runner.runs);
    assert.ok(runs.every(({ requestId }) => requestId !== 'refused'));
  },
);

Given('a gateway with two runners, the first of which reads nothing', async function (this: World) {
  await startWorld(this, { maximumConnections: 200 });
  this.nonReadingRunner = new NonReadingRunner();
  const port = await this.nonReadingRunner.listen();
  this.relayWorld.listRunner(0, true, port);
});

When(
  '{int} clients send bodies of {int} bytes to a {string} route',
  LONG,
  async function (this: World, count: number, bytes: number, route: string) {
    const body = 'x'.repeat(bytes);
    const asked = Array.from({ length: count }, async (_, index) =>
      this.relayWorld.send(route, { body, id: `body-${index}` }),
    );
    const { backpressure } = this.relayWorld.gateway;
    const watch = setInterval(() => {
      this.maximumHeldBytes = Math.max(
        this.maximumHeldBytes,
        backpressure.unsentBytes('one' as RunnerIncarnation),
      );
    }, 1);
    this.answers = await Promise.all(asked);
    clearInterval(watch);
  },
);

Then(
  'at most {int} bytes are unsent to the first runner, and the second one answered the other requests',
  async function (this: World, most: number) {
    assert.ok(this.maximumHeldBytes <= most, `${this.maximumHeldBytes} bytes unsent`);
    this.reached = await this.nonReadingRunner!.readIds();
    const others = this.answers.filter((_, index) => !this.reached.includes(`body-${index}`));
    assert.deepEqual(
      others.map(({ status }) => status),
      others.map(() => 200),
    );
    assert.ok(others.length > 0, 'all requests went to the first runner');
  },
);

Then(
  'no request that reached the first runner, even in part, is reported as not run',
  function (this: World) {
    assert.ok(this.reached.length > 0);
    for (const id of this.reached) {
      const { status } = this.answers[Number(id.split('-')[1])]!;
      assert.ok(!NOT_RUN_STATUSES.has(status), `${id} reached a runner and got ${status}`);
    }
  },
);

/** Starts an attempt over a connection that the runner closes after its answer, and pauses reading the answer. */
function startUnread(world: World, bytes: number, ended: (outcome: string) => void): Attempt {
  const { runner } = world.relayWorld.gateway.registry.candidates('workers', [], new Set())[0]!
    .record;
  let read = 0;
  const attempt = startAttempt(
    runner,
    new RunnerAgent(1),
    {
      requestId: 'closing',
      method: 'GET',
      path: `/work?fill=${bytes}`,
      headers: ['host', 'runner', DEFAULT_HEADER_NAMES.requestId, 'closing', 'connection', 'close'],
      body: Buffer.alloc(0),
    },
    DEFAULT_HEADER_NAMES,
    WAIT_MILLISECONDS,
    {
      reasonAgainstSending: () => undefined,
      onConnected: () => undefined,
      onSendEnd: () => undefined,
      onHead: () => attempt.pause(),
      onData: (chunk) => (read += chunk.length),
      onEnd: () => ended(`${read} bytes`),
      onFailure: ({ detail }) => ended(detail),
    },
  );
  return attempt;
}

Then(
  'an answer of {int} bytes that is read {int} milliseconds after its runner closed the connection is complete',
  async function (this: World, bytes: number, pause: number) {
    const outcomes: string[] = [];
    const attempt = startUnread(this, bytes, (outcome) => outcomes.push(outcome));
    const runs = (): boolean[] =>
      this.relayWorld.runners.flatMap((runner) => runner.runs.map(({ isAnswered }) => isAnswered));
    await until('the answer', WAIT_MILLISECONDS, () => runs().includes(true));
    await sleep(pause);
    assert.deepEqual(outcomes, []);
    attempt.resume();
    await until('the end', WAIT_MILLISECONDS, () => outcomes.length > 0);
    assert.deepEqual(outcomes, [`${bytes} bytes`]);
  },
);

When(
  'a client sends {int} pipelined requests with bodies and disconnects after {int} milliseconds',
  async function (this: World, count: number, pause: number) {
    const socket = connect(this.relayWorld.frontPort, '127.0.0.1');
    for (let index = 0; index < count; index += 1) {
      const head = [
        'POST /stream/work?stream HTTP/1.1',
        `host: ${ROUTED_HOST}`,
        `${DEFAULT_HEADER_NAMES.requestId}: behind-${index}`,
        `${DEFAULT_HEADER_NAMES.timeout}: 20000`,
        'content-length: 4',
      ];
      socket.write(`${head.join('\r\n')}\r\n\r\nbody`);
    }
    await until('the first run', 2_000, () => runCount(this) === 1);
    await sleep(pause);
    socket.destroy();
  },
);

function runCount({ relayWorld }: World): number {
  return relayWorld.runners.reduce((sum, runner) => sum + runner.runs.length, 0);
}

Then('the requests behind the first have not run', function (this: World) {
  assert.equal(runCount(this), 1);
});

Then(
  'all requests and all runs have ended within {int} milliseconds, and nothing is buffered',
  async function (this: World, most: number) {
    const { gateway, runners } = this.relayWorld;
    await until('the end of all requests', most, () => gateway.activeRequests === 0);
    const runs = runners.flatMap((runner) => runner.runs);
    await until('the end of all runs', most, () =>
      runs.every(({ clientDisconnected: left }) => left),
    );
    assert.equal(gateway.memory.heldBytes, 0);
  },
);

Then('all of them are answered', function (this: World) {
  assert.deepEqual(
    this.answers.map(({ status }) => status),
    this.answers.map(() => 200),
  );
});

Then(
  'one with a body whose deadline passes before it is read is refused with 503 and a retry delay, and is not run',
  async function (this: World) {
    const headers = { [DEFAULT_HEADER_NAMES.timeout]: '200' };
    const result = await this.relayWorld.send('repeatable', {
      body: 'unread',
      id: 'unread',
      headers,
    });
    assert.equal(result.status, 503);
    assert.ok(Number(result.headers['retry-after']) > 0);
    const runs = this.relayWorld.runners.flatMap((runner) => runner.runs);
    assert.ok(runs.every(({ requestId }) => requestId !== 'unread'));
  },
);
