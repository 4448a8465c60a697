/** Steps for answers with a part that never ends. */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { sendEndless } from '../../src/emulator/endless-answer.js';
import type {
  BodyFiller,
  BodyFraming,
  EndlessForm,
  EndlessPart,
  EndlessRecord,
} from '../../src/emulator/endless-answer.js';
import { AnswerBody } from '../../src/relay/answers/answer-body.js';
import { EventSplitter } from '../../src/relay/answers/event-splitter.js';
import { MemoryBudget } from '../../src/relay/memory/memory-budget.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { boundsForBudget } from '../../src/relay/memory/memory-bounds.js';
import { ANSWER_READERS } from '../support/answer-readers.js';
import { RawServer } from '../support/raw-server.js';
import { RelayWorld } from '../support/relay-world.js';
import type { ClientResult } from '../support/relay-world.js';

interface World {
  relay?: RelayWorld;
  results: ClientResult[];
  mostHeldBytes: number;
  server?: RawServer;
  port: number;
  records: EndlessRecord[];
  report: { hasAnswer: boolean; milliseconds: number };
  /** Chunks of a body that were accepted, and its bytes unless it was given up. */
  collected: { chunks: number; bytes: Buffer | undefined; sent: Buffer };
}

const MEBIBYTE = 1024 * 1024;
const POLL_MILLISECONDS = 10;
const SAMPLE_MILLISECONDS = 2;
const BURSTS = 4;

After(function (this: World) {
  this.server?.close();
});

function formOf(extra: Partial<EndlessForm>): EndlessForm {
  const form = { part: 'body', framing: 'length', status: 200, filler: 'letters' } as const;
  return { ...form, isSlow: false, ...extra };
}

/** Lets the first request that arrives at one of the runners get an endless answer. */
function spoilFirst({ relay }: World, form: EndlessForm): void {
  const shared = ['endless' as const];
  relay!.runners.forEach((runner) => {
    runner.endlessForm = () => form;
    runner.behaviours.shift = () => shared.shift();
  });
}

Given(
  'the first answer is endless in its {string}, framed by {string}, with status {int}',
  function (this: World, part: EndlessPart, framing: BodyFraming, status: number) {
    spoilFirst(this, formOf({ part, framing, status }));
  },
);

Given(
  'the first answer is endless in its {string}, framed by {string}, with status {int}, and slow',
  function (this: World, part: EndlessPart, framing: BodyFraming, status: number) {
    spoilFirst(this, formOf({ part, framing, status, isSlow: true }));
  },
);

Given(
  'the first answer is endless in its {string} of {string}, framed by {string}, with status {int}',
  function (
    this: World,
    part: EndlessPart,
    filler: BodyFiller,
    framing: BodyFraming,
    status: number,
  ) {
    spoilFirst(this, formOf({ part, filler, framing, status }));
  },
);

async function assertClosed(
  records: readonly EndlessRecord[],
  milliseconds: number,
  mebibytes: number,
): Promise<void> {
  assert.ok(records.length > 0, 'no answer was endless');
  for (const record of records) {
    const until = record.startedAt + milliseconds;
    while (record.closedAt === undefined && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
    }
    assert.ok(record.closedAt !== undefined, `open after ${milliseconds} ms`);
    assert.ok(record.closedAt - record.startedAt <= milliseconds);
    assert.ok(record.bytes <= mebibytes * MEBIBYTE, `${record.bytes} bytes were taken`);
  }
}

Then(
  /^(?:the|each) endless answer was closed within (\d+) ms and after at most (\d+) MiB$/,
  async function (this: World, milliseconds: string, mebibytes: string) {
    const records = this.relay!.runners.flatMap(({ endlessRecords }) => endlessRecords);
    await assertClosed(records, Number(milliseconds), Number(mebibytes));
  },
);

Then('nothing is held for it', async function (this: World) {
  const { memory, registry } = this.relay!.gateway;
  await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS));
  assert.equal(memory.heldBytes, 0);
  assert.deepEqual([...registry.ownLoads()], []);
});

Given(
  'a gateway with two runners and a memory budget of {int} MiB',
  async function (this: World, mebibytes: number) {
    await this.relay?.stop();
    this.relay = new RelayWorld({ memoryBounds: boundsForBudget(mebibytes * MEBIBYTE) });
    await this.relay.start(true);
  },
);

Given(
  '{int} of {int} answers to {string} requests is endless in its {string}, framed by {string}, with status {int}',
  function (
    this: World,
    some: number,
    all: number,
    route: string,
    part: EndlessPart,
    framing: BodyFraming,
    status: number,
  ) {
    let answers = 0;
    this.relay!.runners.forEach((runner) => {
      runner.endlessForm = () => formOf({ part, framing, status });
      runner.drawBehaviour = (path) => {
        if (!path.startsWith(`/${route}/`)) {
          return 'answer';
        }
        answers += 1;
        return answers % all < some ? 'endless' : 'answer';
      };
    });
  },
);

When(
  '{int} {string} requests and {int} others are sent over 1 second',
  { timeout: 30_000 },
  async function (this: World, spoiled: number, route: string, others: number) {
    const relay = this.relay!;
    this.mostHeldBytes = 0;
    const sampler = setInterval(() => {
      this.mostHeldBytes = Math.max(this.mostHeldBytes, relay.gateway.memory.heldBytes);
    }, SAMPLE_MILLISECONDS);
    const after = async (milliseconds: number, name: string): Promise<ClientResult> => {
      await new Promise((resolve) => setTimeout(resolve, milliseconds));
      return relay.send(name);
    };
    const burst = (index: number): number => (index % BURSTS) * (1_000 / BURSTS);
    const pending = Array.from({ length: spoiled }, (_, index) => after(burst(index), route));
    const sound = Array.from({ length: others }, (_, index) =>
      after((index * 1_000) / others, 'repeatable'),
    );
    this.results = await Promise.all(sound);
    await Promise.all(pending);
    clearInterval(sampler);
  },
);

Then('the others all get status 200', function (this: World) {
  const failed = this.results.filter(({ status }) => status !== 200);
  assert.deepEqual(failed, []);
});

Then('at most {int} MiB were held at any time', function (this: World, mebibytes: number) {
  assert.ok(this.mostHeldBytes <= mebibytes * MEBIBYTE, `${this.mostHeldBytes} bytes`);
});

Given(
  'a server whose answers are endless in their {string}',
  async function (this: World, part: EndlessPart) {
    this.records = [];
    const form = formOf({ part, framing: 'close' });
    this.server = new RawServer((socket: Socket) =>
      this.records.push(sendEndless(socket, form, {})),
    );
    this.port = await this.server.listen();
  },
);

Given('a server that sends to each connection without end', async function (this: World) {
  this.records = [];
  const form = formOf({ part: 'blankLines' });
  this.server = new RawServer((socket) => this.records.push(sendEndless(socket, form, {})), true);
  this.port = await this.server.listen();
});

Then('the runner counts as alive', function (this: World) {
  assert.equal(this.report.hasAnswer, true);
});

When(/^(.*) reads an endless answer$/, async function (this: World, reader: string) {
  const startedAt = performance.now();
  const hasAnswer = await ANSWER_READERS[reader]!(this.port);
  this.report = { hasAnswer, milliseconds: performance.now() - startedAt };
});

Then('it reports that there is none within {int} ms', function (this: World, milliseconds: number) {
  assert.equal(this.report.hasAnswer, false);
  assert.ok(this.report.milliseconds <= milliseconds, `${this.report.milliseconds} ms`);
});

Then(
  "the server's connection was closed within {int} ms and after at most {int} MiB",
  async function (this: World, milliseconds: number, mebibytes: number) {
    await assertClosed(this.records, milliseconds, mebibytes);
  },
);

/** Returns a chunked answer whose body is an empty list of the store, padded with blanks to a size. */
function chunkedList(bytes: number, chunkBytes: number, padding: string): string {
  const text = '{"At":1,"items":[]}'.padEnd(bytes);
  const chunks: string[] = [];
  for (let at = 0; at < bytes; at += chunkBytes) {
    const chunk = text.slice(at, at + chunkBytes);
    chunks.push(`${padding}${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  return `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${chunks.join('')}0\r\n\r\n`;
}

Given(
  'a server whose answers are lists of {int} bytes in chunks of {int}, with {string} ahead of their sizes',
  async function (this: World, bytes: number, chunkBytes: number, padding: string) {
    const answer = chunkedList(bytes, chunkBytes, padding);
    this.server = new RawServer((socket: Socket) => socket.write(answer));
    this.port = await this.server.listen();
  },
);

When(/^(.*) reads a sound answer$/, async function (this: World, reader: string) {
  const hasAnswer = await ANSWER_READERS[reader]!(this.port);
  this.report = { hasAnswer, milliseconds: 0 };
});

Then('it reports an answer', function (this: World) {
  assert.equal(this.report.hasAnswer, true);
});

When(
  'an event of {int} bytes arrives in chunks of a byte',
  { timeout: 120_000 },
  function (this: World, bytes: number) {
    const sent = Buffer.from(`data: ${'x'.repeat(bytes)}\r\n\r\n`);
    const splitter = new EventSplitter();
    const startedAt = performance.now();
    const events = [...sent.keys()].flatMap((at) => splitter.push(sent.subarray(at, at + 1)));
    this.report = { hasAnswer: events.length === 1, milliseconds: performance.now() - startedAt };
    this.collected = { chunks: sent.length, bytes: events[0]?.bytes, sent };
  },
);

Then('the event was split whole within {int} ms', function (this: World, milliseconds: number) {
  assert.equal(this.report.hasAnswer, true);
  assert.ok(this.collected.bytes?.equals(this.collected.sent));
  assert.ok(this.report.milliseconds <= milliseconds, `${this.report.milliseconds} ms`);
});

When(
  'a body of {int} bytes arrives in chunks of {int}',
  { timeout: 60_000 },
  function (this: World, bytes: number, chunkBytes: number) {
    const memory = new MemoryBudget(createRealRuntime(), boundsForBudget(256 * MEBIBYTE));
    const body = new AnswerBody(memory, 'answers');
    const sent = Buffer.alloc(bytes, 'some text ');
    let chunks = 0;
    let refusal: string | undefined;
    for (let at = 0; at < bytes && refusal === undefined; at += chunkBytes) {
      refusal = body.add(sent.subarray(at, at + chunkBytes));
      chunks += 1;
    }
    this.collected = { chunks, bytes: refusal === undefined ? body.concat() : undefined, sent };
    body.release();
  },
);

Then('it was given up after at most {int} chunks', function (this: World, chunks: number) {
  assert.equal(this.collected.bytes, undefined);
  assert.ok(this.collected.chunks <= chunks, `${this.collected.chunks} chunks`);
});

Then('it was collected whole', function (this: World) {
  assert.ok(this.collected.bytes?.equals(this.collected.sent));
});
