/** Steps about what processes meet while they start. */
import assert from 'node:assert/strict';
import { After, AfterAll, Given, Then, When } from '@cucumber/cucumber';
import type { PlatformRole } from '../../soak/platform-process.js';
import { StartingProcess, removeBundle } from '../support/starting-process.js';

interface World {
  subject: StartingProcess | undefined;
  /** Lets the process read what it waits for. */
  unblock: () => Promise<void>;
}

After(async function (this: World) {
  await this.subject?.close();
});

AfterAll(() => removeBundle());

Given(
  /^a (gateway|replica) that waits for its (code|settings)$/,
  async function (this: World, role: PlatformRole, moment: 'code' | 'settings') {
    this.subject = new StartingProcess(role);
    this.unblock = await this.subject.startBlockedAt(moment);
  },
);

When(
  /^it gets (SIGHUP|SIGTERM), and then its (?:code|settings)$/,
  async function (this: World, signal: NodeJS.Signals) {
    this.subject!.signal(signal);
    await this.unblock();
  },
);

Then('it starts, and reloads its settings because of the signal', async function (this: World) {
  await this.subject!.untilLogged('process.reloaded');
  assert.match(this.subject!.output, /"cause":"signal"/);
  assert.equal(this.subject!.countOf('process.started'), 1);
});

Then(
  'it ends with status {int} before it has started',
  async function (this: World, status: number) {
    assert.deepEqual(await this.subject!.untilEnded(), { code: status, signal: null });
    assert.equal(this.subject!.countOf('process.started'), 0);
  },
);
