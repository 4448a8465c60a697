/**
 * A stand-in for a runner of routed requests: answers with a signature, streams events, and can
 * misbehave in every way that the relay has to bear. Records what it ran.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { HeaderNames } from '../relay/request/header-names.js';

/** How the stand-in treats one request. */
export type RunnerBehaviour =
  | 'answer'
  /** Says that it has not run the request. */
  | 'refuse'
  /** Runs it and closes the connection without an answer. */
  | 'loseAnswer'
  /** Answers with the id of another request. */
  | 'wrongId'
  /** Answers without a signature. */
  | 'unsigned'
  /** Sends a second answer after the first. */
  | 'extraAnswer'
  /** Cuts the answer or the stream off in the middle. */
  | 'cutOff'
  /** Fails with a status that promises nothing ran, without saying that itself. */
  | 'falsePromise'
  /** Fails on its own account. */
  | 'fail'
  /** Answers without a length and ends with the connection. */
  | 'unframed'
  /** Runs it and never answers. */
  | 'silent'
  /** Loses power in the middle of a stream: says nothing more and takes no connections. */
  | 'dark';

/** One request that the stand-in began to work on. */
export interface RunnerRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  /** Whether its client left before the end. */
  clientDisconnected: boolean;
  /** Whether its connection took the whole answer. */
  isAnswered: boolean;
}

/** What the stand-in is made with. */
export interface RelayRunnerOptions {
  /** Name of this incarnation. */
  readonly id: string;
  readonly names: HeaderNames;
  /** Events of a stream. @default 4 */
  readonly eventCount?: number;
  /** Pause before each event and each answer, in milliseconds. @default 1 */
  readonly pauseMilliseconds?: number;
  /** Bytes that each event of a stream is filled up with; none for 0. @default 0 */
  readonly eventBytes?: number;
  /** Bytes that a plain answer is filled up with. @default 0 */
  readonly answerBytes?: number;
}

const STREAM_QUERY = 'stream';
/** Queries by which a request asks for long answers or events, in bytes, and for a number of events. */
const PADDING_QUERY = /fill=(\d+)/;
const EVENTS_QUERY = /events=(\d+)/;

function readQueryNumber({ url = '' }: IncomingMessage, query: RegExp): number | undefined {
  const value = query.exec(url)?.[1];
  return value === undefined ? undefined : Number(value);
}

/** See the head of this file. */
export class RelayRunner {
  readonly runs: RunnerRun[] = [];
  /** Behaviour of requests to come, the first first; then they are answered. */
  readonly behaviours: RunnerBehaviour[] = [];
  /** Connections taken so far. */
  connectionCount = 0;
  /** Events of all streams that were written so far. */
  eventsSent = 0;
  /** Pause before a body is read, in milliseconds: a runner that reads slowly. */
  readPauseMilliseconds = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server;

  /** Name of this incarnation. */
  get id(): string {
    return this.options.id;
  }

  constructor(private readonly options: RelayRunnerOptions) {
    this.server = createServer((request, response) => this.handleRequest(request, response));
    this.server.on('connection', (socket: Socket) => {
      this.connectionCount += 1;
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens on a free loopback port, or on a given address; resolves with the port. */
  listen(port = 0, host = '127.0.0.1'): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Ends at once, as a crash does. */
  crash(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.sockets.forEach((socket) => socket.destroy());
    });
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.readPauseMilliseconds > 0) {
      setTimeout(() => this.readBody(request, response), this.readPauseMilliseconds);
    } else {
      this.readBody(request, response);
    }
  }

  private readBody(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () =>
      this.runRequest(request, response, Buffer.concat(chunks).toString('utf8')),
    );
  }

  private runRequest(request: IncomingMessage, response: ServerResponse, body: string): void {
    const { names, id, pauseMilliseconds = 1 } = this.options;
    const requestId = String(request.headers[names.requestId]);
    const expected = request.headers[names.expectedRunner];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421).end();
      return;
    }
    const behaviour = this.behaviours.shift() ?? 'answer';
    if (behaviour === 'refuse') {
      response.writeHead(503, { [names.notExecuted]: '1' }).end();
      return;
    }
    const { method = '', url: path = '', headers } = request;
    const run: RunnerRun = {
      requestId,
      method,
      path,
      body,
      headers,
      clientDisconnected: false,
      isAnswered: false,
    };
    this.runs.push(run);
    response.on('finish', () => {
      run.isAnswered = true;
    });
    response.on('close', () => {
      run.clientDisconnected = !response.writableFinished;
    });
    setTimeout(() => this.respond(request, response, behaviour, requestId), pauseMilliseconds);
  }

  private respond(
    request: IncomingMessage,
    response: ServerResponse,
    behaviour: RunnerBehaviour,
    requestId: string,
  ): void {
    const { names } = this.options;
    switch (behaviour) {
      case 'loseAnswer':
        request.socket.destroy();
        return;
      case 'silent':
        return;
      case 'falsePromise':
        response.writeHead(503, { [names.requestId]: requestId }).end();
        return;
      case 'fail':
        response.writeHead(500, this.headersOf(requestId)).end('failed');
        return;
      case 'unsigned':
        response.writeHead(200, { [names.requestId]: requestId }).end('unsigned');
        return;
      default:
        if (request.url?.includes(STREAM_QUERY)) {
          this.respondStream(request, response, behaviour, requestId);
        } else {
          this.respondPlain(request, response, behaviour, requestId);
        }
    }
  }

  private respondPlain(
    request: IncomingMessage,
    response: ServerResponse,
    behaviour: RunnerBehaviour,
    requestId: string,
  ): void {
    const paddedBytes = readQueryNumber(request, PADDING_QUERY) ?? this.options.answerBytes ?? 0;
    const body = `answer of ${this.options.id} to ${requestId}`.padEnd(paddedBytes, '.');
    const length = { 'content-length': String(body.length) };
    if (behaviour === 'cutOff') {
      response.writeHead(200, { ...this.headersOf(requestId), ...length });
      response.write(body.slice(0, body.length / 2), () => request.socket.destroy());
      return;
    }
    if (behaviour === 'unframed') {
      const head = Object.entries(this.headersOf(requestId)).map(
        ([key, value]) => `${key}: ${value}`,
      );
      request.socket.end(
        `HTTP/1.1 200 OK\r\n${head.join('\r\n')}\r\nconnection: close\r\n\r\n${body}`,
      );
      return;
    }
    const answeredId = behaviour === 'wrongId' ? 'another-request' : requestId;
    response.writeHead(200, { ...this.headersOf(answeredId), ...length }).end(body);
    if (behaviour === 'extraAnswer') {
      response.on('finish', () =>
        request.socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra'),
      );
    }
  }

  private respondStream(
    request: IncomingMessage,
    response: ServerResponse,
    behaviour: RunnerBehaviour,
    requestId: string,
  ): void {
    const { pauseMilliseconds = 1, names } = this.options;
    const eventCount = readQueryNumber(request, EVENTS_QUERY) ?? this.options.eventCount ?? 4;
    const paddedBytes = readQueryNumber(request, PADDING_QUERY) ?? this.options.eventBytes ?? 0;
    const firstEventId = Number(request.headers[names.lastEventId] ?? 0) + 1;
    const type = { 'content-type': 'text/event-stream' };
    const answeredId = behaviour === 'wrongId' ? 'another-request' : requestId;
    response.writeHead(200, { ...this.headersOf(answeredId), ...type });
    const sendEvent = (id: number): void => {
      if (response.destroyed) {
        return;
      }
      if (behaviour === 'cutOff' && id > eventCount / 2) {
        response.write(`id: ${id}\nda`, () => request.socket.destroy());
        return;
      }
      if (behaviour === 'dark' && id > eventCount / 2) {
        this.server.close();
        return;
      }
      if (id > eventCount) {
        response.end();
        return;
      }
      this.eventsSent += 1;
      const isWritable = response.write(
        `id: ${id}\ndata: ${`event ${id}`.padEnd(paddedBytes, '.')}\n\n`,
      );
      const scheduleNext = (): void => {
        setTimeout(() => sendEvent(id + 1), pauseMilliseconds);
      };
      if (isWritable) {
        scheduleNext();
      } else {
        response.once('drain', scheduleNext);
      }
    };
    sendEvent(firstEventId);
  }

  private headersOf(requestId: string): Record<string, string> {
    const { names, id } = this.options;
    return { [names.requestId]: requestId, [names.signature]: `signed by ${id}` };
  }
}
