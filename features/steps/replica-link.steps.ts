/** Steps about connections to replicas, with real sockets and a virtual clock. */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import type { Member } from '../../src/turns/membership.js';
import { decodeReplicaMessage, encodeReplicaMessage } from '../../src/turns/messages.js';
import { PRESENCE_PROBE } from '../../src/turns/replica-caller.js';
import { TcpReplicaCaller } from '../../src/turns/tcp-replica-caller.js';
import { encodeFrame, FrameReader } from '../../src/wire/framing.js';

const HOST = '127.0.0.1';
const STEP_MILLISECONDS = 25;
/** Real time given to the sockets in each step of the virtual clock, in milliseconds. */
const SOCKET_MILLISECONDS = 2;

interface World {
  linkServer?: Server;
  linkSockets: Socket[];
  linkClock: VirtualClock;
  linkCaller: TcpReplicaCaller;
  linkMember: Member;
  answeredCalls: number;
}

function answerAll(socket: Socket): void {
  const reader = new FrameReader();
  socket.on('data', (chunk: Buffer) => {
    for (const content of reader.push(chunk)) {
      const message = decodeReplicaMessage(content);
      if (message.type === 'chain') {
        const found = { state: 'missing' as const, body: Buffer.alloc(0) };
        const reply = { type: 'chained' as const, call: message.call, ...found };
        socket.write(encodeFrame(encodeReplicaMessage(reply)));
      }
    }
  });
}

async function startReplica(world: World, silentConnections: number): Promise<void> {
  world.linkSockets = [];
  const server = createServer((socket) => {
    world.linkSockets.push(socket);
    socket.on('error', () => undefined);
    if (world.linkSockets.length > silentConnections) {
      answerAll(socket);
    }
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  world.linkServer = server;
  const { port } = server.address() as AddressInfo;
  world.linkMember = { id: 'a', node: 'a', host: HOST, port, zone: 'z' };
  world.linkClock = new VirtualClock();
  const runtime = new SimulatedProcess('g', world.linkClock, createRandom(1)).start();
  world.linkCaller = new TcpReplicaCaller(runtime, () => undefined);
  world.answeredCalls = 0;
}

/** Advances virtual time step by step, with real time for the sockets in between. */
async function pass(
  world: World,
  milliseconds: number,
  until: () => boolean = () => false,
): Promise<void> {
  const end = world.linkClock.now + milliseconds;
  while (world.linkClock.now < end && !until()) {
    world.linkClock.runUntil(world.linkClock.now + STEP_MILLISECONDS);
    await new Promise((resolve) => setTimeout(resolve, SOCKET_MILLISECONDS));
  }
}

After(function (this: World) {
  this.linkCaller?.close();
  this.linkSockets?.forEach((socket) => socket.destroy());
  this.linkServer?.close();
});

Given(
  'a replica whose first connection is silent while later ones answer',
  async function (this: World) {
    await startReplica(this, 1);
  },
);

Given('a replica that answers on all connections', async function (this: World) {
  await startReplica(this, 0);
});

When(
  'it is called repeatedly with a timeout of {int} milliseconds',
  function (this: World, wait: number) {
    const call = (): void =>
      this.linkCaller.call(this.linkMember, PRESENCE_PROBE, wait, (reply) => {
        this.answeredCalls += reply === undefined ? 0 : 1;
        this.linkClock.schedule(STEP_MILLISECONDS, call);
      });
    call();
  },
);

Then(
  'a call is answered within {int} milliseconds',
  async function (this: World, milliseconds: number) {
    await pass(this, milliseconds, () => this.answeredCalls > 0);
    assert.ok(this.answeredCalls > 0, `${this.linkSockets.length} connections were opened`);
  },
);

Then(
  '{int} milliseconds of calls use {int} connection(s)',
  async function (this: World, milliseconds: number, connections: number) {
    await pass(this, milliseconds);
    assert.equal(this.linkSockets.length, connections);
  },
);
