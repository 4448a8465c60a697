/** Steps about calls to replicas of older builds, and about unknown message kinds, with real sockets. */
import assert from 'node:assert/strict';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { findFreePorts } from '../../src/bench/free-ports.js';
import { createRandom } from '../../src/runtime/random.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { MemberDirectory } from '../../src/turns/member-directory.js';
import type { Member } from '../../src/turns/membership.js';
import { MemoryTurnStorage } from '../../src/turns/memory-turn-storage.js';
import {
  decodeReplicaMessage,
  encodeReplicaMessage,
  REPLICA_MESSAGE_KINDS,
} from '../../src/turns/messages.js';
import type { ChainState, ReplicaReply } from '../../src/turns/messages.js';
import type { ReplicaCaller, UnnumberedRequest } from '../../src/turns/replica-caller.js';
import { encodeKindCount } from '../../src/turns/protocol-negotiation.js';
import { Replica } from '../../src/turns/replica.js';
import { ReplicaSync } from '../../src/turns/replica-sync.js';
import { membershipTimingsFor } from '../../src/turns/membership-timings.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { ReplicaServer } from '../../src/turns/replica-server.js';
import { TcpReplicaCaller } from '../../src/turns/tcp-replica-caller.js';
import { encodeFrame, FrameReader } from '../../src/wire/framing.js';

const OLDER_MEMBERS = ['a', 'b', 'c'];
/** The bound that deployments use, in milliseconds. */
const CATCH_UP_MILLISECONDS = 4_000;
const STEP_MILLISECONDS = 20;
const HOST = '127.0.0.1';
const CALL_MILLISECONDS = 2_000;
/** Time in which replies arrive on loopback, in milliseconds. */
const REPLY_MILLISECONDS = 200;
/** Time after which the older replica answers a write, in milliseconds. */
const SLOW_MILLISECONDS = 50;

interface World {
  olderServer?: Server;
  olderSockets?: Socket[];
  olderCaller?: TcpReplicaCaller;
  olderMember: Member;
  /** Message kinds with which chains were requested on the first connection. */
  requestedKinds: string[];
  pendingCallReply?: ReplicaReply | undefined;
  servingReplica?: Replica;
  replicaServer?: ReplicaServer;
  servingPort: number;
  replies: string[];
  outsideClock: VirtualClock;
  outsideSync: ReplicaSync;
  outsideReplica: Replica;
  suspicionMilliseconds: number;
}

const runtime: Runtime = {
  now: () => performance.now(),
  wallTime: () => 0,
  setTimer: (delay, callback) => {
    const timer = setTimeout(callback, delay);
    return () => clearTimeout(timer);
  },
  random: createRandom(1),
  log: () => undefined,
};

/** A replica that knows a limited number of message kinds and closes the connection on others, as older builds do. */
class OlderReplica {
  constructor(
    private readonly world: World,
    private readonly kindCount: number,
    private readonly announcesKindCount: boolean,
    private readonly chainState: ChainState,
  ) {}

  serve(socket: Socket): void {
    const { olderSockets } = this.world;
    olderSockets!.push(socket);
    const isFirst = olderSockets!.length === 1;
    const reader = new FrameReader();
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      for (const content of reader.push(chunk)) {
        if (content[0]! >= this.kindCount) {
          socket.destroy();
          return;
        }
        this.take(socket, content, isFirst);
      }
    });
  }

  private take(socket: Socket, content: Buffer, isFirst: boolean): void {
    const message = decodeReplicaMessage(content);
    if (message.type === 'keep') {
      const reply = { type: 'taken' as const, call: message.call, outcome: 'done' as const };
      setTimeout(() => this.send(socket, reply), SLOW_MILLISECONDS);
    } else if (message.type === 'chain' || message.type === 'chainUnder') {
      const isProbe = message.turn === '';
      if (isFirst && !isProbe) {
        this.world.requestedKinds.push(message.type);
      }
      const body = isProbe && this.announcesKindCount ? encodeKindCount() : Buffer.alloc(0);
      const state = isProbe ? 'found' : this.chainState;
      this.send(socket, { type: 'chained', call: message.call, state, body });
    }
  }

  private send(socket: Socket, reply: ReplicaReply): void {
    if (!socket.destroyed) {
      socket.write(encodeFrame(encodeReplicaMessage(reply)));
    }
  }
}

After(function (this: World) {
  this.olderCaller?.close();
  this.olderSockets?.forEach((socket) => socket.destroy());
  this.olderServer?.close();
  this.replicaServer?.close();
  this.servingReplica?.close();
});

Given(
  /^a replica that reads (\d+) kinds, tells (nothing|all) of it and says of chains "(.*)"$/,
  async function (this: World, kinds: string, announced: string, chainState: ChainState) {
    this.olderSockets = [];
    this.requestedKinds = [];
    this.replies = [];
    const olderReplica = new OlderReplica(this, Number(kinds), announced === 'all', chainState);
    const server = createServer((socket) => olderReplica.serve(socket));
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    this.olderServer = server;
    const { port } = server.address() as AddressInfo;
    this.olderMember = { id: 'a', node: 'a', host: HOST, port, zone: 'z' };
    this.olderCaller = new TcpReplicaCaller(runtime, () => undefined);
  },
);

function ask(world: World, request: UnnumberedRequest): Promise<ReplicaReply | undefined> {
  return new Promise((resolve) =>
    world.olderCaller!.call(world.olderMember, request, CALL_MILLISECONDS, resolve),
  );
}

When(
  'a chain is requested under an epoch while another call is pending',
  async function (this: World) {
    const none = Buffer.alloc(0);
    const turn = { id: 't', previous: '', input: none, output: none, retentionMilliseconds: 1 };
    const other = ask(this, { type: 'keep', epoch: 1, turn });
    const reply = await ask(this, { type: 'chainUnder', epoch: 1, turn: 't' });
    this.replies.push(reply?.type === 'chained' ? reply.state : String(reply?.type));
    this.pendingCallReply = await other;
  },
);

When('it is asked for the silences of others', async function (this: World) {
  const reply = await ask(this, { type: 'askSilences' });
  this.replies.push(String(reply?.type));
});

Then(
  'the reply is {string}, requested as {string}',
  function (this: World, answer: string, form: string) {
    assert.deepEqual(this.replies, [answer]);
    assert.deepEqual(this.requestedKinds, form === 'nothing' ? [] : [form]);
  },
);

Then(
  'the other call is answered, and {int} connection(s) were made',
  function (this: World, connections: number) {
    assert.equal(this.pendingCallReply?.type, 'taken');
    assert.equal(this.olderSockets!.length, connections);
  },
);

/** The reply of a member of an older build, which reports no silences but answers pulls. */
function answerAsOlder(member: Member, request: UnnumberedRequest): ReplicaReply {
  if (request.type !== 'pull') {
    return { type: 'notKnown', call: 1 };
  }
  const empty = { digests: Buffer.alloc(0), turns: [], next: 0, end: 0 };
  return { type: 'pulled', call: 1, active: true, epoch: 1, log: `${member.id} 1`, ...empty };
}

Given(
  'a non-member replica, and members of a build that does not report silences',
  function (this: World) {
    this.outsideClock = new VirtualClock();
    const process = new SimulatedProcess('o', this.outsideClock, createRandom(1)).start();
    const directory = new MemberDirectory(process);
    const storage = new MemoryTurnStorage(process);
    const replica = new Replica({ id: 'o', runtime: process, storage, directory });
    replica.restore({ tag: 'meta', meta: { ready: true, members: '' } });
    replica.endRestore();
    const members = OLDER_MEMBERS.map((id) => ({ id, node: id, host: HOST, port: 1, zone: 'z' }));
    directory.offer({ epoch: 1, members }, 'test');
    const caller: ReplicaCaller = {
      call: (member, request, _timeout, listener) =>
        void process.setTimer(1, () => listener(answerAsOlder(member, request))),
      notify: () => undefined,
    };
    const timings = membershipTimingsFor(CATCH_UP_MILLISECONDS);
    this.outsideSync = new ReplicaSync({
      id: 'o',
      runtime: process,
      replica,
      directory,
      caller,
      wantedMembers: members.length,
      timings,
    });
    this.suspicionMilliseconds = timings.suspicionMilliseconds;
    this.outsideReplica = replica;
  },
);

Then(
  'none of them counts as silent after {int} milliseconds',
  function (this: World, milliseconds: number) {
    const silences: number[] = [];
    for (let at = STEP_MILLISECONDS; at <= milliseconds; at += STEP_MILLISECONDS) {
      this.outsideClock.runUntil(at);
      silences.push(...OLDER_MEMBERS.map((id) => this.outsideSync.silenceOf(id)));
    }
    this.outsideSync.close();
    this.outsideReplica.close();
    const longest = Math.max(...silences);
    assert.ok(longest < this.suspicionMilliseconds, `silent for ${longest} ms`);
    assert.equal(this.outsideSync.presentMembers, OLDER_MEMBERS.length);
  },
);

Given('a replica with a server', async function (this: World) {
  const directory = new MemberDirectory(runtime);
  const storage = new MemoryTurnStorage(runtime);
  this.servingReplica = new Replica({ id: 'a', runtime, storage, directory });
  [this.servingPort] = (await findFreePorts(HOST, 1)) as [number];
  this.replicaServer = new ReplicaServer(this.servingReplica, directory, runtime);
  await new Promise<void>((resolve) => this.replicaServer!.listen(HOST, this.servingPort, resolve));
});

When(
  'it receives a message of an unknown kind, and then a request that it knows',
  async function (this: World) {
    this.replies = [];
    const socket = connect({ host: HOST, port: this.servingPort });
    const reader = new FrameReader();
    socket.on('data', (chunk: Buffer) => {
      for (const content of reader.push(chunk)) {
        const reply = decodeReplicaMessage(content);
        this.replies.push(`${reply.type} ${'call' in reply ? reply.call : ''}`);
      }
    });
    const unknownMessage = Buffer.from([REPLICA_MESSAGE_KINDS.length, 0, 0, 0, 7, 1, 2, 3]);
    socket.write(encodeFrame(unknownMessage));
    socket.write(encodeFrame(encodeReplicaMessage({ type: 'chain', call: 8, turn: '' })));
    await pause(REPLY_MILLISECONDS);
    socket.destroy();
  },
);

Then(
  'it replies that the first is not known, and answers the second on the same connection',
  function (this: World) {
    assert.deepEqual(this.replies, ['notKnown 7', 'chained 8']);
  },
);
