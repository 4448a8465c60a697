/** Steps about the bounds on the connections to a replica, with real sockets. */
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
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
const QUESTION: ReplicaRequest = { type: 'chain', call: 1, turn: '' };

/** A connection to the replica that reads what comes back. */
class Caller {
  readonly replies: ReplicaReply[] = [];
  isClosed = false;
  readonly socket: Socket;
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
    const before = this.replies.length;
    this.socket.write(encodeFrame(encodeReplicaMessage(request)));
    await until(() => this.isClosed || this.replies.length > before);
    return this.replies[before];
  }
}

interface World {
  boundedServer?: ReplicaServer;
  boundedReplica: Replica;
  boundedPort: number;
  boundedCallers: Caller[];
  boundedCrowd: Caller[];
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
