/** Datagrams between gateways: they may be lost, doubled or come in another order. */
import { createSocket } from 'node:dgram';
import type { SocketOptions } from 'node:dgram';

/** Receives one datagram and the host that sent it. */
export type DatagramListener = (bytes: Uint8Array, from: string) => void;

/** See the head of this file. */
export interface DatagramPort {
  onDatagram(listener: DatagramListener): void;
  /** Sends to the gateway of a host; nobody tells whether it arrived. */
  send(bytes: Uint8Array, host: string): void;
  close(): void;
}

const IPV4 = 4;
/**
 * Hands a host back as it is: hosts are IPv4 addresses, and Node's own look-up for each datagram costs more than
 * sending it.
 */
const resolveIpAddress: SocketOptions['lookup'] = (host, _options, done) => done(null, host, IPV4);

/** Sends and receives over UDP; all gateways listen on the same port. */
export function openUdpPort(host: string, port: number): DatagramPort {
  const socket = createSocket({ type: 'udp4', lookup: resolveIpAddress });
  // A datagram that could not be sent is a datagram lost.
  socket.on('error', () => undefined);
  socket.bind(port, host);
  return {
    onDatagram: (listener) =>
      socket.on('message', (bytes, { address }) => listener(bytes, address)),
    send: (bytes, target) => socket.send(bytes, port, target),
    close: () => socket.close(),
  };
}
