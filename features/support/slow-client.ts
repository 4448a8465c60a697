/** A client over a plain socket that reads as fast or as slowly as a test says. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { DEFAULT_HEADER_NAMES } from '../../src/relay/request/default-header-names.js';
import { ROUTED_HOST } from './relay-world.js';

const HOST = '127.0.0.1';
/** Time that a client tells it waits, in milliseconds. */
const TIMEOUT_MILLISECONDS = 20_000;
/** Bytes that a slow reader takes at a time, and the pause between, in milliseconds. */
const TRICKLE_BYTES = 4;
const TRICKLE_INTERVAL_MILLISECONDS = 1_000;

const END_OF_HEAD = 4;
const LAST_CHUNK = '0\r\n\r\n';

/** How a client reads. */
export type ReadingPace = 'nothing' | 'sips' | 'all';

/** See the head of this file. */
export class SlowClient {
  private readonly socket: Socket;
  private readonly chunks: Buffer[] = [];
  private pace: ReadingPace;
  /** Whether the connection is over. */
  isClosed = false;

  /** @param query what is asked for, after the question mark */
  constructor(port: number, route: string, id: string, pace: ReadingPace, query = route) {
    this.pace = pace;
    this.socket = connect({
      port,
      host: HOST,
      onread: {
        buffer: Buffer.alloc(pace === 'sips' ? TRICKLE_BYTES : 65_536),
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

  /** What was read. */
  get text(): string {
    return Buffer.concat(this.chunks).toString('latin1');
  }

  /** Whether a whole chunked or sized answer was read. */
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

  /** Reads everything from now on. */
  resume(): void {
    this.pace = 'all';
    this.socket.resume();
  }

  /** Closes the connection. */
  disconnect(): void {
    this.socket.destroy();
  }

  private receive(bytes: Buffer): boolean {
    this.chunks.push(bytes);
    if (this.pace === 'sips') {
      setTimeout(() => this.socket.resume(), TRICKLE_INTERVAL_MILLISECONDS).unref();
      return false;
    }
    return this.pace === 'all';
  }
}
