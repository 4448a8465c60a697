/** Steps about how long turns are retained with their predecessors. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { runRetentionHistory } from '../../src/histories/retention-history.js';
import type { RetentionHistoryResult } from '../../src/histories/retention-history.js';
import { PREPARATION_STAGE } from '../../src/relay/stages/preparation-stage.js';
import type { RequestState } from '../../src/relay/stages/request-state.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { withoutPredecessors } from '../../src/turns/conversation-turn.js';
import type { ConversationTurn } from '../../src/turns/conversation-turn.js';
import { ReplicaState } from '../../src/turns/replica-state.js';
import type { ReserveRequest } from '../../src/turns/turn-client.js';

interface World {
  retentionHistories: RetentionHistoryResult[];
  state: ReplicaState;
  retainedClock: VirtualClock;
  holders: SimulatedReplicas;
  isStored: boolean;
  reservation: ReserveRequest;
}

const MILLISECONDS_IN_SECOND = 1_000;
const STORE_TIMEOUT_MILLISECONDS = 700;
const NAMES = ['m1', 'm2', 'm3'];

/** Returns a turn whose input and output are its id. */
function turnOf(id: string, previous: string, retentionSeconds = 60): ConversationTurn {
  const retentionMilliseconds = retentionSeconds * MILLISECONDS_IN_SECOND;
  const content = Buffer.from(`${id};`);
  return { id, previous, input: content, output: content, retentionMilliseconds };
}

function startReplicas(world: World): void {
  world.retainedClock = new VirtualClock();
  world.holders = new SimulatedReplicas(world.retainedClock, createRandom(1));
  NAMES.forEach((name) => world.holders.add(name, name));
  pass(world, 6_000);
}

function pass({ retainedClock }: World, milliseconds: number): void {
  retainedClock.runUntil(retainedClock.now + milliseconds);
}

function store(world: World, turn: ConversationTurn, prompt?: string): void {
  const { client } = world.holders.client(`g ${turn.id}`, 'm1', 'm1');
  const body = prompt === undefined ? undefined : Buffer.from(prompt);
  world.isStored = false;
  client.storeTurn(
    turn,
    STORE_TIMEOUT_MILLISECONDS,
    (isStored) => {
      world.isStored = isStored;
    },
    body,
  );
  pass(world, 2 * STORE_TIMEOUT_MILLISECONDS);
}

When(
  'retention histories run from seed {int} to {int}',
  function (this: World, first: number, last: number) {
    const seeds = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    this.retentionHistories = seeds.map((seed) => runRetentionHistory(seed));
  },
);

Then('no retention history violates a guarantee', function (this: World) {
  const violations = this.retentionHistories.flatMap((history) =>
    history.violations.map((violation) => `seed ${history.seed}: ${violation}`),
  );
  assert.deepEqual(violations.slice(0, 10), [], `${violations.length} violations`);
});

Then("some turns were stored after their predecessor's retention time", function (this: World) {
  const count = this.retentionHistories.reduce((sum, { outlasting }) => sum + outlasting, 0);
  assert.ok(count >= this.retentionHistories.length, `${count} turns`);
});

Given(
  'a replica with a turn that is retained for {int} s and lacks its predecessor',
  function (this: World, seconds: number) {
    this.state = new ReplicaState();
    this.state.addTurn({ turn: turnOf('b', 'a', seconds), storedAt: 0 });
  },
);

When(
  'the predecessor is copied, which is retained for {int} s',
  function (this: World, seconds: number) {
    this.state.addTurn({ turn: turnOf('a', '', seconds), storedAt: 0 });
  },
);

Then(
  'the chain of the turn is whole for {int} s, and is dropped after {int} s',
  function (this: World, seconds: number, dropSeconds: number) {
    this.state.expire(seconds * MILLISECONDS_IN_SECOND);
    assert.equal(this.state.chainOf('b').body.toString(), 'a;a;b;b;');
    this.state.expire(dropSeconds * MILLISECONDS_IN_SECOND);
    assert.equal(this.state.counts.turns, 0);
  },
);

Given(
  '3 replicas, of which one has a turn without its predecessor and another has the same turn with its chain in the input',
  function (this: World) {
    startReplicas(this);
    const turn = turnOf('b', 'a');
    this.holders.storeOn('m1', [turn]);
    this.holders.storeOn('m2', [withoutPredecessors(turn, Buffer.from('a;a;b;'))]);
  },
);

Given('3 replicas that hold a turn and its predecessor', function (this: World) {
  startReplicas(this);
  store(this, turnOf('a', ''));
  store(this, turnOf('b', 'a'));
});

When('{int} milliseconds pass at the replicas', function (this: World, milliseconds: number) {
  pass(this, milliseconds);
});

When(
  'the turn is stored again with its chain in the input, and all replicas restart',
  function (this: World) {
    store(this, withoutPredecessors(turnOf('b', 'a'), Buffer.from('a;a;b;')));
    NAMES.forEach((name) => this.holders.kill(name));
    NAMES.forEach((name) => this.holders.start(name));
  },
);

Then('all 3 replicas hold the same chain', function (this: World) {
  const chains = NAMES.map((name) => this.holders.chainAt(name, 'b'));
  assert.deepEqual(chains, Array(NAMES.length).fill('a;a;b;b;'));
});

When(
  /^a turn that continues an unknown one is stored (with|without) a prompt$/,
  function (this: World, how: string) {
    store(this, turnOf('d', 'c'), how === 'with' ? 'c;c;d;' : undefined);
  },
);

Then('it is not stored', function (this: World) {
  assert.equal(this.isStored, false);
  assert.deepEqual(this.holders.holdersOf('d'), []);
});

Then('all 3 replicas hold the prompt and the output as its chain', function (this: World) {
  assert.equal(this.isStored, true);
  const chains = NAMES.map((name) => this.holders.chainAt(name, 'd'));
  assert.deepEqual(chains, Array(NAMES.length).fill('c;c;d;d;'));
});

/** Returns a state with the reservation of the tokens of turn `a`. */
function stateWithReservation(): ReplicaState {
  const state = new ReplicaState();
  const entry = { program: 'p', turn: 'a', mostTokens: 50, usedTokens: 20 };
  state.mergeEntry({ entry, storedAt: 0 });
  return state;
}

Given(
  'a replica with a turn that is retained for {int} s, and the reservation of its tokens',
  function (this: World, seconds: number) {
    this.state = stateWithReservation();
    this.state.addTurn({ turn: turnOf('a', '', seconds), storedAt: 0 });
  },
);

Given('a replica with the reservation of the tokens of a turn', function (this: World) {
  this.state = stateWithReservation();
});

Then(
  'the reservation is there after {int} s, and is dropped after {int} s',
  function (this: World, seconds: number, dropSeconds: number) {
    this.state.expire(seconds * MILLISECONDS_IN_SECOND);
    assert.equal(this.state.entriesOf('p').length, 1);
    this.state.expire(dropSeconds * MILLISECONDS_IN_SECOND);
    assert.deepEqual(this.state.entriesOf('p'), []);
  },
);

When(
  'a turn {string} of program {string} of tenant {string} is prepared',
  function (this: World, id: string, program: string, tenant: string) {
    const reserve = (request: ReserveRequest): void => {
      this.reservation = request;
    };
    const request = {
      id,
      tenant: { id: tenant },
      program: { program, session: 's', budgetTokens: 100 },
      maximumOutputTokens: 50,
      route: { kind: 'stream', retained: true },
    };
    const context = { turns: { reserve } };
    const state = { context, request, isFinished: false, remainingMilliseconds: 1_000 };
    const outcome = PREPARATION_STAGE.decide(state as unknown as RequestState);
    assert.ok(outcome.tag === 'Wait');
    outcome.begin(() => undefined);
  },
);

Then(
  'tokens were reserved for turn {string} of program {string}',
  function (this: World, turn: string, program: string) {
    const { turn: reservedTurn, program: account } = this.reservation;
    assert.deepEqual([reservedTurn, account], [turn, program]);
  },
);
