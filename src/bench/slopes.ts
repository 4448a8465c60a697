/**
 * Measures the cost of single operations, in CPU time, bytes and memory, for the capacity model in
 * docs/CAPACITY.md.
 */
import { emptySlice } from '../budget/slices.js';
import { LeaderDirectory } from '../replication/leader-directory.js';
import { emptyShardState, serializeShard } from '../program/shard-state.js';
import { applyCommand } from '../program/apply-command.js';
import { DEFAULT_OWNER_LIMITS } from '../program/program-limits.js';
import type { CallRequest } from '../model/call.js';
import { createRandom } from '../runtime/random.js';
import { createShardMap } from '../replication/shard-map.js';
import { CacheDirectory } from '../scheduling/cache-directory.js';
import { CostModel } from '../scheduling/cost-model.js';
import { IvyloomPolicy } from '../scheduling/policies/ivyloom.js';
import type { EngineView, PoolView } from '../scheduling/pool-view.js';
import type { CallTicket, Message } from '../wire/messages.js';
import { decodeMessage, encodeMessage } from '../wire/message-codec.js';

/** A measured cost; printed as a row or as JSON. */
export interface Slope {
  readonly what: string;
  readonly unit: string;
  readonly value: number;
}

const MICROSECONDS_PER_NANOSECOND = 1e-3;

/** Measures the mean duration of an operation after a warm-up, in microseconds. */
function measureMeanMicroseconds(times: number, operation: (index: number) => void): number {
  for (let index = 0; index < Math.min(times, 2_000); index += 1) {
    operation(index);
  }
  const started = process.hrtime.bigint();
  for (let index = 0; index < times; index += 1) {
    operation(index);
  }
  const nanoseconds = Number(process.hrtime.bigint() - started);
  return (nanoseconds / times) * MICROSECONDS_PER_NANOSECOND;
}

function makeRequest(program: string, sequence: number, tokens: number): CallRequest {
  return {
    call: `c-1-${program}-${sequence}`,
    program,
    group: 'brandvold',
    service: 'catalog-minds',
    callClass: 'interactive',
    sequence,
    idempotencyKey: '',
    repeatable: true,
    messages: [{ role: 'user', content: 'x'.repeat(tokens * 4) }],
    payload: '',
    maximumTokens: 200,
    timeoutMilliseconds: 60_000,
    endsProgram: false,
    receivedText: '',
  };
}

function makeTicket(index: number, groups: number): CallTicket {
  const program = `p${index}`;
  return {
    call: `c${index}`,
    program,
    group: `g${index % groups}`,
    callClass: 'interactive',
    repeatable: true,
    promptTokens: 2_000 + (index % 700),
    maximumTokens: 200,
    turn: 3,
    attainedService: index % 5_000,
    programAge: index % 60_000,
    waited: 0,
    deadlineIn: 60_000,
    prefixes: [{ name: program, tokens: 1_800 }],
    endsProgram: false,
    avoidEngine: '',
  };
}

function makePool(engines: number): PoolView {
  const views: EngineView[] = Array.from({ length: engines }, (_, index) => ({
    engine: `e${index}`,
    zone: `z${index % 3}`,
    concurrency: 16,
    cacheTokens: 400_000,
    running: 12 + (index % 4),
    runningTokens: 30_000,
    pendingPrefillTokens: 0,
    heldTokens: 100_000,
    available: true,
  }));
  return {
    engines: views,
    engineByName: new Map(views.map((view) => [view.engine, view])),
    directory: new CacheDirectory(),
    costs: new CostModel(),
    shareOf: () => 1,
  };
}

/** Measures the time of one scheduling decision for a queue and pool size, in microseconds. */
export function measureDecision(waiting: number, engines: number, decisions = 4_000): number {
  const pool = makePool(engines);
  const policy = new IvyloomPolicy();
  const random = createRandom(1, 'decision');
  for (let index = 0; index < waiting; index += 1) {
    const ticket = makeTicket(index, 40);
    const holder = `e${random.integer(0, engines - 1)}`;
    pool.directory.add(holder, { name: ticket.program, tokens: 1_800 });
    policy.enqueue(ticket, 0);
  }
  let ticketCount = waiting;
  return measureMeanMicroseconds(decisions, (index) => {
    const placement = policy.choose(pool, index);
    if (placement === undefined) {
      return;
    }
    const { engine } = placement;
    // The slot counts as free again at once, and a new call replaces the placed one in the queue.
    ticketCount += 1;
    const next = makeTicket(ticketCount, 40);
    pool.directory.add(engine.engine, { name: next.program, tokens: 1_800 });
    policy.enqueue(next, index);
  });
}

function measureMessages(): Slope[] {
  const ticket = makeTicket(1, 1);
  const enqueue: Message = {
    type: 'poolReport',
    service: 'catalog-minds',
    shard: 1,
    from: 2,
    complete: false,
    waiting: [ticket],
    running: [],
  };
  const piece: Message = {
    type: 'callEvent',
    call: 'c-11-6a80b52333fce3959c35de6e',
    event: { type: 'piece', offset: 400, text: 'abc ' },
  };
  const heartbeat: Message = {
    type: 'appendEntries',
    shard: 1,
    term: 1,
    previousIndex: 10,
    previousTerm: 1,
    commitIndex: 10,
    sentAt: 1,
    entries: [],
  };
  const messages: [string, Message][] = [
    ['enqueue a call', enqueue],
    ['relay a piece of one token', piece],
    ['heartbeat of a shard', heartbeat],
  ];
  return messages.flatMap(([what, message]) => {
    const bytes = encodeMessage(message);
    const cost = measureMeanMicroseconds(20_000, () => {
      decodeMessage(encodeMessage(message));
    });
    return [
      { what: `${what}: message`, unit: 'bytes', value: bytes.length },
      { what: `${what}: encode and decode`, unit: 'us', value: cost },
    ];
  });
}

function heapUsed(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

function measurePrograms(programs: number): Slope[] {
  const before = heapUsed();
  const state = emptyShardState();
  state.slices.set('brandvold', { ...emptySlice(), available: 1e12 });
  const turns = 4;
  const limits = DEFAULT_OWNER_LIMITS.program;
  const started = process.hrtime.bigint();
  for (let program = 0; program < programs; program += 1) {
    for (let turn = 1; turn <= turns; turn += 1) {
      const request = makeRequest(`p${program}`, turn, 100);
      const { call, sequence } = request;
      const name = request.program;
      const at = program;
      applyCommand(state, { type: 'acceptCall', at, request, reserve: 1_000, limits });
      applyCommand(state, { type: 'intendCall', program: name, sequence, call, engine: 'e1' });
      const usage = { promptTokens: 300, cachedTokens: 200, completionTokens: 50 };
      const text = `${program}:${'y'.repeat(200)}`;
      applyCommand(state, { type: 'answerCall', at, program: name, sequence, call, text, usage });
    }
  }
  const nanoseconds = Number(process.hrtime.bigint() - started);
  const bytes = heapUsed() - before;
  const serialized = serializeShard(state).length;
  return [
    {
      what: 'apply the three entries of a call',
      unit: 'us',
      value: (nanoseconds / (programs * turns)) * MICROSECONDS_PER_NANOSECOND,
    },
    {
      what: `memory of a program of ${turns} turns and 600 tokens`,
      unit: 'bytes',
      value: bytes / programs,
    },
    { what: 'the same in a snapshot', unit: 'bytes', value: serialized / programs },
  ];
}

function measureLookups(): Slope[] {
  const nodes = Array.from({ length: 350 }, (_, index) => ({
    node: `n${index}`,
    zone: `z${index % 15}`,
  }));
  const started = process.hrtime.bigint();
  const map = createShardMap(1_024, nodes);
  const milliseconds = Number(process.hrtime.bigint() - started) / 1e6;
  const leaders = new LeaderDirectory(map);
  const lookup = measureMeanMicroseconds(100_000, (index) => {
    leaders.targetOf(index % 1_024);
  });
  return [
    { what: 'place 1,024 shards on 350 nodes', unit: 'ms', value: milliseconds },
    { what: 'find a leader', unit: 'us', value: lookup },
  ];
}

/** Measures all costs. */
export function measureSlopes(): Slope[] {
  const decisions = [
    [100, 10],
    [1_000, 10],
    [1_000, 100],
    [10_000, 100],
  ].map(([waiting = 0, engines = 0]) => ({
    what: `one decision, ${waiting} calls waiting, ${engines} engines`,
    unit: 'us',
    value: measureDecision(waiting, engines),
  }));
  return [...decisions, ...measureMessages(), ...measurePrograms(20_000), ...measureLookups()];
}
