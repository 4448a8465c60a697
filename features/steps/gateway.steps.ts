/** Steps over real sockets: a local cluster, an unchanged OpenAI client, the operators' client. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import OpenAI from 'openai';
import { request } from 'undici';
import { LAKESHORE } from '../../src/bench/deployments.js';
import {
  LOCAL_OPERATOR_KEY,
  localKeyOf,
  startLocalCluster,
} from '../../src/bench/local-cluster.js';
import type { LocalCluster } from '../../src/bench/local-cluster.js';
import { digestConversation } from '../../src/model/chat.js';

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly headers: Record<string, unknown>;
}

interface GatewayWorld {
  cluster?: LocalCluster;
  answers?: Answer[];
  texts?: string[];
}

const MODEL = 'catalog-minds';

Given('a local cluster of three nodes', async function (this: GatewayWorld) {
  this.cluster = await startLocalCluster({ deployment: LAKESHORE, seed: 1 });
  this.answers = [];
  this.texts = [];
});

After(async function (this: GatewayWorld) {
  const { cluster } = this;
  delete this.cluster;
  await cluster?.stop();
});

function urlOf(world: GatewayWorld, node: number): string {
  return world.cluster!.urls[node - 1]!;
}

async function send(
  world: GatewayWorld,
  node: number,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  options: { key?: string; body?: string; headers?: Record<string, string> } = {},
): Promise<Answer> {
  const { key = localKeyOf('brandvold'), body, headers = {} } = options;
  const response = await request(urlOf(world, node) + path, {
    method,
    headers: {
      'content-type': 'application/json',
      ...(key === '' ? {} : { authorization: `Bearer ${key}` }),
      ...headers,
    },
    ...(body === undefined ? {} : { body }),
  });
  const text = await response.body.text();
  const answer: Answer = {
    status: response.statusCode,
    body: JSON.parse(text === '' ? '{}' : text) as Record<string, unknown>,
    headers: response.headers,
  };
  world.answers!.push(answer);
  return answer;
}

function chatBody(content: string): string {
  const messages = [{ role: 'user', content }];
  return JSON.stringify({ model: MODEL, messages, max_tokens: 24 });
}

async function chat(
  world: GatewayWorld,
  node: number,
  program: string,
  sequence: number,
  content: string,
): Promise<Answer> {
  const headers = { 'ivyloom-program': program, 'ivyloom-sequence': String(sequence) };
  return send(world, node, 'POST', '/v1/chat/completions', { body: chatBody(content), headers });
}

function textOf(answer: Answer): string {
  const choices = answer.body['choices'] as { message: { content: string } }[];
  return choices[0]!.message.content;
}

When(
  'the openai client asks {string} on node {int}',
  async function (this: GatewayWorld, content: string, node: number) {
    const client = new OpenAI({
      apiKey: localKeyOf('brandvold'),
      baseURL: `${urlOf(this, node)}/v1`,
    });
    const messages = [{ role: 'user' as const, content }];
    const whole = await client.chat.completions.create({ model: MODEL, messages, max_tokens: 24 });
    this.texts!.push(whole.choices[0]!.message.content!);
    const stream = await client.chat.completions.create({
      model: MODEL,
      messages,
      max_tokens: 24,
      stream: true,
    });
    let text = '';
    for await (const chunk of stream) {
      text += chunk.choices[0]?.delta.content ?? '';
    }
    this.texts!.push(text);
  },
);

Then('the whole and the streamed answer are the same', function (this: GatewayWorld) {
  const [whole, streamed] = this.texts!;
  assert.ok(whole!.length > 20);
  assert.equal(streamed, whole);
});

When(
  'program {string} asks turn {int} on node {int}',
  async function (this: GatewayWorld, program: string, turn: number, node: number) {
    const answer = await chat(this, node, program, turn, `turn ${turn} of ${program}`);
    assert.equal(answer.status, 200, JSON.stringify(answer.body));
    this.texts!.push(textOf(answer));
  },
);

When('node {int} is killed', function (this: GatewayWorld, node: number) {
  this.cluster!.daemons[node - 1]!.abort();
});

Then(
  'the history of {string} read on node {int} has {int} messages and its digest',
  async function (this: GatewayWorld, program: string, node: number, count: number) {
    const { body } = await send(this, node, 'GET', `/v1/programs/${program}/history`);
    const history = body['history'] as Parameters<typeof digestConversation>[0];
    assert.equal(history.length, count, JSON.stringify(body));
    assert.equal(digestConversation(history), body['historyDigest']);
    const answers = history.filter((message) => message.role === 'assistant');
    const texts = this.texts!.slice(-answers.length);
    assert.deepEqual(
      answers.map((message) => message.content),
      texts,
    );
  },
);

When(
  'programs {string} and {string} each ask {int} turns at the same time',
  async function (this: GatewayWorld, first: string, second: string, turns: number) {
    const run = async (program: string, offset: number): Promise<void> => {
      for (let turn = 1; turn <= turns; turn += 1) {
        const node = ((turn + offset) % 3) + 1;
        const answer = await chat(this, node, program, turn, `${program} ${turn}`);
        assert.equal(answer.status, 200);
      }
    };
    await Promise.all([run(first, 0), run(second, 1)]);
  },
);

Then(
  'the histories of {string} and {string} hold only their own turns',
  async function (this: GatewayWorld, first: string, second: string) {
    for (const program of [first, second]) {
      const { body } = await send(this, 1, 'GET', `/v1/programs/${program}/history`);
      const history = body['history'] as { role: string; content: string }[];
      const asked = history.filter((message) => message.role === 'user');
      assert.ok(asked.length > 0);
      assert.ok(asked.every((message) => message.content.startsWith(`${program} `)));
    }
  },
);

When(
  'a caller sends {string} with body {string}',
  async function (this: GatewayWorld, route: string, body: string) {
    const [method = 'GET', path = '/'] = route.split(' ');
    const oversized = body === 'OVERSIZED' ? chatBody('x'.repeat(9 * 1024 * 1024)) : body;
    const text = oversized === 'CHAT' ? chatBody('hello') : oversized;
    await send(this, 1, method as 'GET', path, { ...(text === '' ? {} : { body: text }) });
  },
);

When(
  'a caller with key {string} sends a chat call with header {string} = {string}',
  async function (this: GatewayWorld, key: string, header: string, value: string) {
    const headers = header === '' ? {} : { [header]: value };
    await send(this, 1, 'POST', '/v1/chat/completions', {
      key,
      body: chatBody('hello'),
      headers,
    });
  },
);

Then(
  'the answer has status {int}, title {string} and verdict {string}',
  function (this: GatewayWorld, status: number, title: string, verdict: string) {
    const answer = this.answers![this.answers!.length - 1]!;
    assert.equal(answer.status, status, JSON.stringify(answer.body));
    assert.equal(answer.body['title'], title);
    assert.equal(answer.body['verdict'], verdict);
    assert.equal(answer.headers['content-type'], 'application/problem+json');
  },
);

When(
  'tool call {string} is sent {int} times with idempotency key {string}',
  async function (this: GatewayWorld, payload: string, times: number, key: string) {
    for (let index = 0; index < times; index += 1) {
      await send(this, (index % 3) + 1, 'POST', '/v1/services/order-desk/calls', {
        body: payload,
        headers: { 'idempotency-key': key },
      });
    }
  },
);

Then('every answer is the same and the tool ran once', function (this: GatewayWorld) {
  const bodies = this.answers!.map((answer) => JSON.stringify(answer.body));
  assert.equal(new Set(bodies).size, 1, bodies.join('\n'));
  const ran = this.cluster!.backEnds.flatMap((backEnd) => backEnd.executions);
  assert.equal(ran.filter((execution) => execution.service === 'order-desk').length, 1);
});

When(
  'the call of the last answer is looked up on node {int}',
  async function (this: GatewayWorld, node: number) {
    const last = this.answers![this.answers!.length - 1]!;
    const call = String(last.headers['ivyloom-call']);
    const found = await send(this, node, 'GET', `/v1/calls/${call}`);
    assert.equal(found.status, 200, JSON.stringify(found.body));
    assert.equal(found.body['state'], 'answered');
    assert.deepEqual(JSON.parse(String(found.body['text'])), last.body);
  },
);

When(
  'the operator runs {string} on node {int}',
  async function (this: GatewayWorld, statement: string, node: number) {
    await send(this, node, 'POST', '/v1/operator/statements', {
      key: LOCAL_OPERATOR_KEY,
      body: JSON.stringify({ statement }),
    });
  },
);

Then('the statement answers {int} rows', function (this: GatewayWorld, count: number) {
  const { status, body } = this.answers![this.answers!.length - 1]!;
  assert.equal(status, 200, JSON.stringify(body));
  assert.equal((body['rows'] as unknown[]).length, count, JSON.stringify(body));
  assert.deepEqual(body['unreachable'], []);
});

Then('the change is in force on {int} nodes', function (this: GatewayWorld, count: number) {
  const { status, body } = this.answers![this.answers!.length - 1]!;
  assert.equal(status, 200, JSON.stringify(body));
  const inForce = body['inForce'] as { acknowledged: number; missing: string[] };
  assert.equal(inForce.acknowledged, count);
  assert.deepEqual(inForce.missing, []);
});
