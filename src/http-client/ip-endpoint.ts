/** Addresses of the form `IPV4:PORT`. */
import { isIPv4 } from 'node:net';

/** Address to connect to. */
export interface IpEndpoint {
  readonly host: string;
  readonly port: number;
}

const PORT_PATTERN = /^[1-9][0-9]{0,4}$/;
const MAXIMUM_PORT = 65_535;

/** Whether a number is a port that can be connected to; Node throws on others. */
export function isPort(port: number): boolean {
  return Number.isSafeInteger(port) && port >= 1 && port <= MAXIMUM_PORT;
}

/** Parses `IPV4:PORT`; undefined when invalid, since a request to an invalid address throws. */
export function parseIpEndpoint(text: string): IpEndpoint | undefined {
  const separator = text.lastIndexOf(':');
  const [host, portText] = [text.slice(0, separator), text.slice(separator + 1)];
  const port = Number(portText);
  const isAddress = isIPv4(host) && PORT_PATTERN.test(portText) && isPort(port);
  return isAddress ? { host, port } : undefined;
}
