// A change of the configuration adds a tenant whose name holds a typographic sign (U+2013): each request of that tenant ends the
// gateway's process, and with it all requests of other tenants that it has passed on to sound runners.
import { Agent, request as httpRequest } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { BOUNDS, runCase, sleep } from '../lib/deployment.mjs';
import { Runner } from '../lib/runner.mjs';

const RUNNERS = 4;
const HOST = 'parking.example';
const ZONES = ['bne', 'ool', 'cns', 'tsv'];
const TIMEOUT_MILLISECONDS = 2_009;
const CLIENTS_PER_GATEWAY = 10;
/** Requests of the new tenant go to the gateways in turn. */
const NEW_TENANT_PAUSE_MILLISECONDS = 1_500;
const CHANGE_AT = 3_000;
const PLAY_MILLISECONDS = 18_000;
/** The rule allows three. */
const ALLOWED = 3;
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
const KEYS = { 'Long Reach Parking': 'key-of-long-reach' };
const NEW_KEY = 'key-of-the-new-tenant';

function configuration(version, newName) {
  const route = { Host: HOST, TargetLatencyMs: 200, Priority: 2, Service: 'park-app' };
  const times = { TimeoutMs: TIMEOUT_MILLISECONDS };
  const tenants = Object.entries(KEYS).map(([Name, key]) => ({
    Name,
    ApiKeys: [key],
    Priority: 0,
  }));
  const added = newName === undefined ? [] : [{ Name: newName, ApiKeys: [NEW_KEY], Priority: 0 }];
  return {
    Version: version,
    Routes: [
      {
        ...route,
        ...times,
        Name: 'gate',
        PathPrefix: '/gate/',
        Kind: 'idempotent',
        MaxAttempts: 2,
      },
      {
        ...route,
        ...times,
        Name: 'refund',
        PathPrefix: '/refund/',
        Kind: 'non_idempotent',
        MaxAttempts: 1,
      },
    ],
    Services: [{ Name: 'park-app', HealthPath: '/healthz', MaxConnections: 370 }],
    Tenants: [...tenants, ...added],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
  };
}

/** Sends one request; resolves with what the client sees. */
function send(deployment, gateway, agent, id, isRepeatable, key, tenant) {
  return new Promise((done) => {
    const sentAt = deployment.now();
    const path = isRepeatable ? `/gate/${id}` : `/refund/${id}`;
    const request = httpRequest({
      host: gateway.host,
      port: deployment.ports.front,
      method: isRepeatable ? 'GET' : 'POST',
      path,
      agent,
      headers: {
        host: HOST,
        'request-id': id,
        'timeout-ms': String(TIMEOUT_MILLISECONDS),
        authorization: `Token ${key}`,
      },
    });
    const finish = (outcome) => {
      clearTimeout(timer);
      const isKept = request.reusedSocket;
      const result = { id, tenant, path, gateway: gateway.name, sentAt, isKept, ...outcome };
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
  const [[tenant, key]] = Object.entries(KEYS);
  for (let count = 1; !isOver(); count += 1) {
    const id = `${gateway.name}.${number}.${count}`;
    const result = await send(
      deployment,
      gateway,
      agent,
      id,
      (number + count) % 2 === 0,
      key,
      tenant,
    );
    results.push(result);
    await sleep(result.closed === undefined ? 5 + Math.random() * 20 : 100);
  }
  agent.destroy();
}

/** The clients of the new tenant: one request at a time, to one gateway after the other. */
async function newTenant(deployment, results, isOver) {
  for (let count = 1; !isOver(); count += 1) {
    const gateway = deployment.gateways[count % deployment.gateways.length];
    const id = `new.${count}`;
    results.push(await send(deployment, gateway, false, id, true, NEW_KEY, 'new'));
    await sleep(NEW_TENANT_PAUSE_MILLISECONDS);
  }
}

const options = {
  zones: ZONES,
  region: 'qld',
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
    'quota',
    'platform',
  ],
};

await runCase(dirname(fileURLToPath(import.meta.url)), options, async (deployment, hasTrouble) => {
  const runners = [];
  for (let number = 0; number < RUNNERS; number += 1) {
    const runner = new Runner({
      id: `i-${number + 1}`,
      deployment,
      slots: 6,
      work: () => 30 + Math.random() * 60,
    });
    await runner.listen(deployment.extraHost(number), deployment.ports.runner);
    runners.push(runner);
  }
  deployment.store.put('op/config', configuration(7));
  let sequence = 0;
  const beat = () =>
    runners.forEach(({ id, address }, number) =>
      deployment.store.put(`servers/${id}`, {
        Service: 'park-app',
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
  // All machines are in touch before the traffic starts.
  await sleep(SITE_BOUNDS.ContactMs);
  deployment.note('traffic starts');
  const results = [];
  let isOver = false;
  const clients = deployment.gateways.flatMap((gateway) =>
    Array.from({ length: CLIENTS_PER_GATEWAY }, (_, number) =>
      client(deployment, gateway, number, results, () => isOver),
    ),
  );
  await sleep(CHANGE_AT);
  // Without the trouble the same tenant comes under a name of ASCII signs.
  const name = hasTrouble ? 'Cairns Airport \u2013 Long Stay' : 'Cairns Airport - Long Stay';
  deployment.store.put('op/config', configuration(11, name));
  deployment.note('version 11 is acknowledged: it adds a tenant', { name });
  await sleep(SITE_BOUNDS.ConfigApplyMs);
  clients.push(newTenant(deployment, results, () => isOver));
  await sleep(PLAY_MILLISECONDS - CHANGE_AT - SITE_BOUNDS.ConfigApplyMs);
  isOver = true;
  await Promise.all(clients);

  const ran = new Set(runners.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const reasons = [];
  for (const gateway of deployment.gateways) {
    const own = results.filter((result) => result.gateway === gateway.name);
    const lost = own.filter(
      ({ id, isKept, closed }) => isKept && closed !== undefined && ran.has(id),
    );
    deployment.note('judged', {
      machine: gateway.name,
      requests: own.length,
      endedByItself: gateway.exits.length,
      keptPassedToSoundRunnerAndClosed: lost.length,
      notRepeatable: lost.filter(({ path }) => path.startsWith('/refund/')).length,
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
  const ofNew = results.filter(({ tenant }) => tenant === 'new');
  const answeredNew = ofNew.filter(({ status }) => status === 200).length;
  const answered = results.filter(({ status }) => status === 200).length;
  deployment.note('sum', {
    requests: results.length,
    answered,
    ofNewTenant: ofNew.length,
    answeredNew,
  });
  console.log(
    `${results.length} requests, ${answered} answered; ${ofNew.length} of the new tenant, ${answeredNew} answered`,
  );
  if (answered < results.length / 4) {
    throw new Error('hardly any request was answered');
  }
  return reasons;
});
