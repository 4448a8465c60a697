// One wrong byte in the status line of a runner's answer ends the gateway's process, and with it all requests that it has
// passed on to sound runners.
import { Agent, request as httpRequest } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, runCase, sleep } from '../lib/deployment.mjs';
import { Runner } from '../lib/runner.mjs';

const RUNNERS = 4;
/** The site's doses of `garble`: a share of the runners (.35) spoils a share of its answers (.02) for 5.5 s. */
const FAULTY_RUNNERS = 1;
const SPOILED_EACH = 50;
const TROUBLE_MILLISECONDS = 5_500;
const CLIENTS_PER_GATEWAY = 10;
const PLAY_MILLISECONDS = 14_000;
const TROUBLE_AT = 4_000;
const TIMEOUT_MILLISECONDS = 2_000;
const HOST = 'ficu95.example';
/** The rule allows three. */
const ALLOWED = 3;

/** The answer with one bit of one byte wrong, which makes the O of the reason a control character. */
function spoiled(run, headers) {
  const body = `answer to ${run.id}`;
  const lines = Object.entries({ ...headers, 'content-length': body.length, connection: 'close' });
  const head = `HTTP/1.1 200 OK\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}`;
  const bytes = Buffer.from(`${head}\r\n${body}`);
  bytes[bytes.indexOf('OK')] ^= 0x40;
  return bytes;
}

function configuration() {
  const route = { Host: HOST, TargetLatencyMs: 200, Priority: 2, Service: 'notify-app' };
  const times = { TimeoutMs: TIMEOUT_MILLISECONDS };
  return {
    Version: 7,
    Routes: [
      {
        ...route,
        ...times,
        Name: 'alert',
        PathPrefix: '/alert/',
        Kind: 'idempotent',
        MaxAttempts: 2,
      },
      {
        ...route,
        ...times,
        Name: 'digest',
        PathPrefix: '/digest/',
        Kind: 'non_idempotent',
        MaxAttempts: 1,
      },
    ],
    Services: [{ Name: 'notify-app', HealthPath: '/healthz', MaxConnections: 110 }],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
  };
}

/** Sends one request; resolves with what the client sees. */
function send(deployment, gateway, agent, id, isRepeatable) {
  return new Promise((done) => {
    const sentAt = deployment.now();
    const path = isRepeatable ? `/alert/${id}` : `/digest/${id}`;
    const request = httpRequest({
      host: gateway.host,
      port: deployment.ports.front,
      method: isRepeatable ? 'GET' : 'POST',
      path,
      agent,
      headers: { host: HOST, 'request-id': id, 'timeout-ms': String(TIMEOUT_MILLISECONDS) },
    });
    const finish = (outcome) => {
      clearTimeout(timer);
      const isKept = request.reusedSocket;
      const result = { id, path, gateway: gateway.name, sentAt, isKept, ...outcome };
      deployment.note('client', result);
      done(result);
    };
    const timer = setTimeout(
      () => request.destroy(new Error('deadline')),
      TIMEOUT_MILLISECONDS + 500,
    );
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => finish({ status: response.statusCode }));
      response.on('error', () => finish({ status: response.statusCode, isCut: true }));
    });
    request.on('error', (error) => finish({ closed: error.code ?? error.message }));
    request.end(isRepeatable ? undefined : 'x'.repeat(600));
  });
}

async function client(deployment, gateway, number, results, isOver) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 1; !isOver(); count += 1) {
    const id = `${gateway.name}.${number}.${count}`;
    const result = await send(deployment, gateway, agent, id, (number + count) % 2 === 0);
    results.push(result);
    await sleep(result.closed === undefined ? 5 + Math.random() * 20 : 100);
  }
  agent.destroy();
}

await runCase(dirname(fileURLToPath(import.meta.url)), {}, async (deployment, hasTrouble) => {
  let isGarbling = false;
  const spoiledIds = new Set();
  const runners = [];
  for (let number = 0; number < RUNNERS; number += 1) {
    let answers = 0;
    const runner = new Runner({
      id: `i-${number + 1}`,
      deployment,
      slots: 6,
      work: () => 30 + Math.random() * 60,
      answer: (run, response) => {
        const isFaulty = number < FAULTY_RUNNERS && isGarbling;
        answers += isFaulty ? 1 : 0;
        if (!isFaulty || answers % SPOILED_EACH !== 1) {
          return false;
        }
        spoiledIds.add(run.id);
        deployment.note('spoiled answer', { runner: runner.id, request: run.id });
        response.socket.end(spoiled(run, runner.headers(run)));
        return true;
      },
    });
    await runner.listen(deployment.extraHost(number), deployment.ports.runner);
    runners.push(runner);
  }
  deployment.store.put('op/config', configuration());
  let sequence = 0;
  const beat = () =>
    runners.forEach(({ id, address }, number) =>
      deployment.store.put(`servers/${id}`, {
        Service: 'notify-app',
        Address: address,
        Zone: deployment.zones[number % deployment.zones.length],
        Version: 'v1',
        Slots: 6,
        State: 'ready',
        ColdRemainingMs: 0,
        Seq: (sequence += 1),
      }),
    );
  beat();
  const beats = setInterval(beat, 1_200);
  deployment.onClose(() => clearInterval(beats));
  await deployment.whenReady();
  // All machines are in touch before the traffic starts.
  await sleep(BOUNDS.ContactMs);
  deployment.note('traffic starts');
  const results = [];
  let isOver = false;
  const clients = deployment.gateways.flatMap((gateway) =>
    Array.from({ length: CLIENTS_PER_GATEWAY }, (_, number) =>
      client(deployment, gateway, number, results, () => isOver),
    ),
  );
  await sleep(TROUBLE_AT);
  isGarbling = hasTrouble;
  deployment.note('garble begins', { hasTrouble });
  await sleep(TROUBLE_MILLISECONDS);
  isGarbling = false;
  deployment.note('garble ends', { spoiled: spoiledIds.size });
  await sleep(PLAY_MILLISECONDS - TROUBLE_AT - TROUBLE_MILLISECONDS);
  isOver = true;
  await Promise.all(clients);

  const runAt = new Map();
  runners.forEach((runner, number) =>
    runner.runs.forEach(({ id }) => runAt.set(id, number < FAULTY_RUNNERS ? 'faulty' : 'sound')),
  );
  const reasons = [];
  for (const gateway of deployment.gateways) {
    const lost = results.filter(
      ({ gateway: name, id, isKept, closed }) =>
        name === gateway.name && isKept && closed !== undefined && runAt.get(id) === 'sound',
    );
    deployment.note('judged', {
      machine: gateway.name,
      requests: results.filter(({ gateway: name }) => name === gateway.name).length,
      endedByItself: gateway.exits.length,
      keptPassedToSoundRunnerAndClosed: lost.length,
      notRepeatable: lost.filter(({ path }) => path.startsWith('/digest/')).length,
    });
    console.log(
      `${gateway.name}: ended by itself ${gateway.exits.length} times; ${lost.length} requests of kept connections, at ` +
        'sound runners, were closed without an answer',
    );
    if (lost.length > ALLOWED) {
      reasons.push(
        `LOST at ${gateway.name}: ${lost.length} closed without an answer, ${ALLOWED} allowed`,
      );
    }
  }
  const answered = results.filter(({ status }) => status === 200).length;
  deployment.note('sum', { requests: results.length, answered, spoiled: spoiledIds.size });
  console.log(
    `${results.length} requests, ${answered} answered, ${spoiledIds.size} answers spoiled`,
  );
  if (answered < results.length / 4) {
    throw new Error('hardly any request was answered');
  }
  return reasons;
});
