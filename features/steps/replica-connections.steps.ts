/** Steps about the bounds on the connections to a replica, with real sockets. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { findFreePorts } from '../../src/bench/free-ports.js';
import { createRealRuntime } from '../../src/runtime/real-runtime.js';
import { Listeners } from '../../src/runtime/listeners.js';
import { ExceptionLog } from '../../src/telemetry/exception-log.js';
import type { CallLimits } from '../../src/turns/call-connections.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import { MemoryTurnStorage } from '../../src/turns/memory-turn-storage.js';
import { decodeReplicaMessage, encodeReplicaMessage } from '../../src/turns/messages.js';
import type { ReplicaReply, ReplicaRequest } from '../../src/turns/messages.js';
import { Replica } from '../../src/turns/replica.js';
import { ReplicaServer } from '../../src/turns/replica-server.js';
import { encodeFrame, FrameReader } from '../../src/wire/framing.js';
import { until } from '../support/starting-process.js';

const HOST = '127.0.0.1';
const EPOCH = 1;
const KILOBYTE = 1_000;
const MEGABYTE = 1_000_000;
/** Time in which a reply or a close arrives: only ends the wait for nothing. */
const WAIT_MILLISECONDS = 20_000;
const QUESTION: ReplicaRequest = { type: 'chain', call: 1, turn: '' };

/** A connection to the replica that reads what comes back. */
class Caller {
  readonly replies: ReplicaReply[] = [];
  isClosed = false;
  readonly socket: Socket;
  /** What it has not sent yet of a message. */
  rest: Buffer = Buffer.alloc(0);

  constructor(port: number) {
    const reader = new FrameReader();
    this.socket = connect(port, HOST);
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
    this.socket.on('data', (chunk: Buffer) => {
      const contents = reader.push(chunk);
      this.replies.push(
        ...contents.map((content) => decodeReplicaMessage(content) as ReplicaReply),
      );
    });
  }

  async ask(request: ReplicaRequest): Promise<ReplicaReply | undefined> {
    return this.reply(encodeFrame(encodeReplicaMessage(request)));
  }

  /** Sends bytes; resolves with the next reply, or undefined once the connection was closed. */
  async reply(bytes: Buffer): Promise<ReplicaReply | undefined> {
    const before = this.replies.length;
    this.socket.write(bytes);
    await until(() => this.isClosed || this.replies.length > before);
    return this.replies[before];
  }

  /** Resolves once the system has taken the bytes, or the connection was closed. */
  send(bytes: Buffer): Promise<void> {
    return new Promise((resolve) => this.socket.write(bytes, () => resolve()));
  }
}

interface World {
  boundedServer?: ReplicaServer;
  boundedReplica: Replica;
  boundedPort: number;
  boundedCallers: Caller[];
  boundedCrowd: Caller[];
}

function keepRequest(id: string, bytes: number): ReplicaRequest {
  const output = Buffer.alloc(bytes, 1);
  const turn = { id, previous: '', input: Buffer.alloc(0), output, retentionMilliseconds: 60_000 };
  return { type: 'keep', call: 2, epoch: EPOCH, turn };
}

function assertKept(reply: ReplicaReply | undefined): void {
  assert.deepEqual(reply?.type === 'taken' && reply.outcome, 'done');
}

async function start(world: World, limits: CallLimits): Promise<void> {
  const runtime = { ...createRealRuntime({ seed: 1 }), log: () => undefined };
  const [port] = await findFreePorts(HOST, 1);
  const directory = new MemberDirectory(runtime);
  const member = { id: 'a', node: 'a', host: HOST, port: port!, zone: 'z' };
  directory.offer({ epoch: EPOCH, members: [member] }, 'test');
  const storage = new MemoryTurnStorage(runtime);
  const replica = new Replica({ id: 'a', runtime, storage, directory });
  replica.markReady('test');
  const parts = [replica, directory, runtime, new Listeners(runtime)] as const;
  const server = new ReplicaServer(...parts, new ExceptionLog(runtime), limits);
  await new Promise<void>((resolve) => server.listen(HOST, port!, resolve));
  Object.assign(world, { boundedServer: server, boundedReplica: replica, boundedPort: port });
  world.boundedCallers = [];
  world.boundedCrowd = [];
}

async function askFrom(world: World, count: number): Promise<void> {
  for (let asked = 0; asked < count; asked += 1) {
    const caller = new Caller(world.boundedPort);
    world.boundedCallers.push(caller);
    assert.equal((await caller.ask(QUESTION))?.type, 'chained');
  }
}

After(function (this: World) {
  if (this.boundedServer !== undefined) {
    this.boundedServer.close();
    this.boundedReplica.close();
    [...this.boundedCallers, ...this.boundedCrowd].forEach(({ socket }) => socket.destroy());
  }
});

Given('a replica with room for {int} connections', async function (this: World, count: number) {
  await start(this, { maximumConnections: count });
});

Given(
  'a replica with room for {int} MB of unfinished messages',
  async function (this: World, megabytes: number) {
    await start(this, { maximumUnfinishedBytes: megabytes * MEGABYTE });
  },
);

When('{int} callers ask it', async function (this: World, count: number) {
  await askFrom(this, count);
});

When(
  '{int} callers ask it, and then {int} connections are opened that stay silent',
  async function (this: World, count: number, silent: number) {
    await askFrom(this, count);
    this.boundedCrowd = Array.from({ length: silent }, () => new Caller(this.boundedPort));
    await until(() => this.boundedCrowd.every(({ socket }) => !socket.connecting));
  },
);

Then('another caller is answered', async function (this: World) {
  await askFrom(this, 1);
});

Then('the next connection is closed', async function (this: World) {
  const caller = new Caller(this.boundedPort);
  this.boundedCrowd.push(caller);
  await until(() => caller.isClosed);
  assert.deepEqual(caller.replies, []);
});

Then(
  'the {int} callers are answered on their connections',
  async function (this: World, count: number) {
    const replies = await Promise.all(
      this.boundedCallers.slice(0, count).map((caller) => caller.ask(QUESTION)),
    );
    assert.deepEqual(
      replies.map((reply) => reply?.type),
      Array.from({ length: count }, () => 'chained'),
    );
  },
);

Then('at most {int} connections to it are open', async function (this: World, count: number) {
  const all = [...this.boundedCallers, ...this.boundedCrowd];
  await until(() => all.filter(({ isClosed }) => !isClosed).length <= count);
});

When(
  'a caller sends it a turn of {int} MB',
  { timeout: WAIT_MILLISECONDS },
  async function (this: World, megabytes: number) {
    const caller = new Caller(this.boundedPort);
    this.boundedCallers.push(caller);
    await caller.ask(keepRequest('large', megabytes * MEGABYTE));
  },
);

Then('that turn is acknowledged', function (this: World) {
  assertKept(this.boundedCallers[0]!.replies[0]);
  assert.notEqual(this.boundedReplica.state.getTurn('large'), undefined);
});

When(
  '{int} callers ask it, and then each sends {int} KB of a turn of {int} KB',
  async function (this: World, count: number, sent: number, whole: number) {
    await askFrom(this, count);
    for (const [index, caller] of this.boundedCallers.entries()) {
      const request = keepRequest(`turn-${index}`, whole * KILOBYTE);
      const frame = encodeFrame(encodeReplicaMessage(request));
      caller.rest = frame.subarray(sent * KILOBYTE);
      await caller.send(frame.subarray(0, sent * KILOBYTE));
    }
  },
);

When(
  '{int} connections send {int} KB of a message of {int} MB each',
  async function (this: World, count: number, sent: number, whole: number) {
    this.boundedCrowd = Array.from({ length: count }, () => new Caller(this.boundedPort));
    const start = Buffer.alloc(sent * KILOBYTE);
    start.writeUInt32BE(whole * MEGABYTE);
    await Promise.all(this.boundedCrowd.map((caller) => caller.send(start)));
  },
);

Then(
  'the {int} callers get their turns acknowledged once they send the rest',
  async function (this: World, count: number) {
    assert.equal(this.boundedCallers.length, count);
    const replies = await Promise.all(
      this.boundedCallers.map((caller) => caller.reply(caller.rest)),
    );
    replies.forEach(assertKept);
  },
);

Then(
  'at least {int} of the {int} connections are closed',
  async function (this: World, least: number, all: number) {
    assert.equal(this.boundedCrowd.length, all);
    await until(() => this.boundedCrowd.filter(({ isClosed }) => isClosed).length >= least);
  },
);

/** Cuts bytes into chunks of these sizes, one after the other, and again from the first. */
function cut(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  for (let start = 0, index = 0; start < bytes.length; index += 1) {
    const end = start + sizes[index % sizes.length]!;
    chunks.push(bytes.subarray(start, end));
    start = end;
  }
  return chunks;
}

Then(
  'frames of any sizes, cut anywhere, are read as they were written, seeds {int} to {int}',
  { timeout: WAIT_MILLISECONDS },
  function (first: number, last: number) {
    const contents = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 12 });
    const sizes = fc.array(fc.integer({ min: 1, max: 700 }), { minLength: 1, maxLength: 8 });
    const property = fc.property(contents, sizes, (written, cuts) => {
      const reader = new FrameReader();
      const chunks = cut(Buffer.concat(written.map(encodeFrame)), cuts);
      const read = chunks.flatMap((chunk) => reader.push(chunk));
      assert.deepEqual(
        read.map((content) => [...content]),
        written.map((content) => [...content]),
      );
      assert.equal(reader.unfinishedBytes, 0);
    });
    fc.assert(property, { seed: first, numRuns: last - first + 1 });
  },
);
