/** Steps that run the checks of the fault soak against a fake gateway with an injected fault. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { PLATFORM_HEADER_NAMES } from '../../platform/header-names.js';
import { ConfigurationCheck } from '../../soak/configuration-check.js';
import { checkConnections } from '../../soak/connection-check.js';
import { ConnectionClient } from '../../soak/connection-client.js';
import type { ConnectionClientContext } from '../../soak/connection-client.js';
import { drawRequest } from '../../soak/connection-requests.js';
import { EvacuationCheck, SOAK_GATEWAY_HEADER } from '../../soak/evacuation-check.js';
import { SOAK_PORTS } from '../../soak/platform-process.js';
import type { SentSignal } from '../../soak/platform-process.js';
import { PlannedStopCheck, RUNNERS } from '../../soak/planned-stop-check.js';
import { createCounts, SoakClient } from '../../soak/soak-client.js';
import type { SoakClientContext } from '../../soak/soak-client.js';
import { MINIMUM_RESUMPTIONS, StreamVersionCheck } from '../../soak/stream-version-check.js';
import { StandInStore } from '../../platform/stand-in/store-server.js';
import { slowReaderViolations } from '../../soak/slow-reading.js';
import { TenantCheck } from '../../soak/tenant-check.js';
import { RelayRunner } from '../../src/emulator/relay-runner.js';
import type { RunnerRun } from '../../src/emulator/relay-runner.js';
import { createRandom } from '../../src/runtime/random.js';
import { FaultyGateway } from '../support/faulty-gateway.js';
import type { GatewayFault } from '../support/faulty-gateway.js';

const HOST = '127.0.9.1';
const OTHER_HOST = '127.0.9.2';
const CLIENTS = 4;
/** Named or unnamed streams, with one version or several. */
const DUE_KINDS = 4;
/** Longest time in which enough resumptions are due, on a busy machine. */
const DUE_MILLISECONDS = 30_000;

interface World {
  faultyGateway?: FaultyGateway;
  soakRunner?: RelayRunner;
  violatedGuarantees?: Set<string>;
  check?: ConfigurationCheck;
}

After(function (this: World) {
  this.faultyGateway?.close();
});

Given('a fake gateway with the fault {string}', async function (this: World, fault: GatewayFault) {
  this.soakRunner = new RelayRunner({ id: 'runner', names: PLATFORM_HEADER_NAMES });
  this.faultyGateway = new FaultyGateway(fault, this.soakRunner);
  await this.faultyGateway.listen(HOST, SOAK_PORTS.front);
});

When('streams are resumed at it until enough resumptions were due', async function (this: World) {
  this.violatedGuarantees = new Set();
  const check = new StreamVersionCheck({
    random: createRandom(1),
    gatewayHosts: [HOST],
    zones: ['z1'],
    store: new StandInStore(),
    addressOf: (number) => `127.0.9.${number}`,
    isInContact: () => true,
    areReplicasInContact: () => true,
    areStreamsKnown: () => true,
    violate: (promise) => this.violatedGuarantees!.add(promise),
    releasesVersions: false,
  });
  await check.start();
  const until = performance.now() + DUE_MILLISECONDS;
  const hasEnough = (): boolean => {
    const kinds = Object.values(check.counts.dueBy);
    return kinds.length === DUE_KINDS && kinds.every(({ due }) => due >= MINIMUM_RESUMPTIONS);
  };
  await check.run(() => hasEnough() || performance.now() > until);
  assert.ok(hasEnough(), 'too few resumptions were due');
});

When(
  'clients of the soak send requests to it for {int} milliseconds',
  async function (this: World, milliseconds: number) {
    this.violatedGuarantees = new Set();
    const context: SoakClientContext = {
      random: createRandom(1),
      gatewayHosts: [HOST],
      runners: [this.soakRunner!],
      counts: createCounts(),
      violate: (promise) => this.violatedGuarantees!.add(promise),
    };
    const until = performance.now() + milliseconds;
    const clients = Array.from({ length: CLIENTS }, (_, index) =>
      new SoakClient(`c${index}`, context).run(() => performance.now() > until),
    );
    await Promise.all(clients);
    assert.ok(context.counts.sent > CLIENTS, 'the clients sent too few requests');
  },
);

When(
  'clients that keep their connections send requests to it for {int} milliseconds while it is stopped',
  async function (this: World, milliseconds: number) {
    this.violatedGuarantees = new Set();
    const violate = (promise: string): unknown => this.violatedGuarantees!.add(promise);
    const context: ConnectionClientContext = {
      random: createRandom(4),
      gatewayHosts: [HOST],
      requests: [],
      violate,
      connectionCount: 0,
    };
    const at = performance.now();
    const isOver = (): boolean => performance.now() > at + milliseconds;
    const clients = Array.from({ length: CLIENTS }, (_, index) =>
      new ConnectionClient(`k${index}`, context).run(isOver),
    );
    await Promise.all(clients);
    const runsOf = (id: string): RunnerRun[] =>
      this.soakRunner!.runs.filter((run) => run.requestId === id);
    const { requests, connectionCount } = context;
    const counts = checkConnections({ requests, connectionCount, runsOf, violate });
    const signalsTo = (): SentSignal[] => [{ name: 'SIGTERM', processId: 1, at }];
    new PlannedStopCheck({ signalsTo, runsOf, violate }).check(requests);
    assert.ok(counts.sent > CLIENTS && counts.connections > 1, 'the clients sent too few requests');
  },
);

When(
  /^a request that ran, sent (-?\d+) milliseconds after (SIGTERM|SIGHUP), is cut (-?\d+) milliseconds after it, and (.+)$/,
  function (
    this: World,
    sent: string,
    name: SentSignal['name'],
    cut: string,
    circumstance: string,
  ) {
    this.violatedGuarantees = new Set();
    const now = performance.now();
    const at = now - Number(cut);
    const place = { id: 'cut', host: HOST, connection: 1, behaviour: 'ahead' };
    const request = { ...drawRequest(createRandom(1), place), sentAt: at + Number(sent) };
    request.endedAt = now;
    request.isAbandoned = circumstance === 'its client had left';
    const { path, body, id: requestId } = request;
    const run: RunnerRun = {
      ...{ requestId, method: 'POST', path, body, headers: {} },
      behaviour: circumstance === 'its runner broke it off' ? 'cutOff' : 'answer',
      startedAt: request.sentAt + 1,
      answeredAt: undefined,
      clientDisconnected: true,
      disconnectedAt: now,
      isAnswered: false,
    };
    const check = new PlannedStopCheck({
      signalsTo: (host) => (host === HOST ? [{ name, processId: 1, at }] : []),
      runsOf: () => [run],
      violate: (promise) => this.violatedGuarantees!.add(promise),
    });
    const struck = /^(.+) (?:was|were) struck (\d+) milliseconds ago$/.exec(circumstance);
    if (struck !== null) {
      const until = now - Number(struck[2]);
      const targets: Record<string, string> = { 'its gateway': HOST, 'the runners': RUNNERS };
      check.disturb([targets[struck[1]!] ?? OTHER_HOST], until - 1)(until);
    }
    check.check([request]);
  },
);

Given(
  'a configuration change that added a route and dropped {int} others, acknowledged {int} milliseconds ago',
  function (this: World, droppedCount: number, age: number) {
    this.violatedGuarantees = new Set();
    this.check = new ConfigurationCheck({
      gatewayHosts: [HOST],
      violate: (promise) => this.violatedGuarantees!.add(promise),
    });
    const dropped = Array.from({ length: droppedCount }, (_, index) => `dropped-${index}`);
    this.check.acknowledge(2, 'added-2', dropped, performance.now() - age);
  },
);

Given(
  /^a change acknowledged 500 milliseconds ago that (drops|keeps) that route$/,
  function (this: World, drops: string) {
    const dropped = drops === 'drops' ? ['added-2'] : [];
    this.check!.acknowledge(3, 'added-3', dropped, performance.now() - 500);
  },
);

When(
  /^its configuration is looked at for (\d+) milliseconds while it is (in|out of) touch$/,
  async function (this: World, milliseconds: string, touch: string) {
    if (touch === 'out of') {
      this.check!.exempt([HOST]);
    }
    const until = performance.now() + Number(milliseconds);
    await this.check!.run(() => performance.now() > until);
  },
);

When(
  /^a request arrives in a zone evacuated (\d+) milliseconds ago, from a gateway that is (in|out of) touch$/,
  function (this: World, age: string, touch: string) {
    this.violatedGuarantees = new Set();
    const check = new EvacuationCheck({
      isInContact: () => touch === 'in',
      violate: (promise) => this.violatedGuarantees!.add(promise),
    });
    check.evacuate('z1', performance.now() - Number(age));
    check.noteArrival('z1', { [SOAK_GATEWAY_HEADER]: HOST });
    check.noteArrival('z2', { [SOAK_GATEWAY_HEADER]: HOST });
  },
);

When(
  'the tenant check runs for {int} milliseconds with a key that was revoked {int} milliseconds ago',
  async function (this: World, milliseconds: number, age: number) {
    this.violatedGuarantees = new Set();
    const check = new TenantCheck({
      random: createRandom(3),
      gatewayHosts: [HOST],
      runners: [this.soakRunner!],
      violate: (promise) => this.violatedGuarantees!.add(promise),
    });
    check.removeKey('key-of-guest', performance.now() - age);
    const until = performance.now() + milliseconds;
    await check.run(() => performance.now() > until);
    assert.ok(check.oldKeyRequests > 0 && check.limitedAnswers > 0);
  },
);

Then(
  'exactly this guarantee is reported as violated: {string}',
  function (this: World, guarantee: string) {
    assert.deepEqual([...this.violatedGuarantees!], guarantee === '' ? [] : [guarantee]);
  },
);

Then(
  'a soak with {int} long streams fails if {int} of them is/are received completely',
  function (asked: number, whole: number) {
    assert.equal(slowReaderViolations({ slowAsked: asked, slowWhole: whole }).length, 1);
  },
);

Then(
  'a soak with {int} long streams passes if {int} of them is/are received completely',
  function (asked: number, whole: number) {
    assert.deepEqual(slowReaderViolations({ slowAsked: asked, slowWhole: whole }), []);
  },
);
