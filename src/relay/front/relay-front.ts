/**
 * Accepts client requests over HTTP/1.1, enforces their limits, finds their routes and starts their
 * calls.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { maximumFramingBytes } from '../../http-client/framing-limit.js';
import { limitRequests } from '../../http-server/limit-requests.js';
import type { Listeners } from '../../runtime/listeners.js';
import { ClientAnswer } from '../answers/client-answer.js';
import { interruptedByException, memoryLimitReached } from '../answers/local-answers.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import type { RelayContext } from '../relay-context.js';
import { RequestBoundary } from '../request/request-boundary.js';
import type { RoutingTable } from '../request/routing-table.js';
import { createIngressRequest } from '../stages/ingress-request.js';
import type { IngressRequest, RequestHead } from '../stages/ingress-request.js';
import { BODY_STAGES, HEAD_STAGES, runIngressStages, refusal } from '../stages/ingress-stages.js';
import type { StageRefusal } from '../stages/stage.js';
import { RelayCall } from '../tries/relay-call.js';
import { readBody } from './body-reader.js';
import type { BodyResult } from './body-reader.js';
import { RequestCompletions } from './request-completions.js';
import type { RequestCompletion } from './request-completions.js';
import { clientTimeoutMilliseconds, headOf, parseRequest } from './request-parser.js';

/** Maximum header size of Node's parser, in bytes; the configured limit is checked afterwards. */
const PARSER_HEADER_BYTES = 64 * 1024;
const TIMEOUT_CHECK_MILLISECONDS = 1_000;
/** Maximum number of connections waiting to be accepted. */
const BACKLOG = 1_024;
/** Bytes of a request that are read after a refusal, so that its client can read it; more if a body may have more. */
const MINIMUM_REST_BYTES = 16 * 1024 * 1024;
const BAD_REQUEST = 400;
/** Stage name for requests that are refused while their body is read. */
const BODY_STAGE = 'body';
/** Answers to requests whose body could not be read. */
const BODY_REFUSALS: Readonly<Record<Exclude<BodyResult['tag'], 'Whole'>, () => LocalAnswer>> = {
  TooMuchFraming: () => refusal(400, 'too many bytes around the content of the body'),
  TooLarge: () => refusal(413, 'the body exceeds the bound'),
  Late: () => refusal(408, 'the body did not come in time'),
  NoMemory: memoryLimitReached,
};

/** HTTP server for the requests of clients. */
export class RelayFront {
  private readonly server: Server;
  private readonly completions = new RequestCompletions();
  /** Requests with too many bytes around their content: their answers close the connection. */
  private readonly excessive = new WeakSet<IncomingMessage>();
  /** Ends reading a request's body with a refusal that closes the connection. */
  private readonly bodyRefusals = new WeakMap<IncomingMessage, () => boolean>();
  /** Number of requests in progress. */
  activeCount = 0;
  private draining = false;
  private restBytes = MINIMUM_REST_BYTES;
  private onIdle: () => void = () => undefined;

  constructor(private readonly context: RelayContext) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
        keepAliveTimeout: 0,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => this.handleRequest(request, response),
    );
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      response.writeContinue();
      this.handleRequest(request, response);
    });
    this.server.on('connection', (socket: Socket) => this.completions.addSocket(socket));
    limitRequests(this.server, {
      restBytes: () => this.restBytes,
      onExceeded: (reason, request) => this.refuseExcess(reason, request),
    });
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
    const { bodyBytes } = table.limits;
    this.restBytes = Math.max(MINIMUM_REST_BYTES, bodyBytes + maximumFramingBytes(bodyBytes));
  }

  /** Makes each answer close its connection from now on. */
  startDraining(): void {
    this.draining = true;
  }

  /**
   * Stops accepting connections, closes idle ones, and calls back once no request is in progress.
   */
  stop(done: () => void): void {
    this.onIdle = done;
    this.server.close();
    this.server.closeIdleConnections();
    this.checkIdle();
  }

  /** Stops listening and destroys all connections. */
  close(): void {
    this.server.close();
    this.completions.destroyAll();
  }

  /**
   * Whether answers close their connection, so that clients reconnect, possibly to another gateway.
   */
  private get isClosing(): boolean {
    return this.draining || !this.context.turns.isReachable;
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const head = headOf(request);
    const requestId = head.header(this.context.names.requestId) ?? '';
    const boundary = new RequestBoundary(this.context.exceptions, requestId);
    boundary.setCleanup(() => response.destroy());
    boundary.run(() => this.startRequest(request, response, head, boundary));
  }

  /** Refuses a request whose body is being read. One that was answered before its end was refused and counted then. */
  private refuseExcess(reason: string, request: IncomingMessage | undefined): boolean {
    if (request === undefined) {
      this.noteRefusal(request, undefined, BODY_STAGE, BAD_REQUEST, reason);
      return false;
    }
    this.excessive.add(request);
    return this.bodyRefusals.get(request)?.() === true;
  }

  private startRequest(
    request: IncomingMessage,
    response: ServerResponse,
    head: RequestHead,
    boundary: RequestBoundary,
  ): void {
    const { names, runtime } = this.context;
    const arrivedAt = runtime.now();
    const completion = this.completions.track(request.socket, response, (listener) =>
      boundary.run(listener),
    );
    const answer = new ClientAnswer(response, {
      completion,
      runtime,
      memory: this.context.memory,
      requestIdHeader: names.requestId,
      requestId: head.header(names.requestId) ?? '',
      isClosing: () => this.isClosing || this.excessive.has(request),
      onClosing: () => this.completions.noteClosingAnswer(request.socket),
    });
    this.activeCount += 1;
    completion.onComplete(() => {
      this.activeCount -= 1;
      this.checkIdle();
    });
    const ingress = createIngressRequest(this.context, head);
    boundary.setCleanup(() => answer.sendLocalOrAbort(interruptedByException(false), ingress.id));
    const headRefusal = runIngressStages(ingress, HEAD_STAGES);
    if (headRefusal !== undefined) {
      this.refuse(request, answer, headRefusal, ingress.id);
      return;
    }
    const handleBody = boundary.guard((body: Buffer) => {
      const latestIngress = { ...ingress, table: this.context.currentTable() ?? ingress.table };
      const bodyRefusal = runIngressStages(latestIngress, BODY_STAGES);
      if (bodyRefusal !== undefined) {
        this.refuse(request, answer, bodyRefusal, ingress.id);
        return;
      }
      const parsed = parseRequest({ ...ingress, tenant: latestIngress.tenant }, body, arrivedAt);
      new RelayCall(this.context, parsed, answer, boundary).start();
    });
    this.readRequestBody(request, completion, answer, ingress, handleBody);
  }

  private refuse(
    request: IncomingMessage,
    answer: ClientAnswer,
    { stage, answer: localAnswer }: StageRefusal,
    id: string | undefined,
  ): void {
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

  private readRequestBody(
    request: IncomingMessage,
    completion: RequestCompletion,
    answer: ClientAnswer,
    ingress: IngressRequest,
    done: (body: Buffer) => void,
  ): void {
    const { runtime, memory } = this.context;
    const allocation = memory.allocate('bodies');
    completion.onComplete(() => allocation.release());
    const { bodyBytes: limitBytes } = ingress.table!.limits;
    const options = {
      runtime,
      memory,
      limitBytes,
      timeoutMilliseconds: clientTimeoutMilliseconds(ingress),
    };
    const refuseBody = readBody(request, options, allocation, (result) => {
      if (result.tag === 'Whole') {
        done(result.body);
        return;
      }
      this.refuse(
        request,
        answer,
        { stage: BODY_STAGE, answer: BODY_REFUSALS[result.tag]() },
        ingress.id,
      );
    });
    this.bodyRefusals.set(request, refuseBody);
  }

  private checkIdle(): void {
    if (this.activeCount === 0) {
      this.onIdle();
    }
  }
}
