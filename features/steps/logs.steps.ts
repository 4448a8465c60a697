/** Steps about logs: what they explain, and that writing them never blocks. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { Given, Then, When } from '@cucumber/cucumber';
import { BoundedWriter, MAXIMUM_WAITING_BYTES } from '../../src/telemetry/bounded-writer.js';
import { explainRequest } from '../../src/telemetry/explain-request.js';
import { parseLogLine } from '../../src/telemetry/log-lines.js';
import type { LogLine } from '../../src/telemetry/log-lines.js';

interface World {
  lines?: LogLine[];
  sentences?: string[];
  writer?: BoundedWriter;
  written?: string[];
  pending?: (() => void)[];
  stopped?: boolean;
}

function line(time: number, node: string, event: string, fields: Record<string, unknown>): string {
  const context = { application: 'ivyloom', node, zone: 'z', event, logLevel: 30, ...fields };
  return `12.5 ${node} ${JSON.stringify({ context, message: 'said', time, version: '2.0.0' })}`;
}

Given(
  'logs of two nodes, mixed, with a request that failed at one runner and was answered by another',
  function (this: World) {
    const end = { request: 'q1', outcome: 'answered', status: 200, runner: 'b', tries: 2 };
    const texts = [
      line(30, 'n1', 'relay.end', end),
      'not a line of a log',
      line(20, 'n1', 'runner.distrusted', { runner: 'a', reason: 'gone' }),
      line(25, 'n2', 'runner.distrusted', { runner: 'a', reason: 'elsewhere' }),
      line(10, 'n1', 'relay.try', { request: 'q1', runner: 'a', tag: 'NeverSent', tries: 1 }),
      line(11, 'n2', 'relay.try', { request: 'q2', runner: 'a', tag: 'NeverSent', tries: 1 }),
    ];
    this.lines = texts.flatMap((text) => parseLogLine(text) ?? []);
  },
);

When('the request is explained', function (this: World) {
  this.sentences = explainRequest(this.lines!, 'q1');
});

When('another request is explained', function (this: World) {
  this.sentences = explainRequest(this.lines!, 'q9');
});

Then(
  'the sentences name, in order, the failed try, the belief about its runner and the answer',
  function (this: World) {
    assert.equal(this.sentences!.length, 3);
    assert.match(this.sentences![0]!, /n1: try 1 at runner a ended .* as NeverSent/);
    assert.match(this.sentences![1]!, /n1: said\. \(runner a\)/);
    assert.match(this.sentences![2]!, /n1: answered with 200 by runner b/);
  },
);

Then('nothing is said', function (this: World) {
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

Then('the bytes that wait are bounded and the dropped lines are counted', function (this: World) {
  const most = Math.ceil(MAXIMUM_WAITING_BYTES / 90);
  assert.ok(this.writer!.droppedLines >= 100_000 - most);
  assert.equal(this.pending!.length, 1);
});

When('the reader reads again', async function (this: World) {
  this.stopped = false;
  this.pending!.forEach((finish) => finish());
  for (let look = 0; look < 200 && !this.written!.join('').includes('dropped'); look += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
});

Then('it is told how many lines were dropped', function (this: World) {
  const told = this.written!.join('')
    .split('\n')
    .find((text) => text.includes('dropped'));
  assert.equal((JSON.parse(told!) as { dropped: number }).dropped, this.writer!.droppedLines);
});

/** All matches of a pattern's first group in the sources under some folders. */
function namesIn(folders: readonly string[], pattern: RegExp): Set<string> {
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
  const events = namesIn(['src', 'platform'], /event: '([a-zA-Z]+\.[a-zA-Z]+)'/g);
  assert.deepEqual(listed(/^\| `([a-z]+\.[a-zA-Z]+)`/gm), events);
  const metrics = namesIn(['src/relay', 'platform'], /['`](ivyloom_[a-z_]+)/g);
  assert.deepEqual(listed(/^\| `(ivyloom_[a-z_]+)`/gm), metrics);
});
