/** Datagrams between gateways. They may be lost, duplicated or reordered. */
import { createSocket } from 'node:dgram';
import type { SocketOptions } from 'node:dgram';
import type { ListenerAddress, Listeners } from '../runtime/listeners.js';
import type { ExceptionLog } from '../telemetry/exception-log.js';

/** Receives a datagram and the address of the host that sent it. */
export type DatagramListener = (bytes: Uint8Array, from: string) => void;

/** Sends datagrams to the gateways of other hosts and receives theirs. */
export interface DatagramPort {
  onDatagram(listener: DatagramListener): void;
  /** Sends a datagram to the gateway on a host, without confirmation of delivery. */
  send(bytes: Uint8Array, host: string): void;
  close(): void;
}

const IPV4 = 4;
/**
 * Returns the host unchanged: hosts are IPv4 addresses, and Node's own lookup for each datagram
 * costs more than the send itself.
 */
const resolveIpAddress: SocketOptions['lookup'] = (host, _options, done) => done(null, host, IPV4);

/**
 * Opens a UDP socket; all gateways listen on the same port. Until the address is available, what is sent is lost.
 * @param exceptions records the exceptions of listeners: one datagram must not end the process
 */
export function openUdpPort(
  address: ListenerAddress,
  exceptions: ExceptionLog,
  listeners: Listeners,
): DatagramPort {
  const { port } = address;
  let isBound = false;
  const socket = createSocket({ type: 'udp4', lookup: resolveIpAddress });
  // A send error counts as a lost datagram.
  socket.on('error', () => undefined);
  listeners.bind(socket, address, () => {
    isBound = true;
  });
  return {
    onDatagram: (listener) =>
      socket.on('message', (bytes, { address }) =>
        exceptions.contain('datagram', () => listener(bytes, address), { from: address }),
      ),
    send: (bytes, target) => {
      // Node would bind the socket to a port of its own choice.
      if (isBound) {
        socket.send(bytes, port, target);
      }
    },
    close: () => socket.close(),
  };
}
