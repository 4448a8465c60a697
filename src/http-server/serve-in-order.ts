/** Servers for other processes of the deployment, whose ports clients may reach all the same. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Runtime } from '../runtime/runtime.js';
import { limitRequests } from './limit-requests.js';
import { ServerConnections } from './server-connections.js';

/** Time after which a connection is closed on which nothing moves, in milliseconds. */
const INACTIVITY_MILLISECONDS = 10_000;

/** Lets a server answer the requests of a connection one after another, within limits on connections and their input. */
export function serveInOrder(
  server: Server,
  runtime: Runtime,
  maximumConnections: number,
  handle: (request: IncomingMessage, response: ServerResponse) => void,
): void {
  limitRequests(server);
  server.timeout = INACTIVITY_MILLISECONDS;
  new ServerConnections(server, {
    runtime,
    maximumConnections,
    isClosing: () => false,
    serve: ({ request, response, expectation }) => {
      if (expectation === 'continue') {
        response.writeContinue();
      }
      handle(request, response);
    },
  });
}
