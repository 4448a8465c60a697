/** HTTP agent whose connections distinguish an orderly end from a reset. */
import { Agent } from 'node:http';
import type { ClientRequest, ClientRequestArgs } from 'node:http';
import type { SocketConstructorOpts, TcpSocketConnectOpts } from 'node:net';
import type { Duplex } from 'node:stream';
import { ResetAwareSocket } from './reset-aware-socket.js';

/** Agent for requests whose answers may be framed by the end of their connection. */
export class ResetAwareAgent extends Agent {
  /** Called by Node.js to open a connection. */
  override createConnection(options: ClientRequestArgs): Duplex {
    const socket = new ResetAwareSocket(options as SocketConstructorOpts);
    return socket.connect(options as TcpSocketConnectOpts);
  }

  /** Called by Node.js when an idle connection is used for another request. */
  override reuseSocket(socket: Duplex, request: ClientRequest): void {
    if (socket instanceof ResetAwareSocket) {
      socket.beginRequest();
    }
    super.reuseSocket(socket, request);
  }
}
