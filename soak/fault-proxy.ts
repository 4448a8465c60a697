/** A TCP relay on loopback that can delay, cut, silence or reset what passes through it. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** What the proxy does with bytes. */
export type ProxyMode =
  | 'pass'
  /** Every chunk waits. */
  | 'delay'
  /** Nothing passes either way, and nothing is closed. */
  | 'silence'
  /** Requests pass, answers do not. */
  | 'oneWay'
  /** Connections are reset, new ones as well. */
  | 'reset';

const DELAY_MILLISECONDS = 150;

/** See the head of this file. */
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

  /** Listens; resolves when it does. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, host, () => resolve()));
  }

  /** Changes what is done; `reset` breaks what stands. */
  setMode(mode: ProxyMode): void {
    this.mode = mode;
    if (mode === 'reset') {
      this.sockets.forEach((socket) => socket.resetAndDestroy());
    }
  }

  /** Ends at once. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(client: Socket): void {
    if (this.mode === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const target = connect(this.targetPort, this.targetHost);
    this.join(client, target, ['silence']);
    this.join(target, client, ['silence', 'oneWay']);
  }

  private join(from: Socket, to: Socket, dropping: readonly ProxyMode[]): void {
    this.sockets.add(from);
    from.on('error', () => undefined);
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
