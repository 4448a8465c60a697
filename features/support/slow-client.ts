/** Test client that reads its answer at a chosen pace. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import { ROUTED_HOST } from './relay-world.js';

const HOST = '127.0.0.1';
/** Timeout that the client sends with its request. */
const TIMEOUT_MILLISECONDS = 20_000;
/** Bytes that a trickling client reads at a time, and the pause between two reads. */
const TRICKLE_BYTES = 4;
const TRICKLE_INTERVAL_MILLISECONDS = 1_000;

/** Length of the blank line that ends the head. */
const END_OF_HEAD = 4;
const LAST_CHUNK = '0\r\n\r\n';

/** How much of its answer a client reads: nothing, a few bytes per second, or everything at once. */
export type ReadingPace = 'nothing' | 'trickle' | 'all';

/** HTTP/1.1 client with one request on a plain socket. */
export class SlowClient {
  private readonly socket: Socket;
  private readonly chunks: Buffer[] = [];
  private pace: ReadingPace;
  /** Whether the connection is closed. */
  isClosed = false;

  /**
   * Sends the request.
   * @param query part of the path after the question mark, which selects the runner's answer
   */
  constructor(port: number, route: string, id: string, pace: ReadingPace, query = route) {
    this.pace = pace;
    this.socket = connect({
      port,
      host: HOST,
      onread: {
        buffer: Buffer.alloc(pace === 'trickle' ? TRICKLE_BYTES : 65_536),
        callback: (bytes, buffer) => this.receive(Buffer.from(buffer.subarray(0, bytes))),
      },
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
    });
    this.socket.write(
      [
        `POST /${route}/work?${query} HTTP/1.1`,
        `host: ${ROUTED_HOST}`,
        `${DEFAULT_HEADER_NAMES.requestId}: ${id}`,
        `${DEFAULT_HEADER_NAMES.timeout}: ${TIMEOUT_MILLISECONDS}`,
        'content-length: 0',
        '',
        '',
      ].join('\r\n'),
    );
    if (pace === 'nothing') {
      this.socket.pause();
    }
  }

  /** Everything read so far. */
  get text(): string {
    return Buffer.concat(this.chunks).toString('latin1');
  }

  /** Whether a complete answer was read, either chunked or with a content length. */
  get isComplete(): boolean {
    const first = this.chunks[0]?.toString('latin1') ?? '';
    const length = /content-length: (\d+)/i.exec(first)?.[1];
    if (length !== undefined) {
      const bytes = this.chunks.reduce((sum, chunk) => sum + chunk.length, 0);
      return bytes - first.indexOf('\r\n\r\n') - END_OF_HEAD === Number(length);
    }
    const last = Buffer.concat(this.chunks.slice(-LAST_CHUNK.length));
    return last.toString('latin1').endsWith(LAST_CHUNK);
  }

  /** Reads at full speed from now on. */
  resume(): void {
    this.pace = 'all';
    this.socket.resume();
  }

  disconnect(): void {
    this.socket.destroy();
  }

  private receive(bytes: Buffer): boolean {
    this.chunks.push(bytes);
    if (this.pace === 'trickle') {
      setTimeout(() => this.socket.resume(), TRICKLE_INTERVAL_MILLISECONDS).unref();
      return false;
    }
    return this.pace === 'all';
  }
}
