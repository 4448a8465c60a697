/**
 * Accepts client requests over HTTP/1.1, enforces their limits, finds their routes and starts their
 * calls.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import { maximumFramingBytes } from '../../http-client/framing-limit.js';
import { limitRequests } from '../../http-server/limit-requests.js';
import type { ServerConnection, ServerExchange } from '../../http-server/server-connection.js';
import { ServerConnections } from '../../http-server/server-connections.js';
import type { Listeners } from '../../runtime/listeners.js';
import { ClientAnswer } from '../answers/client-answer.js';
import {
  interruptedByException,
  memoryLimitReached,
  stopped,
  waitedTooLong,
} from '../answers/local-answers.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import type { RelayContext } from '../relay-context.js';
import { RequestBoundary } from '../request/request-boundary.js';
import type { RoutingTable } from '../request/routing-table.js';
import { createIngressRequest } from '../stages/ingress-request.js';
import type { IngressRequest } from '../stages/ingress-request.js';
import { BODY_STAGES, HEAD_STAGES, runIngressStages, refusal } from '../stages/ingress-stages.js';
import type { StageRefusal } from '../stages/stage.js';
import { RelayCall } from '../tries/relay-call.js';
import { readBody } from './body-reader.js';
import type { BodyResult, RefuseBody } from './body-reader.js';
import { clientTimeoutMilliseconds, headOf, parseRequest } from './request-parser.js';

/** Maximum header size of Node's parser, in bytes; the configured limit is checked afterwards. */
const PARSER_HEADER_BYTES = 64 * 1024;
/** A head is read up to this many times its limit, so that its client gets a reason with the refusal. */
const HEAD_READ_FACTOR = 2;
const TIMEOUT_CHECK_MILLISECONDS = 1_000;
/** Maximum number of connections waiting to be accepted. */
const BACKLOG = 1_024;
/** Bytes of a request that are read after a refusal, so that its client can read it; more if a body may have more. */
const MINIMUM_REST_BYTES = 16 * 1024 * 1024;
const BAD_REQUEST = 400;
/** Stage name for requests that are refused while their body is read. */
const BODY_STAGE = 'body';
/** Stage name for what is no request, or no whole head. */
const INPUT_STAGE = 'input';
/** Stage name for requests that waited too long for earlier ones of their connection. */
const ORDER_STAGE = 'order';
/** Stage name for requests that are refused because the gateway stops. */
const STOP_STAGE = 'stop';
/** Time after the begin of a stop from which on requests that may not end within it are refused, in milliseconds. */
const LATE_MILLISECONDS = 2_900;
/** Longest time in which answers are passed on at the end of a planned stop, in milliseconds. */
const FLUSH_MILLISECONDS = 400;
/** Answers to requests whose body could not be read. */
const BODY_REFUSALS: Readonly<Record<Exclude<BodyResult['tag'], 'Whole'>, () => LocalAnswer>> = {
  TooMuchFraming: () => refusal(400, 'too many bytes around the content of the body'),
  TooLarge: () => refusal(413, 'the body exceeds the bound'),
  Late: () => refusal(408, 'the body did not come in time'),
  NoMemory: memoryLimitReached,
  Idle: () => refusal(408, 'the body came too slowly while memory was short'),
  Stopped: () => stopped(false),
};
/** Results after which the rest of a body is not read, so that the answer closes the connection. */
const CLOSING_RESULTS: ReadonlySet<BodyResult['tag']> = new Set(['Late', 'NoMemory', 'Idle']);
/** Estimate of what a request in progress takes in the heap beside its head, in bytes. */
const REQUEST_BYTES = 8 * 1024;
/** Factor from the bytes of a head to what it takes in the heap: it is held as raw and as parsed headers. */
const HEAD_BYTES_FACTOR = 2;

/** Estimates what a request takes in the heap while it is in progress, in bytes. */
function heapBytesOf({ rawHeaders, url = '' }: IncomingMessage): number {
  const headBytes = rawHeaders.reduce((sum, { length }) => sum + length, url.length);
  return REQUEST_BYTES + headBytes * HEAD_BYTES_FACTOR;
}

/** A request in progress at ingress. */
interface Arrival {
  readonly exchange: ServerExchange;
  readonly answer: ClientAnswer;
  readonly ingress: IngressRequest;
  /** Estimate of what it takes in the heap. */
  readonly requestBytes: number;
}

/** HTTP server for the requests of clients. */
export class RelayFront {
  private readonly server: Server;
  private readonly connections: ServerConnections;
  private readonly boundaries = new WeakMap<IncomingMessage, RequestBoundary>();
  /** Ends reading a request's body with a refusal that closes the connection. */
  private readonly bodyRefusals = new WeakMap<IncomingMessage, RefuseBody>();
  private readonly inputs = new WeakMap<ServerConnection, MemoryAllocation>();
  /** Answers the requests that are being served, at the end of a planned stop. */
  private readonly interruptions = new Map<ServerExchange, () => void>();
  private draining = false;
  /** Local time from which on a request is only started if its time is over before the stop ends, in milliseconds. */
  private lateFrom = Infinity;
  /** Local time at which requests in progress are interrupted, in milliseconds. */
  private endsAt = Infinity;
  private interrupted = false;
  private restBytes = MINIMUM_REST_BYTES;
  /** Bytes from which on the head of a request is not read to its end. */
  private headBytes = PARSER_HEADER_BYTES;
  /** Called once nothing is in progress; undefined unless the gateway stops. */
  private onIdle: (() => void) | undefined;

  /** @param maximumConnections most connections of clients that are open at a time */
  constructor(
    private readonly context: RelayContext,
    maximumConnections = Infinity,
  ) {
    this.server = createServer({
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
      keepAliveTimeout: 0,
      requestTimeout: 0,
      // Node would answer and close by itself, whatever is in progress.
      requireHostHeader: false,
      noDelay: true,
    });
    limitRequests(this.server, {
      restBytes: () => this.restBytes,
      onExceeded: (reason, request) => this.refuseExcess(reason, request),
    });
    this.connections = new ServerConnections(this.server, {
      runtime: context.runtime,
      maximumConnections,
      isClosing: () => this.isClosing,
      serve: (exchange) => this.handleRequest(exchange),
      runListener: (request, listener) => this.boundaryOf(request).run(listener),
      mayReadAhead: () => context.memory.acceptsBodies,
      maximumHeadBytes: () => this.headBytes,
      onReceived: context.onBuffered,
      onHeld: (connection) => this.noteInput(connection),
      onInputRefused: (status) =>
        this.noteRefusal(undefined, undefined, INPUT_STAGE, Number.parseInt(status, 10), status),
      makeRoom: () => context.memory.refuseIdleSender(),
      onUnserved: () => context.metrics.count('ivyloom_relay_unserved_requests_total'),
      onProgress: () => this.checkIdle(),
    });
  }

  /** Number of requests in progress. */
  get activeCount(): number {
    return this.connections.openRequests;
  }

  /** Starts to listen; calls back once the server listens. */
  listen(host: string, port: number, listeners: Listeners, done: () => void): void {
    const address = { purpose: 'clients', host, port, backlog: BACKLOG };
    listeners.listen(this.server, address, done);
  }

  /** Applies the timeouts of a new configuration to connections from now on. */
  applyLimits(table: RoutingTable): void {
    this.server.keepAliveTimeout = table.limits.idleMilliseconds;
    this.server.headersTimeout = table.limits.headerMilliseconds;
    const { bodyBytes, headerBytes } = table.limits;
    this.headBytes = Math.min(headerBytes * HEAD_READ_FACTOR, PARSER_HEADER_BYTES);
    this.restBytes = Math.max(MINIMUM_REST_BYTES, bodyBytes + maximumFramingBytes(bodyBytes));
  }

  /**
   * Makes each answer close its connection from now on.
   * @param endsAt local time at which requests in progress will be interrupted, in milliseconds
   */
  startDraining(endsAt: number): void {
    this.draining = true;
    this.lateFrom = this.context.runtime.now() + LATE_MILLISECONDS;
    this.endsAt = endsAt;
  }

  /**
   * Stops accepting connections, closes idle ones, and calls back once no request is in progress and all answers are delivered.
   */
  stop(done: () => void): void {
    this.onIdle = done;
    this.connections.stopListening();
    this.checkIdle();
  }

  /**
   * Ends the requests in progress with answers that tell whether they may have run, and calls back once these are delivered. An answer
   * that has begun is broken off.
   */
  interrupt(done: () => void): void {
    this.interrupted = true;
    this.onIdle = done;
    this.context.runtime.setTimer(FLUSH_MILLISECONDS, done);
    [...this.interruptions.values()].forEach((interruptRequest) => interruptRequest());
    this.checkIdle();
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.server.close();
    this.connections.destroyAll();
  }

  /**
   * Whether answers close their connection, so that clients reconnect, possibly to another gateway.
   */
  private get isClosing(): boolean {
    return this.draining || !this.context.turns.isReachable;
  }

  private boundaryOf(request: IncomingMessage): RequestBoundary {
    let boundary = this.boundaries.get(request);
    if (boundary === undefined) {
      const id = headOf(request).header(this.context.names.requestId) ?? '';
      boundary = new RequestBoundary(this.context.exceptions, id);
      this.boundaries.set(request, boundary);
    }
    return boundary;
  }

  private handleRequest(exchange: ServerExchange): void {
    const { request, response } = exchange;
    const boundary = this.boundaryOf(request);
    boundary.setCleanup(() => response.destroy());
    boundary.run(() => this.startRequest(exchange, boundary));
  }

  /** Refuses a request whose body is being read. One that was answered before its end was refused and counted then. */
  private refuseExcess(reason: string, request: IncomingMessage | undefined): boolean {
    if (request === undefined) {
      this.noteRefusal(request, undefined, BODY_STAGE, BAD_REQUEST, reason);
      return false;
    }
    this.connections.closeAfter(request);
    return this.bodyRefusals.get(request)?.('TooMuchFraming') === true;
  }

  private startRequest(exchange: ServerExchange, boundary: RequestBoundary): void {
    const { names, runtime, memory } = this.context;
    const { request, response, completion } = exchange;
    const head = headOf(request);
    const answer = new ClientAnswer(response, {
      completion,
      runtime,
      memory,
      requestIdHeader: names.requestId,
      requestId: head.header(names.requestId) ?? '',
    });
    const requestBytes = heapBytesOf(request);
    const heap = memory.allocate('requests');
    heap.set(requestBytes);
    completion.onComplete(() => heap.release());
    const ingress = createIngressRequest(this.context, head);
    const arrival = { exchange, answer, ingress, requestBytes };
    boundary.setCleanup(() => answer.sendLocalOrAbort(interruptedByException(false), ingress.id));
    const refusalBefore = this.refusalBeforeStages(arrival);
    if (refusalBefore !== undefined) {
      this.refuse(arrival, refusalBefore, answer.requestId);
      return;
    }
    const headRefusal = runIngressStages(ingress, HEAD_STAGES);
    if (headRefusal !== undefined) {
      this.refuse(arrival, headRefusal);
      return;
    }
    if (exchange.expectation === 'continue') {
      response.writeContinue();
    }
    this.readRequestBody(
      arrival,
      boundary.guard((body: Buffer) => this.startCall(arrival, body, boundary)),
    );
  }

  /** Refuses what is known to be in vain when the turn of a request comes. */
  private refusalBeforeStages({ exchange, ingress }: Arrival): StageRefusal | undefined {
    if (this.interrupted) {
      return { stage: STOP_STAGE, answer: stopped(false) };
    }
    if (exchange.expectation === 'unknown') {
      return { stage: INPUT_STAGE, answer: refusal(417, 'what the request expects is not known') };
    }
    if (exchange.request.httpVersion === '1.1' && ingress.head.header('host') === undefined) {
      return { stage: INPUT_STAGE, answer: refusal(400, 'the header host is missing') };
    }
    const waited = this.context.runtime.now() - exchange.arrivedAt;
    return waited >= clientTimeoutMilliseconds(ingress)
      ? { stage: ORDER_STAGE, answer: waitedTooLong() }
      : undefined;
  }

  private startCall(arrival: Arrival, body: Buffer, boundary: RequestBoundary): void {
    const { ingress, answer, exchange } = arrival;
    const latestIngress = { ...ingress, table: this.context.currentTable() ?? ingress.table };
    const bodyRefusal = runIngressStages(latestIngress, BODY_STAGES);
    if (bodyRefusal !== undefined) {
      this.refuse(arrival, bodyRefusal);
      return;
    }
    if (this.mayOutlastStop(arrival)) {
      this.refuse(arrival, { stage: STOP_STAGE, answer: stopped(false) });
      return;
    }
    const { tenant } = latestIngress;
    const parsed = parseRequest({ ...ingress, tenant }, body, exchange.arrivedAt);
    const call = new RelayCall(this.context, parsed, answer, boundary);
    this.setInterruption(exchange, () => call.interrupt());
    call.start();
  }

  private mayOutlastStop({ ingress, exchange }: Arrival): boolean {
    const milliseconds = Math.min(
      clientTimeoutMilliseconds(ingress),
      ingress.route!.timeoutMilliseconds,
    );
    const isLate = this.context.runtime.now() >= this.lateFrom;
    return isLate && exchange.arrivedAt + milliseconds > this.endsAt;
  }

  /** Sets how a request is answered if the gateway stops before its answer. */
  private setInterruption(exchange: ServerExchange, interrupt: () => void): void {
    const { request, completion } = exchange;
    if (!this.interruptions.has(exchange)) {
      completion.onComplete(() => this.interruptions.delete(exchange));
    }
    this.interruptions.set(exchange, this.boundaryOf(request).guard(interrupt));
  }

  private refuse(
    { exchange, answer, ingress }: Arrival,
    { stage, answer: localAnswer }: StageRefusal,
    id = ingress.id,
  ): void {
    const { request } = exchange;
    this.noteRefusal(request, id, stage, localAnswer.status, localAnswer.detail);
    request.resume();
    answer.sendLocal(localAnswer, id);
  }

  private noteRefusal(
    request: IncomingMessage | undefined,
    id: string | undefined,
    stage: string,
    status: number,
    reason: string,
  ): void {
    const version = this.context.currentTable()?.version ?? -1;
    this.context.runtime.log('info', 'request refused at ingress', {
      event: 'relay.refused',
      request: id ?? '',
      host: request?.headers.host ?? '',
      path: request?.url ?? '',
      stage,
      status,
      reason,
      version,
    });
    this.context.metrics.count('ivyloom_relay_door_refusals_total', `status="${status}"`);
  }

  private readRequestBody(arrival: Arrival, done: (body: Buffer) => void): void {
    const { runtime, memory } = this.context;
    const { exchange, ingress } = arrival;
    const { request, completion, arrivedAt } = exchange;
    const allocation = memory.allocate('bodies');
    completion.onComplete(() => allocation.release());
    const { bodyBytes: limitBytes, idleMilliseconds } = ingress.table!.limits;
    const waited = runtime.now() - arrivedAt;
    const timeoutMilliseconds = clientTimeoutMilliseconds(ingress) - waited;
    const limits = { limitBytes, timeoutMilliseconds, idleMilliseconds };
    const options = { runtime, memory, ...limits, requestBytes: arrival.requestBytes };
    const refuseBody = readBody(request, options, allocation, (result) => {
      if (result.tag === 'Whole') {
        done(result.body);
        return;
      }
      if (CLOSING_RESULTS.has(result.tag)) {
        this.connections.closeAfter(request);
      }
      this.refuse(arrival, { stage: BODY_STAGE, answer: BODY_REFUSALS[result.tag]() });
    });
    this.bodyRefusals.set(request, refuseBody);
    this.setInterruption(exchange, () => refuseBody('Stopped'));
  }

  /** Counts what a connection holds that belongs to no request yet. */
  private noteInput(connection: ServerConnection): void {
    const { memory } = this.context;
    let allocation = this.inputs.get(connection);
    if (allocation === undefined) {
      allocation = memory.allocate('input');
      this.inputs.set(connection, allocation);
    }
    allocation.set(connection.heldBytes);
    // A body that waits here for memory isn't late by its client's fault.
    if (connection.heldBytes > 0 && !connection.isReceivingBody) {
      memory.addSender(connection);
    } else {
      memory.removeSender(connection);
    }
  }

  private checkIdle(): void {
    if (this.onIdle !== undefined && this.connections.isQuiet) {
      this.onIdle();
    }
  }
}
