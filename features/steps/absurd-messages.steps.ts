/** Steps about messages with senseless content, at a replica with a real port and a real disk. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { renderExceptions } from '../../platform/render-exceptions.js';
import fc from 'fast-check';
import type { LogFields } from '../../src/runtime/runtime.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { decodeReplicaMessage, encodeReplicaMessage } from '../../src/turns/messages.js';
import type { ReplicaReply, ReplicaRequest } from '../../src/turns/messages.js';
import { Replica } from '../../src/turns/replica.js';
import { ReplicaServer } from '../../src/turns/replica-server.js';
import { SegmentTurnStorage } from '../../src/turns/segment-turn-storage.js';
import type { StreamContent } from '../../src/turns/stream-origins.js';
import type { WrittenChange } from '../../src/turns/turn-storage.js';
import { encodeFrame, FrameReader } from '../../src/wire/framing.js';
import { absurdMessage, mutatedMessage } from '../support/absurd-messages.js';

const HOST = '127.0.0.1';
const EPOCH = 0xffff_fff0;
const ANSWER_MILLISECONDS = 10_000;
const SOUND_ENTRY = { program: 'sound', turn: 't', mostTokens: 5, usedTokens: undefined };

interface World {
  absurdFolder?: string;
  absurdStorage: SegmentTurnStorage;
  absurdReplica: Replica;
  absurdServer?: ReplicaServer;
  absurdPort: number;
  absurdStreams: { readonly count: number; readonly length: number };
  absurdLog: LogFields[];
  absurdEscaped: unknown[];
  absurdListener: (cause: unknown) => void;
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

function runtimeOf(world: World): ReturnType<typeof createRealRuntime> {
  const log = (_level: unknown, _message: string, fields?: LogFields): void => {
    world.absurdLog.push(fields ?? {});
  };
  return { ...createRealRuntime({ seed: 1 }), log };
}

After(async function (this: World) {
  if (this.absurdFolder === undefined) {
    return;
  }
  process.off('uncaughtException', this.absurdListener);
  process.off('unhandledRejection', this.absurdListener);
  this.absurdServer?.close();
  this.absurdReplica.close();
  await new Promise<void>((resolve) => this.absurdStorage.close(resolve));
  rmSync(this.absurdFolder, { recursive: true, force: true });
});

Given('a replica at a port, with a disk', { timeout: 20_000 }, async function (this: World) {
  this.absurdLog = [];
  this.absurdEscaped = [];
  this.absurdListener = (cause) => this.absurdEscaped.push(cause);
  process.on('uncaughtException', this.absurdListener);
  process.on('unhandledRejection', this.absurdListener);
  this.absurdFolder = mkdtempSync(join(tmpdir(), 'ivyloom-absurd-'));
  const runtime = runtimeOf(this);
  const directory = new MemberDirectory(runtime);
  this.absurdPort = await freePort();
  const member = { id: 'a', node: 'a', host: HOST, port: this.absurdPort, zone: 'z' };
  directory.offer({ epoch: EPOCH, members: [member] }, 'store');
  this.absurdStorage = await SegmentTurnStorage.open(join(this.absurdFolder, 'turns'), runtime);
  const storage = this.absurdStorage;
  this.absurdReplica = new Replica({ id: 'a', runtime, storage, directory });
  storage.useLiveChanges(() => this.absurdReplica.liveChanges());
  await new Promise<void>((resolve) => this.absurdReplica.markReady('test', resolve));
  this.absurdServer = new ReplicaServer(this.absurdReplica, directory, runtime);
  const server = this.absurdServer;
  await new Promise<void>((resolve) => server.listen(HOST, this.absurdPort, resolve));
});

/** Sends frames on a connection each; resolves once the replica has read them. */
async function sendAll(world: World, contents: readonly Buffer[]): Promise<void> {
  for (const content of contents) {
    const socket = connect(world.absurdPort, HOST);
    socket.on('error', () => undefined);
    socket.resume();
    await new Promise<void>((resolve) => {
      socket.on('close', () => resolve());
      socket.end(encodeFrame(content));
    });
  }
}

When(
  'it gets {int} messages with {word} {word}, seed {int}',
  { timeout: 120_000 },
  async function (this: World, count: number, _kind: string, what: string, seed: number) {
    const messages = what === 'values' ? absurdMessage : mutatedMessage;
    await sendAll(this, fc.sample(messages, { numRuns: count, seed }));
  },
);

When(
  'it gets a reservation of a program whose name is {int} invalid bytes',
  async function (this: World, length: number) {
    const entry = { ...SOUND_ENTRY, program: 'x'.repeat(length) };
    const request = { type: 'reserve' as const, call: 1, epoch: EPOCH, entry };
    const content = Buffer.from(encodeReplicaMessage(request));
    const start = content.indexOf('x'.repeat(length));
    await sendAll(this, [content.fill(0xff, start, start + length)]);
  },
);

Then('no exception was thrown outside the decoding of messages', function (this: World) {
  assert.deepEqual(this.absurdEscaped, []);
  const unexpected = this.absurdLog.filter(({ event }) => event === 'process.exception');
  assert.deepEqual(unexpected, []);
  const causes = this.absurdLog
    .filter(({ event }) => event === 'replica.unreadable')
    .map(({ reason }) => String(reason));
  const known =
    /message has|union tag|section|bounds of the DataView|fingerprint|not UTF-8|not a duration|value of|Offset/;
  assert.deepEqual(
    causes.filter((reason) => !known.test(reason)),
    [],
  );
});

function call(socket: Socket, request: ReplicaRequest): Promise<ReplicaReply> {
  const reader = new FrameReader();
  return new Promise((resolve, reject) => {
    socket.setTimeout(ANSWER_MILLISECONDS, () => reject(new Error('no answer')));
    socket.on('close', () => reject(new Error('the connection was closed')));
    socket.on('data', (chunk: Buffer) => {
      const [content] = reader.push(chunk);
      if (content !== undefined) {
        resolve(decodeReplicaMessage(content) as ReplicaReply);
      }
    });
    socket.write(encodeFrame(encodeReplicaMessage(request)));
  });
}

Then(
  'a reservation at that replica is acknowledged',
  { timeout: 20_000 },
  async function (this: World) {
    const socket = connect(this.absurdPort, HOST);
    socket.on('error', () => undefined);
    const request = { type: 'reserve' as const, call: 7, epoch: EPOCH, entry: SOUND_ENTRY };
    const reply = await call(socket, request);
    socket.destroy();
    assert.deepEqual(reply.type === 'account' && { call: reply.call, outcome: reply.outcome }, {
      call: 7,
      outcome: 'done',
    });
  },
);

When(
  'it copies {int} turns of {int} KB, each after the next, and the last after the first',
  { timeout: 20_000 },
  async function (this: World, count: number, kilobytes: number) {
    const output = Buffer.alloc(kilobytes * 1024, 1);
    for (let number = 0; number < count; number += 1) {
      const names = { id: `c${number}`, previous: `c${(number + 1) % count}` };
      const turn = { ...names, input: Buffer.alloc(0), output, retentionMilliseconds: 60_000 };
      const request = { type: 'keep' as const, call: 1, epoch: EPOCH, turn };
      const reply = await new Promise<unknown>((resolve) =>
        this.absurdReplica.handle(request, resolve),
      );
      assert.deepEqual(reply, { type: 'taken', call: 1, outcome: 'lacksPredecessor' });
      await new Promise((resolve) => this.absurdReplica.storeTurns([turn], resolve));
    }
  },
);

Then(
  'a read of that chain is answered {string} within {int} KB',
  { timeout: 20_000 },
  function (this: World, state: string, kilobytes: number) {
    const request = { type: 'chainUnder' as const, call: 1, epoch: EPOCH, turn: 'c0' };
    const replies: ReplicaReply[] = [];
    this.absurdReplica.handle(request, (reply) => replies.push(reply as ReplicaReply));
    const [reply] = replies;
    assert.ok(reply?.type === 'chained' && reply.body.length <= kilobytes * 1024);
    assert.equal(reply.state, state);
  },
);

function streamName(number: number, length: number): string {
  return String(number).padEnd(length, '.');
}

When(
  'it gets the origins and contents of {int} streams with ids of {int} bytes',
  function (this: World, count: number, length: number) {
    for (let number = 0; number < count; number += 1) {
      const stream = streamName(number, length);
      const origins = [{ stream, service: 's', version: 'v' }];
      const contents = [{ stream, content: number as StreamContent }];
      const ignore = (): void => undefined;
      this.absurdReplica.handle({ type: 'recordOrigins', call: 1, entries: origins }, ignore);
      this.absurdReplica.handle({ type: 'recordContents', call: 1, entries: contents }, ignore);
    }
    this.absurdStreams = { count, length };
  },
);

Then(
  'it knows the origins of the last {int} streams, and of at most {int}',
  function (this: World, last: number, most: number) {
    const { count, length } = this.absurdStreams;
    const { streamOrigins, streamContents } = this.absurdReplica;
    const contents = Array.from({ length: count }, (_, number) => number as StreamContent);
    assert.ok(streamOrigins.size <= most);
    assert.ok(
      contents.filter((content) => streamContents.find(content).stream !== '').length <= most,
    );
    for (let number = count - last; number < count; number += 1) {
      assert.ok(streamOrigins.find(streamName(number, length)) !== undefined);
      assert.ok(streamContents.find(number as StreamContent).stream !== '');
    }
  },
);

When(
  'it gets a turn whose retention, and a version whose age, is {word} ms',
  async function (this: World, text: string) {
    const empty = Buffer.alloc(0);
    const retentionMilliseconds = Number(text);
    const turn = { id: 'r', previous: '', input: empty, output: empty, retentionMilliseconds };
    const listed = { service: 's', version: 'v', listedMilliseconds: 0 };
    const versions = [{ ...listed, ageMilliseconds: Number(text) }];
    const report = { type: 'exchangeVersions' as const, call: 1, knownMilliseconds: 0, versions };
    await sendAll(
      this,
      [{ type: 'keep' as const, call: 1, epoch: EPOCH, turn }, report].map((request) =>
        Buffer.from(encodeReplicaMessage(request)),
      ),
    );
  },
);

Then(
  '{int} messages were refused, and it holds neither',
  async function (this: World, count: number) {
    const refused = this.absurdLog.filter(({ event }) => event === 'replica.unreadable');
    assert.equal(refused.length, count);
    assert.ok(!this.absurdReplica.state.hasTurn('r'));
    const socket = connect(this.absurdPort, HOST);
    const request = { type: 'exchangeVersions' as const, call: 2, knownMilliseconds: 0 };
    const reply = await call(socket, { ...request, versions: [] });
    socket.destroy();
    assert.deepEqual(reply.type === 'versionsExchanged' && reply.versions, []);
  },
);

/** Reads the disk as a process that starts does; returns the changes. */
async function readAgain(world: World, unknown = 0): Promise<WrittenChange[]> {
  world.absurdServer?.close();
  await new Promise<void>((resolve) => world.absurdStorage.close(resolve));
  const runtime = runtimeOf(world);
  const storage = await SegmentTurnStorage.open(join(world.absurdFolder!, 'turns'), runtime);
  const changes: WrittenChange[] = [];
  const unknownRecords = await storage.load((change) => changes.push(change));
  assert.equal(unknownRecords, unknown);
  return changes;
}

When(
  'a record of a name that is longer than its length field is written, and a reservation after it',
  async function (this: World) {
    for (const entry of [{ ...SOUND_ENTRY, program: 'x'.repeat(90_000) }, SOUND_ENTRY]) {
      const isDurable = await new Promise((resolve) =>
        this.absurdStorage.write([{ tag: 'entry', entry: { entry, storedAt: 0 } }], resolve),
      );
      assert.equal(isDurable, true);
    }
  },
);

Then('its disk is read again without an error', async function (this: World) {
  await readAgain(this);
});

function assertHoldsReservation(changes: readonly WrittenChange[]): void {
  const programs = changes.flatMap((change) =>
    change.tag === 'entry' ? [change.entry.entry.program] : [],
  );
  assert.ok(programs.includes(SOUND_ENTRY.program));
}

Then(
  'its disk is read again without an error, with that reservation',
  { timeout: 20_000 },
  async function (this: World) {
    assertHoldsReservation(await readAgain(this));
  },
);

Then(
  'its disk is read again with {int} unknown record(s), and with that reservation',
  async function (this: World, unknown: number) {
    assertHoldsReservation(await readAgain(this, unknown));
  },
);

When(
  'it gets {int} reservations whose handling throws',
  { timeout: 20_000 },
  async function (this: World, count: number) {
    const { absurdReplica } = this;
    const handle = absurdReplica.handle.bind(absurdReplica);
    absurdReplica.handle = () => {
      throw new RangeError('seeded');
    };
    const request = { type: 'reserve' as const, call: 1, epoch: EPOCH, entry: SOUND_ENTRY };
    const content = Buffer.from(encodeReplicaMessage(request));
    await sendAll(
      this,
      Array.from({ length: count }, () => content),
    );
    absurdReplica.handle = handle;
  },
);

Then('its metrics have the line {string}', function (this: World, line: string) {
  assert.deepEqual(renderExceptions(this.absurdServer!.exceptions), `${line}\n`);
});

Then(
  '{int} to {int} exceptions were logged with their stack, and no message as unreadable',
  function (this: World, least: number, most: number) {
    const logged = this.absurdLog.filter(({ event }) => event === 'process.exception');
    assert.ok(logged.length >= least && logged.length <= most, `${logged.length} were logged`);
    assert.ok(logged.every(({ stack }) => String(stack).startsWith('RangeError: seeded')));
    assert.ok(this.absurdLog.every(({ event }) => event !== 'replica.unreadable'));
  },
);
