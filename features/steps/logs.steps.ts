/** Steps about logs: explaining requests and programs from them, and writing them without blocking. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Given, Then, When } from '@cucumber/cucumber';
import type { DataTable } from '@cucumber/cucumber';
import fc from 'fast-check';
import { BoundedWriter, MAXIMUM_QUEUED_BYTES } from '../../src/telemetry/bounded-writer.js';
import { explainRequest } from '../../src/telemetry/explain-request.js';
import { parseLogLine } from '../../src/telemetry/log-lines.js';
import type { LogLine } from '../../src/telemetry/log-lines.js';
import { tracePrograms } from '../../src/telemetry/program-traces.js';
import type { ProgramTrace } from '../../src/telemetry/program-traces.js';
import {
  lossRows,
  lossWindows,
  splitTime,
  TIME_CAUSES,
} from '../../src/telemetry/report-losses.js';
import type { TimeCause } from '../../src/telemetry/report-losses.js';

interface World {
  lines?: LogLine[];
  sentences?: string[];
  writer?: BoundedWriter;
  written?: string[];
  pending?: (() => void)[];
  stopped?: boolean;
  programs?: ProgramTrace[];
}

function createLogText(
  time: number,
  node: string,
  event: string,
  fields: Record<string, unknown>,
): string {
  const context = { application: 'ivyloom', node, zone: 'z', event, logLevel: 30, ...fields };
  return `12.5 ${node} ${JSON.stringify({ context, message: 'said', time, version: '2.0.0' })}`;
}

Given(
  'interleaved logs of two nodes, with a request that failed at one runner and was answered by another',
  function (this: World) {
    const end = { request: 'q1', outcome: 'answered', status: 200, runner: 'b', tries: 2 };
    const texts = [
      createLogText(30, 'n1', 'relay.end', end),
      'not a line of a log',
      createLogText(20, 'n1', 'runner.distrusted', { runner: 'a', reason: 'gone' }),
      createLogText(25, 'n2', 'runner.distrusted', { runner: 'a', reason: 'elsewhere' }),
      createLogText(10, 'n1', 'relay.try', {
        request: 'q1',
        runner: 'a',
        tag: 'NeverSent',
        tries: 1,
      }),
      createLogText(11, 'n2', 'relay.try', {
        request: 'q2',
        runner: 'a',
        tag: 'NeverSent',
        tries: 1,
      }),
    ];
    this.lines = texts.flatMap((text) => parseLogLine(text) ?? []);
  },
);

Given(
  'a log of a request that was placed elsewhere since the rule {string} excluded its runner',
  function (this: World, rule: string) {
    const attempt = { request: 'q1', runner: 'a', tag: 'Excluded', detail: rule, tries: 1 };
    const end = { request: 'q1', outcome: 'answered', status: 200, runner: 'b', excludedBy: rule };
    const texts = [
      createLogText(10, 'n1', 'relay.try', attempt),
      createLogText(20, 'n1', 'relay.end', end),
    ];
    this.lines = texts.flatMap((text) => parseLogLine(text) ?? []);
  },
);

Then('the sentences name the rule of the attempt and of the placement', function (this: World) {
  assert.match(this.sentences![0]!, /runner a .* as Excluded \(evacuatedZone\)/);
  assert.match(this.sentences![1]!, /by runner b .*the rule evacuatedZone excluded other runners/);
});

Given('a log of a program that was not admitted', function (this: World) {
  const load = { ahead: 300, moreUrgent: 40, slots: 204, age: 120 };
  const time = { wait: 141, bearable: 97, left: 2_700, turns: 7, pause: 88 };
  const fields = { request: 'q1', cause: 'unbearable', ...load, ...time };
  const parsed = parseLogLine(createLogText(10, 'n1', 'relay.admission', fields));
  this.lines = parsed === undefined ? [] : [parsed];
});

Then(
  'the sentence names the expected wait, the limit, the requests ahead, the age of the load and the retry delay',
  function (this: World) {
    const [sentence, ...others] = this.sentences!;
    assert.deepEqual(others, []);
    assert.match(sentence!, /kept out.*141 ms.*97 bearable.*2700 ms.*7 turns/);
    assert.match(sentence!, /300 requests.*204 places.*40.*120 ms old.*88 ms/);
  },
);

Given('a log of a program for which the quota had no room', function (this: World) {
  const amounts = { tokens: 3.5, reserved: 40, needed: 14, share: 0.8, pause: 2_100 };
  const fields = { request: 'q1', tenant: 't', reason: 'noRoom', member: 'm2', ...amounts };
  const parsed = parseLogLine(createLogText(10, 'n1', 'relay.quota', fields));
  this.lines = parsed === undefined ? [] : [parsed];
});

Then(
  'the sentence names the tokens, the reserved and the needed requests, the share and the retry delay',
  function (this: World) {
    const [sentence, ...others] = this.sentences!;
    assert.deepEqual(others, []);
    assert.match(sentence!, /refused.*no room.*3.5 requests of tenant t.*needed 40.*program 14/);
    assert.match(sentence!, /member m2 held 0.8 .*2100 ms/);
  },
);

When('the request is explained', function (this: World) {
  this.sentences = explainRequest(this.lines!, 'q1');
});

When('another request is explained', function (this: World) {
  this.sentences = explainRequest(this.lines!, 'q9');
});

Then(
  'the sentences name, in order, the failed attempt, the state of its runner and the answer',
  function (this: World) {
    assert.equal(this.sentences!.length, 3);
    assert.match(this.sentences![0]!, /n1: try 1 at runner a ended .* as NeverSent/);
    assert.match(this.sentences![1]!, /n1: said\. \(runner a\)/);
    assert.match(this.sentences![2]!, /n1: answered with 200 by runner b/);
  },
);

Then('no sentence is returned', function (this: World) {
  assert.deepEqual(this.sentences, []);
});

Given('a writer whose reader has stopped reading', function (this: World) {
  const written: string[] = [];
  const pending: (() => void)[] = [];
  this.written = written;
  this.pending = pending;
  this.stopped = true;
  this.writer = new BoundedWriter((bytes, done) => {
    const finish = (): void => {
      written.push(bytes.toString());
      done(null, bytes.length);
    };
    if (this.stopped) {
      pending.push(finish);
    } else {
      setImmediate(finish);
    }
  });
});

When('{int} lines are written', function (this: World, count: number) {
  for (let index = 0; index < count; index += 1) {
    this.writer!.push(`line ${index} ${'x'.repeat(90)}`);
  }
});

Given('a writer with a flush delay', function (this: World) {
  this.written = [];
  this.pending = [];
  this.writer = new BoundedWriter(
    (bytes, done) => {
      this.written!.push(bytes.toString());
      done(null, bytes.length);
    },
    (flush) => this.pending!.push(flush),
  );
});

Then('nothing is written yet', function (this: World) {
  assert.deepEqual(this.written, []);
});

When('the flush delay has passed', function (this: World) {
  this.pending!.splice(0).forEach((writeNow) => writeNow());
});

Then('all {int} lines went out in one write', function (this: World, count: number) {
  assert.equal(this.written!.length, 1);
  assert.equal(this.written![0]!.trim().split('\n').length, count);
});

Then(
  '{int} lines are left to be written when the process exits',
  function (this: World, count: number) {
    assert.equal(this.writer!.takeQueued().toString().trim().split('\n').length, count);
  },
);

Then('the queued bytes are bounded and the dropped lines are counted', function (this: World) {
  const maximumQueuedLines = Math.ceil(MAXIMUM_QUEUED_BYTES / 90);
  assert.ok(this.writer!.droppedLines >= 100_000 - maximumQueuedLines);
  assert.equal(this.pending!.length, 1);
});

When('the reader resumes reading', async function (this: World) {
  this.stopped = false;
  this.pending!.forEach((finish) => finish());
  for (let check = 0; check < 200 && !this.written!.join('').includes('dropped'); check += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
});

Then('a line reports how many lines were dropped', function (this: World) {
  const dropReport = this.written!.join('')
    .split('\n')
    .find((text) => text.includes('dropped'));
  assert.equal((JSON.parse(dropReport!) as { dropped: number }).dropped, this.writer!.droppedLines);
});

/** The first groups of all matches of a pattern in the TypeScript sources under the folders. */
function collectNames(folders: readonly string[], pattern: RegExp): Set<string> {
  const names = new Set<string>();
  for (const folder of folders) {
    for (const file of readdirSync(folder, { recursive: true, encoding: 'utf8' })) {
      if (file.endsWith('.ts')) {
        const text = readFileSync(join(folder, file), 'utf8');
        [...text.matchAll(pattern)].forEach((match) => names.add(match[1]!));
      }
    }
  }
  return names;
}

Then('the events and metrics named in the code are those of its reference page', function () {
  const page = readFileSync('docs/reference/logs.md', 'utf8');
  const listed = (pattern: RegExp): Set<string> =>
    new Set([...page.matchAll(pattern)].map((match) => match[1]!));
  const events = collectNames(['src', 'platform'], /event: '([a-zA-Z]+\.[a-zA-Z]+)'/g);
  assert.deepEqual(listed(/^\| `([a-z]+\.[a-zA-Z]+)`/gm), events);
  const folders = ['src/mirror', 'src/relay', 'src/topology', 'platform'];
  const metrics = collectNames(folders, /['`](ivyloom_[a-z_]+)/g);
  assert.deepEqual(listed(/^\| `(ivyloom_[a-z_]+)`/gm), metrics);
});

/** Log line of the end of a request, with its times of arrival and end in milliseconds. */
function createEndText(
  program: string,
  from: number,
  to: number,
  fields: Record<string, unknown>,
): string {
  const defaults = { outcome: 'answered', status: 200, tries: 1, events: 0, reading: 0, unread: 0 };
  const times = { beforeDispatch: 0, firstByte: to - from, deadline: 1_000 };
  const end = { program, route: 'r', ...defaults, ...times, ...fields, total: to - from };
  return createLogText(to, 'n', 'relay.end', end);
}

Given(
  'logs of a program that was late, one that was in time and one whose last answer was lost',
  function (this: World) {
    const turn = { events: 5, beforeDispatch: 10, firstByte: 100, reading: 50, deadline: 500 };
    const refusal = { outcome: 'refused', status: 503, beforeDispatch: -1, firstByte: -1 };
    const texts = [
      createEndText('late', 0, 200, turn),
      // Two concurrent calls: the program waits for the longer one.
      createEndText('late', 250, 300, {}),
      createEndText('late', 250, 500, {}),
      createEndText('late', 570, 600, refusal),
      createEndText('timely', 0, 900, {}),
      createEndText('lost', 0, 100, {}),
      createEndText('lost', 100, 300, { outcome: 'left', status: undefined }),
    ];
    this.lines = texts.flatMap((text) => parseLogLine(text) ?? []);
    // A last answer of no duration follows the refusal, so that the program counts as late, not as failed.
    this.lines.push(parseLogLine(createEndText('late', 600, 600, {}))!);
  },
);

When('the losses are reported', function (this: World) {
  this.programs = tracePrograms(this.lines!);
});

Then('the late program spent these milliseconds', function (this: World, table: DataTable) {
  const late = this.programs!.find(({ outcome }) => outcome === 'late')!;
  const expected = Object.fromEntries(TIME_CAUSES.map((cause) => [cause, 0]));
  table.raw().forEach(([cause, milliseconds]) => {
    expected[cause as TimeCause] = Number(milliseconds);
  });
  assert.deepEqual(splitTime(late), expected);
});

Then(
  'of {int} programs {int} was in time, {int} late and {int} failed',
  function (this: World, all: number, timely: number, late: number, failed: number) {
    const rows = lossRows(this.programs!);
    const count = (outcome: string): number =>
      rows.filter((row) => row.outcome === outcome).reduce((sum, row) => sum + row.programs, 0);
    assert.deepEqual([count('in time'), count('late'), count('failed')], [timely, late, failed]);
    const [window] = lossWindows(this.programs!, 2);
    assert.deepEqual([window!.begun, window!.late, window!.failed], [all, late, failed]);
  },
);

Then("any program's parts add up to its time", function () {
  const request = fc.record({
    from: fc.nat(1_000),
    length: fc.nat(500),
    beforeDispatch: fc.integer({ min: -1, max: 100 }),
    firstByte: fc.integer({ min: -1, max: 300 }),
    reading: fc.nat(1_000),
    events: fc.nat(3),
    tries: fc.nat(3),
    outcome: fc.constantFrom('answered', 'refused', 'left', 'broken'),
  });
  fc.assert(
    fc.property(fc.array(request, { minLength: 1 }), (requests) => {
      const lines = requests.flatMap(({ from, length, ...fields }) => {
        const beforeDispatch = Math.min(fields.beforeDispatch, length);
        const firstByte =
          fields.firstByte < 0 ? -1 : Math.min(length, beforeDispatch + fields.firstByte);
        const times = { beforeDispatch, firstByte };
        return parseLogLine(createEndText('p', from, from + length, { ...fields, ...times })) ?? [];
      });
      const [program] = tracePrograms(lines);
      const split = splitTime(program!);
      const sum = TIME_CAUSES.reduce((total, cause) => total + split[cause], 0);
      assert.ok(Math.abs(sum - (program!.endedAt - program!.startedAt)) < 0.001);
      assert.ok(TIME_CAUSES.every((cause) => split[cause] >= 0));
    }),
  );
});
