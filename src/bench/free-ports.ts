/** Finds free TCP ports. */
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

function listen(server: Server, host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve((server.address() as AddressInfo).port));
  });
}

/** Returns distinct ports of an address that were free at the time of the call. */
export async function findFreePorts(host: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    ports.push(await listen(server, host));
  }
  await Promise.all(
    servers.map((server) => new Promise<void>((resolve) => server.close(() => resolve()))),
  );
  return ports;
}
