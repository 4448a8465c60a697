/** Asks the process at a runner's address which runner it is, by the health check of its service. */
import { request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { limitAnswer } from '../../http-client/answer-limits.js';
import type { Runtime } from '../../runtime/runtime.js';
import type { HeaderNames } from '../request/header-names.js';
import type { Runner } from '../runners/runner.js';
import type { RunnerIdentity } from '../runners/runner-ends.js';
import { isFinalStatus, STATUS_MISDIRECTED_REQUEST } from './answer-head.js';

/** Time in which the process has to answer, in milliseconds. */
const TIMEOUT_MILLISECONDS = 250;

/** The runner that is expected, and how to ask. */
export interface IdentityQuestion {
  readonly runtime: Runtime;
  readonly names: HeaderNames;
  readonly runner: Runner;
  /** Path of the health check; undefined if the service has none. */
  readonly path: string | undefined;
}

function identityOf(
  { statusCode = 0, headers }: IncomingMessage,
  { names, runner }: IdentityQuestion,
): RunnerIdentity {
  if (!isFinalStatus(statusCode)) {
    return 'unknown';
  }
  if (statusCode === STATUS_MISDIRECTED_REQUEST) {
    return 'other';
  }
  const id = headers[names.runnerId];
  if (id === undefined) {
    return 'unknown';
  }
  return id === runner.id ? 'same' : 'other';
}

/** Calls back once with which runner answers, or that it is not known. */
export function identifyRunner(
  question: IdentityQuestion,
  done: (identity: RunnerIdentity) => void,
): void {
  const { runtime, names, runner, path } = question;
  if (path === undefined) {
    done('unknown');
    return;
  }
  let isFinished = false;
  const finish = (identity: RunnerIdentity): void => {
    if (!isFinished) {
      isFinished = true;
      cancel();
      client.destroy();
      done(identity);
    }
  };
  const client = httpRequest(
    {
      host: runner.host,
      port: runner.port,
      path,
      agent: false,
      headers: { [names.expectedRunner]: runner.id },
    },
    (response) => {
      response.resume();
      finish(identityOf(response, question));
    },
  );
  limitAnswer(client);
  const cancel = runtime.setTimer(TIMEOUT_MILLISECONDS, () => finish('unknown'));
  client.on('error', () => finish('unknown'));
  client.end();
}
