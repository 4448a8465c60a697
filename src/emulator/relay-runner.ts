/**
 * An emulated runner of routed requests: sends signed answers, streams events, and can be set to
 * misbehave in the ways that the relay must tolerate. It records the requests that it ran.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import type { HeaderNames } from '../relay/request/header-names.js';
import { sendEndless } from './endless-answer.js';
import type { EndlessForm, EndlessRecord } from './endless-answer.js';
import { fatalEffectOf } from './fatal-effect.js';
import type { FatalEffect } from './fatal-effect.js';
import { isUnframed, sendUnframed } from './unframed-answer.js';
import type { UnframedBehaviour } from './unframed-answer.js';

/** How the runner treats one request. */
export type RunnerBehaviour =
  | 'answer'
  /** Answers that the request was not run. */
  | 'refuse'
  /** Runs the request and closes the connection without an answer. */
  | 'loseAnswer'
  /** Answers with the id of another request. */
  | 'wrongId'
  /** Answers without a signature. */
  | 'unsigned'
  /** Sends a second answer after the first. */
  | 'extraAnswer'
  /** Closes the connection in the middle of the answer or the stream. */
  | 'cutOff'
  /** Runs the request and answers 503 without the header that says that it was not run. */
  | 'falsePromise'
  /** Runs the request and answers 500. */
  | 'fail'
  /** Answers with neither a length nor chunks, whole or broken off. */
  | UnframedBehaviour
  /** Runs the request and sends an answer with a part that never ends; see `endlessForm`. */
  | 'endless'
  /** Runs the request and sends a whole answer with a status line that HTTP doesn't allow. */
  | 'spoiledHead'
  /** Runs the request and never answers. */
  | 'silent'
  /** Simulates a power loss in the middle of a stream: no more bytes, no new connections. */
  | 'dark';

/** A request that the runner started to run. */
export interface RunnerRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  readonly behaviour: RunnerBehaviour;
  /** Local time at which the run began, in milliseconds. */
  readonly startedAt: number;
  /** Local time at which the whole answer was written, in milliseconds; undefined if it was not. */
  answeredAt: number | undefined;
  /** Whether the client disconnected before the end of the answer. */
  clientDisconnected: boolean;
  /** Local time at which it did, in milliseconds; undefined if it did not. */
  disconnectedAt: number | undefined;
  /** Whether the whole answer was written to the connection. */
  isAnswered: boolean;
}

/** Identity of the runner, and the shape of its answers. */
export interface RelayRunnerOptions {
  /** Name of this incarnation. */
  readonly id: string;
  readonly names: HeaderNames;
  /** Version of its software, which the text of each event then names. @default not named */
  readonly softwareVersion?: string;
  /** Number of events of a stream. @default 4 */
  readonly eventCount?: number;
  /** Pause before each event and each answer. @default 1 */
  readonly pauseMilliseconds?: number;
  /** Minimum length of the text of each event; shorter texts are padded. @default 0 */
  readonly eventBytes?: number;
  /** Minimum length of a plain answer; shorter ones are padded. @default 0 */
  readonly answerBytes?: number;
}

/** Time in which a cold runner counts its arrivals, in milliseconds. */
const COLD_WINDOW_MILLISECONDS = 1_000;
/** Factor by which a cold runner is slower. */
const COLD_SLOWDOWN = 2;
/** Time from the start of a fatal request to the end of its runner, in milliseconds. */
const FATAL_MILLISECONDS = 10;
/** The same time for a request that ends its runner late. */
export const LATE_FATAL_MILLISECONDS = 400;
/** Time that the end of a runner takes, in milliseconds. */
export const ENDING_MILLISECONDS = 3;
/** Events of a stream that a runner sends before a request ends it midway. */
const EVENTS_BEFORE_END = 2;
/** Statuses of endless answers that state that the request was not run. */
const REFUSAL_STATUSES = new Set([421, 429, 503]);
/** Status lines that a parser may accept, and that must not be forwarded. */
const SPOILED_STATUS_LINES = ['HTTP/1.1 200 \x0fK', 'HTTP/1.1 000 OK', 'HTTP/1.1 600 OK'];
/** Path of the health check. */
export const HEALTH_PATH = '/healthz';
const STREAM_QUERY = 'stream';
/** Query parameters that override the length of an answer or event and the number of events. */
const PADDING_QUERY = /fill=(\d+)/;
const EVENTS_QUERY = /events=(\d+)/;

function readQueryNumber({ url = '' }: IncomingMessage, query: RegExp): number | undefined {
  const value = query.exec(url)?.[1];
  return value === undefined ? undefined : Number(value);
}

/** An HTTP server that acts as a runner; requests take its queued behaviours in order. */
export class RelayRunner {
  readonly runs: RunnerRun[] = [];
  /** Behaviours of the next requests, in order; once empty, `drawBehaviour` decides. */
  readonly behaviours: RunnerBehaviour[] = [];
  /** Returns the behaviour of a request to a path for which none is queued. */
  drawBehaviour: (path: string) => RunnerBehaviour = () => 'answer';
  /** Number of answers with neither a length nor chunks so far, and how many of them were broken off. */
  readonly unframed = { sent: 0, broken: 0 };
  /** Returns the form of the next endless answer. */
  endlessForm: () => EndlessForm = () => ({
    part: 'body',
    framing: 'length',
    status: 200,
    filler: 'letters',
    isSlow: false,
  });
  /** The endless answers so far. */
  readonly endlessRecords: EndlessRecord[] = [];
  /** Number of connections accepted so far. */
  connectionCount = 0;
  /** Number of requests so far that were meant for another incarnation, and answered with 421. */
  misdirectedCount = 0;
  /** Number of events written so far, over all streams. */
  eventsSent = 0;
  /** Called with the headers of each request for this incarnation as soon as they arrive. */
  onArrival: (headers: IncomingMessage['headers']) => void = () => undefined;
  /** Called with the request that ended or froze the runner. */
  onFatal: (run: RunnerRun) => void = () => undefined;
  /** Pause before each answer, in place of the one in the options; undefined for that one. */
  answerPauseMilliseconds: number | undefined;
  /** Pause before a request body is read, which emulates a slow reader. */
  readPauseMilliseconds = 0;
  /** Largest number of requests that arrived in any second while the runner was cold. */
  maximumColdArrivals = 0;
  /** Number of times that the runner failed since more requests arrived than it can take while cold. */
  coldFailures = 0;
  private coldSince = -Infinity;
  private coldUntil = -Infinity;
  private coldLimit = Infinity;
  private failedUntil = -Infinity;
  private hasEnded = false;
  private isFrozen = false;
  /** Paths of the requests that arrived while the runner stood still. */
  private readonly ignoredPaths: string[] = [];
  /** Arrival times within the last second, in milliseconds; those answered with 421 are left out. */
  private arrivals: number[] = [];
  private readonly sockets = new Set<Socket>();
  /** Connections on which an unframed answer was begun. */
  private readonly unframedSockets = new WeakSet<Socket>();
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

  /** Starts listening; port 0 selects a free one. Resolves with the port. */
  listen(port = 0, host = '127.0.0.1'): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Whether the runner is cold. */
  get isCold(): boolean {
    return performance.now() < this.coldUntil;
  }

  /**
   * Makes the runner cold: it is slower, and fails until it is warm once more requests arrive in a second than
   * `limit`.
   * @param noticeMilliseconds time in which gateways may not know the cold state, so that arrivals do not count
   */
  turnCold(milliseconds: number, limit: number, noticeMilliseconds = 0): void {
    this.coldSince = performance.now() + noticeMilliseconds;
    this.coldUntil = performance.now() + milliseconds;
    this.coldLimit = limit;
  }

  /**
   * Stops listening and destroys all connections. Those with an unframed answer are reset: an orderly end would mark the end
   * of the answer.
   */
  crash(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.sockets.forEach((socket) =>
        this.unframedSockets.has(socket) ? socket.resetAndDestroy() : socket.destroy(),
      );
    });
  }

  /** Paths of the requests that are at the runner: begun and neither answered nor given up, or arrived since it stands still. */
  get unfinishedPaths(): readonly string[] {
    return [...this.unfinishedRuns.map(({ path }) => path), ...this.ignoredPaths];
  }

  /** Paths of the requests whose client disconnected at most some time ago. */
  pathsDroppedWithin(milliseconds: number): readonly string[] {
    const since = performance.now() - milliseconds;
    return this.runs
      .filter(({ disconnectedAt }) => disconnectedAt !== undefined && disconnectedAt >= since)
      .map(({ path }) => path);
  }

  /** Requests that the runner has begun and neither answered nor given up. */
  get unfinishedRuns(): readonly RunnerRun[] {
    return this.runs.filter(
      ({ isAnswered, clientDisconnected }) => !isAnswered && !clientDisconnected,
    );
  }

  /** Ends the runner as the kill of its process does: all connections are reset, and new ones are refused. */
  end(): void {
    if (!this.hasEnded) {
      this.hasEnded = true;
      // Requests that are on their way are still recorded as being at the runner.
      this.isFrozen = true;
      this.server.close();
      setTimeout(
        () => this.sockets.forEach((socket) => socket.resetAndDestroy()),
        ENDING_MILLISECONDS,
      );
    }
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.isFrozen) {
      this.ignoredPaths.push(request.url ?? '');
      return;
    }
    if (request.url === HEALTH_PATH && this.isExpected(request)) {
      response.writeHead(200, { [this.options.names.runnerId]: this.id }).end();
      return;
    }
    if (this.isExpected(request)) {
      this.onArrival(request.headers);
      this.countArrival();
    }
    if (performance.now() < this.failedUntil) {
      request.socket.destroy();
      return;
    }
    if (this.readPauseMilliseconds > 0) {
      setTimeout(() => this.readBody(request, response), this.readPauseMilliseconds);
    } else {
      this.readBody(request, response);
    }
  }

  private countArrival(): void {
    const now = performance.now();
    const since = now - COLD_WINDOW_MILLISECONDS;
    this.arrivals = [...this.arrivals.filter((at) => at > since), now];
    if (!this.isCold) {
      return;
    }
    // Requests that were sent before the gateways could know of the cold state are not counted.
    const count = this.arrivals.filter((at) => at >= this.coldSince).length;
    this.maximumColdArrivals = Math.max(this.maximumColdArrivals, count);
    if (count > this.coldLimit && now >= this.failedUntil) {
      this.coldFailures += 1;
      this.failedUntil = this.coldUntil;
      this.sockets.forEach((socket) => socket.destroy());
    }
  }

  /** Whether a request is for this incarnation; others are answered with 421. */
  private isExpected({ headers }: IncomingMessage): boolean {
    const { names, id } = this.options;
    const expected = headers[names.expectedRunner];
    return expected === undefined || expected === id;
  }

  private readBody(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () =>
      this.runRequest(request, response, Buffer.concat(chunks).toString('utf8')),
    );
  }

  private runRequest(request: IncomingMessage, response: ServerResponse, body: string): void {
    const { names, pauseMilliseconds = 1 } = this.options;
    const requestId = String(request.headers[names.requestId]);
    if (!this.isExpected(request)) {
      this.misdirectedCount += 1;
      response.writeHead(421).end();
      return;
    }
    const behaviour = this.behaviours.shift() ?? this.drawBehaviour(request.url ?? '');
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
      behaviour,
      startedAt: performance.now(),
      answeredAt: undefined,
      clientDisconnected: false,
      disconnectedAt: undefined,
      isAnswered: false,
    };
    this.runs.push(run);
    response.on('finish', () => {
      run.isAnswered = true;
      run.answeredAt = performance.now();
    });
    response.on('close', () => {
      run.clientDisconnected = !response.writableFinished;
      run.disconnectedAt = run.clientDisconnected ? performance.now() : undefined;
    });
    const usualPause = this.answerPauseMilliseconds ?? pauseMilliseconds;
    const pause = usualPause * (this.isCold ? COLD_SLOWDOWN : 1);
    const respond = (atEvent?: () => void): void => {
      setTimeout(() => this.respond(request, response, behaviour, requestId, atEvent), pause);
    };
    const effect = fatalEffectOf(path, requestId);
    if (effect === undefined) {
      respond();
      return;
    }
    const strike = (): void => this.strike(effect, run);
    if (effect === 'crashAfterAnswer') {
      response.on('finish', () => setTimeout(strike, FATAL_MILLISECONDS));
      respond();
    } else if (effect === 'crashMidway' && path.includes(STREAM_QUERY)) {
      respond(strike);
    } else if (effect === 'crashLate') {
      setTimeout(strike, LATE_FATAL_MILLISECONDS);
    } else {
      setTimeout(strike, FATAL_MILLISECONDS);
    }
  }

  /** Ends or freezes the runner as a fatal request asks. */
  private strike(effect: FatalEffect, run: RunnerRun): void {
    if (this.hasEnded || this.isFrozen) {
      return;
    }
    this.onFatal(run);
    if (effect === 'freeze' || effect === 'dark') {
      this.freeze(effect === 'dark');
    } else {
      this.end();
    }
  }

  private freeze(refusesConnections: boolean): void {
    this.isFrozen = true;
    if (refusesConnections) {
      this.server.close();
    }
  }

  private respond(
    request: IncomingMessage,
    response: ServerResponse,
    behaviour: RunnerBehaviour,
    requestId: string,
    endMidway?: () => void,
  ): void {
    const { names } = this.options;
    if (this.isFrozen) {
      return;
    }
    switch (behaviour) {
      case 'loseAnswer':
        request.socket.destroy();
        return;
      case 'silent':
        return;
      case 'endless':
        this.respondEndless(request.socket, requestId);
        return;
      case 'spoiledHead':
        this.respondSpoiled(request.socket, requestId);
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
          this.respondStream(request, response, behaviour, requestId, endMidway);
        } else {
          this.respondPlain(request, response, behaviour, requestId);
        }
    }
  }

  private respondSpoiled(socket: Socket, requestId: string): void {
    const statusLine = SPOILED_STATUS_LINES[this.runs.length % SPOILED_STATUS_LINES.length]!;
    const lines = Object.entries(this.headersOf(requestId)).map(
      ([name, value]) => `${name}: ${value}\r\n`,
    );
    socket.end(`${statusLine}\r\n${lines.join('')}connection: close\r\n\r\nspoiled`, 'latin1');
  }

  private respondEndless(socket: Socket, requestId: string): void {
    const form = this.endlessForm();
    const refusal = REFUSAL_STATUSES.has(form.status)
      ? { [this.options.names.notExecuted]: '1' }
      : {};
    const headers = { ...this.headersOf(requestId), ...refusal };
    this.endlessRecords.push(sendEndless(socket, form, headers));
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
    if (isUnframed(behaviour)) {
      const half = Math.floor(body.length / 2);
      // An orderly end within a plain body is indistinguishable from the end of a whole one.
      const provable = behaviour === 'endWithinEvent' ? 'unframed' : behaviour;
      this.noteUnframed(request.socket, provable);
      sendUnframed(request.socket, {
        headers: this.headersOf(requestId),
        parts: [body.slice(0, half), body.slice(half)],
        pauseMilliseconds: this.options.pauseMilliseconds ?? 1,
        behaviour: provable,
      });
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
    endMidway?: () => void,
  ): void {
    const { pauseMilliseconds = 1, names } = this.options;
    const eventCount = readQueryNumber(request, EVENTS_QUERY) ?? this.options.eventCount ?? 4;
    const paddedBytes = readQueryNumber(request, PADDING_QUERY) ?? this.options.eventBytes ?? 0;
    const firstEventId = Number(request.headers[names.lastEventId] ?? 0) + 1;
    const type = { 'content-type': 'text/event-stream' };
    const answeredId = behaviour === 'wrongId' ? 'another-request' : requestId;
    const eventOf = (id: number): string =>
      `id: ${id}\ndata: ${this.textOf(id).padEnd(paddedBytes, '.')}\n\n`;
    if (isUnframed(behaviour)) {
      this.noteUnframed(request.socket, behaviour);
      const count = Math.max(0, eventCount - firstEventId + 1);
      sendUnframed(request.socket, {
        headers: { ...this.headersOf(requestId), ...type },
        parts: Array.from({ length: count }, (_, index) => eventOf(firstEventId + index)),
        pauseMilliseconds,
        behaviour,
      });
      return;
    }
    response.writeHead(200, { ...this.headersOf(answeredId), ...type });
    const sendEvent = (id: number): void => {
      if (response.destroyed || this.isFrozen) {
        return;
      }
      if (endMidway !== undefined && id >= firstEventId + EVENTS_BEFORE_END) {
        endMidway();
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
      const isWritable = response.write(eventOf(id));
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

  private noteUnframed(socket: Socket, behaviour: UnframedBehaviour): void {
    this.unframedSockets.add(socket);
    this.unframed.sent += 1;
    this.unframed.broken += behaviour === 'unframed' ? 0 : 1;
  }

  private textOf(event: number): string {
    const { softwareVersion } = this.options;
    return softwareVersion === undefined
      ? `event ${event}`
      : `event ${event} by ${softwareVersion}`;
  }

  private headersOf(requestId: string): Record<string, string> {
    const { names, id } = this.options;
    return { [names.requestId]: requestId, [names.signature]: `signed by ${id}` };
  }
}
