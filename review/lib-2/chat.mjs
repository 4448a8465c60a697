/** A route of kept turns, its runners, and its clients. */
import { send } from './client.mjs';
import { HOST_NAME } from './deployment.mjs';
import { Runner } from './runner.mjs';

export const CHAT_PATH = '/chat/';
const SERVICE = 'lm-pool';

/** Writes a configuration with one route of kept turns, and further fields of its parts. */
export function putChatConfiguration(store, route = {}, service = {}, fields = {}) {
  store.put('op/config', {
    Version: 1,
    Routes: [
      {
        Name: 'chat',
        Host: HOST_NAME,
        PathPrefix: CHAT_PATH,
        Kind: 'streaming',
        TimeoutMs: 5000,
        TargetLatencyMs: 200,
        Priority: 0,
        Service: SERVICE,
        MaxAttempts: 2,
        Retain: true,
        RetentionS: 60.0,
        Sticky: true,
        Resumable: false,
        TargetGapMs: 400,
        ...route,
      },
    ],
    Services: [{ Name: SERVICE, HealthPath: '/healthz', MaxConnections: 370, ...service }],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
    ...fields,
  });
}

/** Starts two runners; `eventsOf(run)` gives the data of the events of an answer. */
export async function startChatRunners(deployment, note, { eventsOf, pauseOf }) {
  const runners = [1, 2].map(
    (number) =>
      new Runner({
        id: `runner-${number}`,
        healthPath: '/healthz',
        eventsOf,
        pauseOf,
        onRun: ({ requestId, runner, body }) =>
          note(`run of ${requestId} at ${runner}, body ${JSON.stringify(body)}`),
      }),
  );
  for (const [index, runner] of runners.entries()) {
    await deployment.addRunner(runner, index + 1, SERVICE);
  }
  return runners;
}

/** Sends a turn through a gateway. */
export async function askTurn(
  deployment,
  note,
  gateway,
  { id, input, previous, headers, timeout, onEvent },
) {
  note(`${id} is sent to ${gateway.name}`);
  const answer = await send({
    host: gateway.host,
    port: deployment.ports.front,
    path: `${CHAT_PATH}turn`,
    headers: {
      host: HOST_NAME,
      'request-id': id,
      'program-id': 'program-1',
      'session-id': 'session-1',
      'program-deadline-ms': '90000',
      'token-usage': '20,10',
      ...(previous !== undefined && { 'previous-turn': previous }),
      ...headers,
    },
    body: input,
    timeout,
    onEvent,
  });
  const events = answer.events.map((event) => event.id).join(' ');
  note(
    `${id} through ${gateway.name}: status ${answer.status}, ${answer.whole ? 'whole' : `not whole (${answer.error})`}, events ${events || 'none'}${answer.status === 200 ? '' : ` ${answer.body.trim()}`}`,
  );
  return answer;
}
