/** A long turn is answered whole, but its chain is dropped meanwhile: behind another gateway it is lost. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { askTurn, putChatConfiguration, startChatRunners } from '../lib-2/chat.mjs';
import { runCase, sleep } from '../lib-2/deployment.mjs';

/** Traffic starts this long after the machines do. */
const LEAD_MILLISECONDS = 12_000;
/** Time for which the operator has turns kept. */
const RETENTION_SECONDS = 15;
/** Longest time of a turn that the operator allows, and how long the second one takes. */
const TIMEOUT_MILLISECONDS = 30_000;
const LONG_EVENTS = 55;
const LONG_EVENT_MILLISECONDS = 380;
/** How long after its first turn the client goes on, within the time for which that is kept. */
const PAUSE_MILLISECONDS = 13_000;
const CONTACT_MILLISECONDS = 3_000;
const TRIES = 6;
const RETRY_MILLISECONDS = 300;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { gateways: 3, replicas: 3 },
  async (deployment, note, trouble) => {
    const { store, gateways } = deployment;
    putChatConfiguration(store, {
      RetentionS: RETENTION_SECONDS,
      TimeoutMs: TIMEOUT_MILLISECONDS,
    });
    const longEvents = Array.from({ length: LONG_EVENTS }, (_, index) => `word ${index + 1}`);
    const eventsOf = ({ requestId }) =>
      requestId === 'turn-2' ? longEvents : [`${requestId} one`, `${requestId} two`];
    const runners = await startChatRunners(deployment, note, {
      eventsOf,
      pauseOf: ({ requestId }) => (requestId === 'turn-2' ? LONG_EVENT_MILLISECONDS : 10),
    });
    deployment.machines.forEach((machine) => machine.start(true));
    await Promise.all([deployment.allReady(), sleep(LEAD_MILLISECONDS)]);
    note(`members: ${deployment.members().join(' ')}`);
    const [gateway, ...others] = gateways;
    const first = await askTurn(deployment, note, gateway, { id: 'turn-1', input: 'hello\n' });
    if (first.status !== 200 || !first.whole) {
      throw new Error('the first turn was not answered whole');
    }
    await sleep(PAUSE_MILLISECONDS);
    const second = await askTurn(deployment, note, gateway, {
      id: 'turn-2',
      input: 'tell me more\n',
      previous: 'turn-1',
      timeout: TIMEOUT_MILLISECONDS,
    });
    const answeredAt = Date.now();
    if (second.status !== 200 || !second.whole) {
      note('the second turn was not answered whole, so that it cannot be lost');
      return [];
    }
    if (trouble) {
      gateway.signal('SIGTERM');
      note(`${gateway.name} gets SIGTERM`);
      await gateway.exit;
      note(`${gateway.name} has ended`);
    }
    await sleep(CONTACT_MILLISECONDS);
    const chain = ['hello', ...eventsOf({ requestId: 'turn-1' }), 'tell me more', ...longEvents];
    const body = `${[...chain, 'go on'].join('\n')}\n`;
    const broken = [];
    let refusals = 0;
    let freshTurns = 0;
    for (let number = 1; number <= TRIES; number += 1) {
      const asked = trouble ? others[number % others.length] : gateway;
      const id = `turn-3-${number}`;
      const turn = { id, input: 'go on\n', previous: 'turn-2' };
      const answer = await askTurn(deployment, note, asked, turn);
      const age = ((Date.now() - answeredAt) / 1000).toFixed(1);
      if (answer.status === 404 || answer.status === 410) {
        broken.push(`LOST: ${id} got ${answer.status}, ${age} s after turn-2 was answered whole`);
      }
      const fresh = { id: `fresh-${number}`, input: 'hello\n' };
      freshTurns += (await askTurn(deployment, note, asked, fresh)).status === 200 ? 1 : 0;
      const run = runners.flatMap(({ runs }) => runs).find(({ requestId }) => requestId === id);
      refusals += run === undefined ? 1 : 0;
      if (run !== undefined && run.body !== body) {
        broken.push(`UNASKED: ${id} ran with another body than the chain and the new input`);
      }
      await sleep(RETRY_MILLISECONDS);
    }
    const age = (Date.now() - answeredAt) / 1000;
    if (refusals === TRIES && age < RETENTION_SECONDS && freshTurns >= 0.9 * TRIES) {
      broken.push(
        `LOST: in ${TRIES} tries, up to ${age.toFixed(1)} s after turn-2 was answered whole, no turn that goes on from it reached a runner, and ${freshTurns} of ${TRIES} first turns did`,
      );
    }
    return broken;
  },
);
