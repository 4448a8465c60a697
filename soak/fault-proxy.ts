/** A TCP proxy on loopback that can delay or drop bytes and reset connections. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { ResetAwareSocket } from '../src/http-client/reset-aware-socket.js';

/** Modes of the proxy. */
export type ProxyMode =
  | 'pass'
  /** Every chunk is delayed by a fixed time. */
  | 'delay'
  /** Bytes are dropped in both directions; connections stay open. */
  | 'silence'
  /** Bytes to the target pass; bytes from it are dropped. */
  | 'oneWay'
  /** Existing and new connections are reset. */
  | 'reset';

const DELAY_MILLISECONDS = 150;

/** Forwards TCP connections to one target, subject to the current mode. */
export class FaultProxy {
  private mode: ProxyMode = 'pass';
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  constructor(
    private readonly targetHost: string,
    private readonly targetPort: number,
  ) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Starts to listen; resolves once the proxy accepts connections. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, host, () => resolve()));
  }

  /** Changes the mode; `reset` also resets the open connections. */
  setMode(mode: ProxyMode): void {
    this.mode = mode;
    if (mode === 'reset') {
      this.sockets.forEach((socket) => socket.resetAndDestroy());
    }
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(client: Socket): void {
    if (this.mode === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const target = new ResetAwareSocket();
    target.separateReads();
    target.connect(this.targetPort, this.targetHost);
    this.join(client, target, ['silence']);
    this.join(target, client, ['silence', 'oneWay']);
  }

  private join(from: Socket, to: Socket, dropping: readonly ProxyMode[]): void {
    this.sockets.add(from);
    from.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (code === 'ECONNRESET') {
        // Leaves together with the bytes before it.
        to.resetAndDestroy();
      }
    });
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
    from.on('data', (chunk: Buffer) => {
      if (dropping.includes(this.mode)) {
        return;
      }
      if (this.mode === 'delay') {
        setTimeout(() => to.writable && to.write(chunk), DELAY_MILLISECONDS);
      } else {
        to.write(chunk);
      }
    });
  }
}
