/** Steps about what processes meet while they start. */
import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { renameSync, rmSync, utimesSync, writeFileSync } from 'node:fs';
import type { Server } from 'node:net';
import { After, AfterAll, Given, Then, When } from '@cucumber/cucumber';
import type { PlatformRole } from '../../soak/platform-process.js';
import { Listeners } from '../../src/runtime/listeners.js';
import {
  LISTENERS,
  StartingProcess,
  hold,
  removeBundle,
  until,
} from '../support/starting-process.js';

/** Length of settings that are half written. */
const HALF_CHARACTERS = 40;
/** Modification time of the settings file, in seconds since 1970. */
const MODIFIED_AT = 1_700_000_000;

interface World {
  startingProcess: StartingProcess | undefined;
  /** Lets the process read what it waits for. */
  unblockStart: () => Promise<void>;
  /** Frees the address that is held. */
  freeAddress: (() => Promise<void>) | undefined;
  /** Pauses between attempts to listen, in milliseconds. */
  pauses: number[];
  /** Attempts that were logged. */
  logged: unknown[];
  isListening: boolean;
}

/** Settings of a gateway with a port that doesn't exist. */
function withBadPort(host: string, purpose: string): Record<string, unknown> {
  const bad = 70_000;
  const port = (name: string): number => (name === purpose ? bad : LISTENERS[name]!.port);
  return {
    Listen: {
      Front: `${host}:${port('clients')}`,
      Ready: `${host}:${port('readiness')}`,
      Control: `${host}:${port('exchange')}`,
    },
    InternalPorts: [port('calls'), port('metrics')],
  };
}

After(async function (this: World) {
  await this.startingProcess?.close();
  await this.freeAddress?.();
});

AfterAll(() => removeBundle());

Given(
  /^a (gateway|replica) that waits for its (code|settings)$/,
  async function (this: World, role: PlatformRole, moment: 'code' | 'settings') {
    this.startingProcess = new StartingProcess(role);
    this.unblockStart = await this.startingProcess.startBlockedAt(moment);
  },
);

When(
  /^it gets (SIGHUP|SIGTERM), and then its (?:code|settings)$/,
  async function (this: World, signal: NodeJS.Signals) {
    this.startingProcess!.signal(signal);
    await this.unblockStart();
  },
);

Then('it starts, and reloads its settings because of the signal', async function (this: World) {
  await this.startingProcess!.untilLogged('process.reloaded');
  assert.match(this.startingProcess!.output, /"cause":"signal"/);
  assert.equal(this.startingProcess!.countOf('process.started'), 1);
});

Then(
  'it ends with status {int} before it has started',
  async function (this: World, status: number) {
    assert.deepEqual(await this.startingProcess!.untilEnded(), { code: status, signal: null });
    assert.equal(this.startingProcess!.countOf('process.started'), 0);
  },
);

Given(
  /^a (gateway|replica) whose address for (\w+) is held$/,
  async function (this: World, role: PlatformRole, purpose: string) {
    this.startingProcess = new StartingProcess(role);
    this.freeAddress = await hold(this.startingProcess.host, LISTENERS[purpose]!);
    assert.ok(this.freeAddress, 'the address is in use by another process');
    await this.startingProcess.startStore();
    this.startingProcess.start();
  },
);

When(
  'it has tried {int} times to listen for {word}',
  async function (this: World, attempts: number, purpose: string) {
    await this.startingProcess!.untilLogged('listener.waiting', attempts);
    assert.match(this.startingProcess!.output, new RegExp(`"purpose":"${purpose}"`));
    assert.match(this.startingProcess!.output, /"reason":"EADDRINUSE"/);
  },
);

When('it gets SIGTERM', function (this: World) {
  this.startingProcess!.signal('SIGTERM');
});

Then("it isn't ready", async function (this: World) {
  assert.notEqual(await this.startingProcess!.readiness(), 200);
});

When('the address is free', async function (this: World) {
  await this.freeAddress!();
  this.freeAddress = undefined;
});

Then(
  /^it listens for (\w+), and is ready if it is a gateway$/,
  async function (this: World, purpose: string) {
    const { startingProcess: subject } = this;
    await subject!.untilLogged('listener.opened');
    assert.equal(await hold(subject!.host, LISTENERS[purpose]!), undefined);
    if (subject!.role === 'gateway') {
      await until(async () => (await subject!.readiness()) === 200);
    }
    assert.equal(subject!.end, undefined);
  },
);

Then('it ends with status {int}', async function (this: World, status: number) {
  assert.deepEqual(await this.startingProcess!.untilEnded(), { code: status, signal: null });
});

Given(
  "a gateway whose port for {word} doesn't exist",
  async function (this: World, purpose: string) {
    this.startingProcess = new StartingProcess('gateway');
    const { host } = this.startingProcess;
    this.startingProcess.writeSettings(this.startingProcess.settings(withBadPort(host, purpose)));
    await this.startingProcess.startStore();
    this.startingProcess.start();
  },
);

Then(
  'it ends with status {int}, and an error that names the address for {word}',
  async function (this: World, status: number, purpose: string) {
    assert.deepEqual(await this.startingProcess!.untilEnded(), { code: status, signal: null });
    assert.match(
      this.startingProcess!.output,
      new RegExp(`${purpose} on ${this.startingProcess!.host}:70000`),
    );
  },
);

Given('an address that is in use for {int} attempts', function (this: World, failures: number) {
  this.pauses = [];
  this.logged = [];
  let timer: (() => void) | undefined;
  const listeners = new Listeners({
    setTimer: (pause, callback) => {
      this.pauses.push(pause);
      timer = callback;
      return () => undefined;
    },
    log: (_level, _message, fields) => {
      this.logged.push(fields?.['event']);
    },
  });
  const inUse = Object.assign(new Error('in use'), { code: 'EADDRINUSE' });
  const server = Object.assign(new EventEmitter(), {
    listen: () =>
      this.pauses.length < failures ? server.emit('error', inUse) : server.emit('listening'),
  });
  const address = { purpose: 'calls', host: '127.0.0.1', port: 1 };
  listeners.listen(server as unknown as Server, address, () => {
    this.isListening = true;
  });
  while (timer !== undefined) {
    assert.equal(listeners.areOpen, false);
    const callback: () => void = timer;
    timer = undefined;
    callback();
  }
  assert.equal(listeners.areOpen, true);
});

Then(
  'the pauses double from {int} ms to {int} ms, {int} attempts are logged, and the server listens',
  function (this: World, first: number, last: number, logged: number) {
    assert.deepEqual(this.pauses.slice(0, 6), [first, first * 2, 200, 400, 800, last]);
    assert.equal(Math.max(...this.pauses), last);
    assert.equal(this.logged.filter((event) => event === 'listener.waiting').length, logged);
    assert.ok(this.isListening);
  },
);

Given(
  /^a (gateway|replica) whose settings file is (half written|missing)$/,
  function (this: World, role: PlatformRole, state: string) {
    this.startingProcess = new StartingProcess(role);
    if (state === 'missing') {
      rmSync(this.startingProcess.settingsFile);
    } else {
      this.startingProcess.writeSettings(this.startingProcess.settings().slice(0, HALF_CHARACTERS));
    }
    this.startingProcess.start();
  },
);

When('it has found that, and the file is complete', async function (this: World) {
  const { startingProcess: subject } = this;
  await until(() => subject!.end !== undefined || subject!.output.includes('waiting for'));
  subject!.writeSettings(subject!.settings());
});

Then('it starts', async function (this: World) {
  await this.startingProcess!.untilLogged('process.started');
});

Then(
  'it ends with status {int} and the error {string}',
  async function (this: World, status: number, error: string) {
    assert.deepEqual(await this.startingProcess!.untilEnded(), { code: status, signal: null });
    assert.match(this.startingProcess!.output, new RegExp(error));
  },
);

Given('a gateway that has started', async function (this: World) {
  this.startingProcess = new StartingProcess('gateway');
  this.startingProcess.start();
  await this.startingProcess.untilLogged('process.started');
});

When(
  'its settings file is half written, and SIGHUP makes it read that',
  async function (this: World) {
    const { startingProcess: subject } = this;
    subject!.writeSettings(subject!.settings().slice(0, HALF_CHARACTERS));
    utimesSync(subject!.settingsFile, MODIFIED_AT, MODIFIED_AT);
    // The change of the file may be found before the signal is.
    await subject!.untilLogged('process.reloaded');
    subject!.signal('SIGHUP');
    await until(() => subject!.output.includes('"cause":"signal"'));
  },
);

When('the file is completed with the same modification time', function (this: World) {
  const { startingProcess: subject } = this;
  const whole = `${subject!.settingsFile}.new`;
  writeFileSync(whole, subject!.settings());
  utimesSync(whole, MODIFIED_AT, MODIFIED_AT);
  renameSync(whole, subject!.settingsFile);
});

Then('the settings are reloaded because of the file', async function (this: World) {
  await until(() => this.startingProcess!.output.includes('"message":"settings reloaded"'));
  assert.equal(this.startingProcess!.end, undefined);
});
