// A change of the configuration that takes a key away, and that limits a tenant to the deployment's only region: the gateways
// refuse it as a whole and go on with the version before, for good. The key that was taken away stays valid.
import { Agent, request as httpRequest } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, runCase, sleep } from '../lib/deployment.mjs';
import { Runner } from '../lib/runner.mjs';

const HOST = 'filing.example';
const REGION = 'scot-central';
const ZONES = ['scot-central-a', 'scot-central-b', 'scot-central-c'];
const TIMEOUT_MILLISECONDS = 1_200;
/** Bounds of the site. */
const SITE_BOUNDS = {
  ...BOUNDS,
  ContactMs: 4000,
  AckMs: 6000,
  CatchUpS: 6,
  DrainMs: 3000,
  ConfigApplyMs: 3000,
  MaxStretchMs: 6000,
  RecoveryS: 15,
  PassMs: 200,
  StrictRevoke: true,
  RevokeMs: 5000,
  QuotaWindowS: 5,
  QuotaOvershoot: 0.1,
  QuotaSlack: 20,
};
const KEYS = { stays: 'key-that-stays', first: 'key-taken-first', second: 'key-taken-second' };
const ADDED = 'key-that-is-added';
const CLIENTS_PER_KEY = 2;
const FIRST_CHANGE_AT = 2_000;
const SECOND_CHANGE_AT = 10_000;
const PLAY_MILLISECONDS = 22_000;

function configuration(version, keys, tenantFields) {
  const route = { Host: HOST, TimeoutMs: 3000, TargetLatencyMs: 200 };
  return {
    Version: version,
    Routes: [
      {
        ...route,
        Name: 'status',
        PathPrefix: '/status/',
        Kind: 'idempotent',
        Service: 'register-app',
        Priority: 2,
        MaxAttempts: 2,
      },
      {
        ...route,
        Name: 'draft',
        PathPrefix: '/draft/',
        Kind: 'streaming',
        Service: 'assist-models',
        Priority: 0,
        MaxAttempts: 2,
        Retain: true,
        RetentionS: 60,
        Sticky: true,
        Resumable: false,
        TargetGapMs: 300,
      },
    ],
    Services: [
      { Name: 'register-app', HealthPath: '/healthz', MaxConnections: 110 },
      {
        Name: 'assist-models',
        HealthPath: '/healthz',
        MaxConnections: 160,
        Engine: { Slots: 6, KvCapacity: 64230, Stride: 25, Models: [{ Name: 'm' }] },
      },
    ],
    Tenants: [
      { Name: 'glen', ApiKeys: keys, Priority: 0, ...tenantFields },
      { Name: 'loch', ApiKeys: ['key-of-loch'], Priority: 0 },
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
  };
}

function send(deployment, gateway, agent, id, key) {
  return new Promise((done) => {
    const sentAt = deployment.now();
    const request = httpRequest({
      host: gateway.host,
      port: deployment.ports.front,
      method: 'GET',
      path: `/status/${id}`,
      agent,
      headers: {
        host: HOST,
        'request-id': id,
        'timeout-ms': String(TIMEOUT_MILLISECONDS),
        authorization: `Token ${KEYS[key] ?? ADDED}`,
      },
    });
    const finish = (outcome) => {
      clearTimeout(timer);
      const result = { id, key, gateway: gateway.name, sentAt, ...outcome };
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
    request.end();
  });
}

async function client(deployment, gateway, key, number, results, isOver) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 1; !isOver(); count += 1) {
    results.push(
      await send(deployment, gateway, agent, `${gateway.name}.${key}.${number}.${count}`, key),
    );
    await sleep(150 + Math.random() * 100);
  }
  agent.destroy();
}

const options = {
  zones: ZONES,
  region: REGION,
  bounds: SITE_BOUNDS,
  contracts: [
    'base',
    'drain',
    'config',
    'cost',
    'recover',
    'agent',
    'stream',
    'tenants',
    'places',
    'platform',
  ],
};

await runCase(dirname(fileURLToPath(import.meta.url)), options, async (deployment, hasTrouble) => {
  const runners = [];
  for (let number = 0; number < 4; number += 1) {
    const service = number < 2 ? 'register-app' : 'assist-models';
    const runner = new Runner({
      id: `i-${number + 1}`,
      deployment,
      slots: 6,
      service,
      work: () => 25,
      isStream: () => service === 'assist-models',
    });
    await runner.listen(deployment.extraHost(number), deployment.ports.runner);
    runners.push(runner);
  }
  deployment.store.put('op/config', configuration(7, Object.values(KEYS)));
  let sequence = 0;
  const beat = () =>
    runners.forEach(({ id, address, service }, number) =>
      deployment.store.put(`servers/${id}`, {
        Service: service,
        Address: address,
        Zone: ZONES[number % ZONES.length],
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
  await sleep(SITE_BOUNDS.ContactMs);
  deployment.note('traffic starts');
  const startedAt = deployment.now();
  const results = [];
  let isOver = false;
  const clients = deployment.gateways.flatMap((gateway) =>
    Object.keys(KEYS).flatMap((key) =>
      Array.from({ length: CLIENTS_PER_KEY }, (_, number) =>
        client(deployment, gateway, key, number, results, () => isOver),
      ),
    ),
  );
  const until = (milliseconds) => sleep(Math.max(0, startedAt + milliseconds - deployment.now()));
  const takenAt = {};
  await until(FIRST_CHANGE_AT);
  deployment.store.put('op/config', configuration(11, [KEYS.stays, KEYS.second]));
  takenAt.first = deployment.now();
  deployment.note('version 11 is acknowledged: it takes the first key away');
  await until(SECOND_CHANGE_AT);
  if (hasTrouble) {
    const fields = { AllowedRegions: [REGION] };
    deployment.store.put('op/config', configuration(16, [KEYS.stays, ADDED], fields));
    takenAt.second = deployment.now();
    deployment.note(
      'version 16 is acknowledged: it takes the second key away, adds one, and sets AllowedRegions',
      fields,
    );
  }
  if (hasTrouble) {
    // Its requests are sent later than `ConfigApplyMs` after the acknowledgement.
    await until(SECOND_CHANGE_AT + SITE_BOUNDS.ConfigApplyMs + 200);
    deployment.gateways.forEach((gateway) =>
      clients.push(client(deployment, gateway, 'added', 0, results, () => isOver)),
    );
  }
  await until(PLAY_MILLISECONDS);
  isOver = true;
  await Promise.all(clients);

  const ran = new Set(runners.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const reasons = [];
  for (const [key, at] of Object.entries(takenAt)) {
    const late = results.filter(
      (result) => result.key === key && result.sentAt > at + SITE_BOUNDS.RevokeMs,
    );
    const run = late.filter(({ id }) => ran.has(id));
    const fields = { key, takenAt: at, sentAfterBound: late.length, run: run.length };
    deployment.note('judged', fields);
    console.log(
      `${key} key: ${late.length} requests sent after the bound, ${run.length} of them run`,
    );
    if (late.length === 0) {
      throw new Error('no request was sent after the bound');
    }
    if (run.length > 0) {
      reasons.push(
        `CONFIG: ${run.length} requests run although sent ${SITE_BOUNDS.RevokeMs} ms after their key was gone`,
      );
    }
  }
  const added = results.filter(({ key }) => key === 'added');
  if (added.length > 0) {
    const denied = added.filter(({ status }) => status === 401);
    deployment.note('judged', {
      key: 'added',
      sentAfterBound: added.length,
      denied: denied.length,
    });
    console.log(
      `added key: ${added.length} requests sent after the bound, ${denied.length} of them denied`,
    );
    if (denied.length > 5 + results.length / 500) {
      reasons.push(`CONFIG, DENIED: ${denied.length} requests with a key that is there got 401`);
    }
  }
  const valid = results.filter(({ key }) => key === 'stays');
  const answered = valid.filter(({ status }) => status === 200).length;
  console.log(`${valid.length} requests with the key that stays, ${answered} answered`);
  if (answered < valid.length * 0.9) {
    throw new Error('requests with the valid key were not answered');
  }
  return reasons;
});
