/** Finds free TCP ports. */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

/**
 * Ports below the range from which systems choose a port for a socket that names none: such a socket can't take a port between
 * the time at which it was found free and the time at which it is used.
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 22_768;

/** Offset of the next port to try. It starts anywhere, so that processes that run side by side rarely try the same ones. */
let nextOffset = randomInt(PORT_COUNT);

/** Resolves to whether a server could listen on the port. */
function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (error: Error & { code?: string }) => {
      if (error.code === 'EADDRINUSE') {
        resolve(false);
      } else {
        reject(error);
      }
    });
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns distinct ports of an address that were free at the time of the call, and that earlier calls haven't returned lately. */
export async function findFreePorts(host: string, count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried === PORT_COUNT) {
      throw new Error(`no ${count} free ports on ${host} from ${FIRST_PORT} on`);
    }
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(host, port)) {
      ports.push(port);
    }
  }
  return ports;
}
