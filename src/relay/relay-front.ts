/** Takes clients' requests over HTTP/1.1, bounds them, finds their route, and starts their calls. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { authenticate } from './authenticate.js';
import type { Authentication } from './authenticate.js';
import { ClientAnswer } from './client-answer.js';
import type { OwnAnswer } from './client-answer.js';
import { RETRY_WITHOUT_PROOF_SECONDS } from './own-answers.js';
import { RelayCall } from './relay-call.js';
import type { RelayContext } from './relay-context.js';
import { parsePromptParts, parseTokenUsage } from './relay-request.js';
import type { ProgramReference, RelayRequest } from './relay-request.js';
import { findRoute, hostName } from './routing-table.js';
import type { Route, RoutingTable } from './routing-table.js';
import type { Tenant } from './tenant.js';

/** Largest header that Node itself reads, in bytes; the configured limit is checked after. */
const PARSER_HEADER_BYTES = 64 * 1024;
const CHECK_MILLISECONDS = 1_000;
const RETRY_WITHOUT_CONFIGURATION_SECONDS = 0.2;
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
/** Longest queue of connections that are not accepted yet. */
const BACKLOG = 1_024;
/** Bytes that each header takes beside its name and value. */
const HEADER_LINE_BYTES = 4;

/** A request that is refused before it becomes a call. */
const NO_CONFIGURATION: OwnAnswer = {
  status: 503,
  detail: 'no configuration is known here yet',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_CONFIGURATION_SECONDS,
};
const NO_ROUTE: OwnAnswer = {
  status: 404,
  detail: 'no route takes this host and path',
  verdict: 'NotRun',
};

/** The route may have been added since: a 404 would be final for the client. */
const ROUTE_UNKNOWN: OwnAnswer = {
  status: 503,
  detail: 'no route is known here, and the newest configuration could not be read',
  verdict: 'NotRun',
  retryAfterSeconds: RETRY_WITHOUT_PROOF_SECONDS,
};

function refusal(status: number, detail: string): OwnAnswer {
  return { status, detail, verdict: 'NotRun' };
}

function single(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function headerBytes(rawHeaders: readonly string[]): number {
  let bytes = 0;
  for (const part of rawHeaders) {
    bytes += part.length;
  }
  return bytes + (rawHeaders.length / 2) * HEADER_LINE_BYTES;
}

/** A request whose head is in order. */
interface CheckedRequest {
  readonly table: RoutingTable;
  readonly route: Route;
  readonly id: string;
}

/** See the head of this file. */
export class RelayFront {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  /** Requests under way. */
  activeCount = 0;
  private draining = false;
  private onIdle: () => void = () => undefined;

  constructor(private readonly context: RelayContext) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_MILLISECONDS,
        keepAliveTimeout: 0,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => this.take(request, response),
    );
    this.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      response.writeContinue();
      this.take(request, response);
    });
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  /** Listens; calls back when it does. */
  listen(host: string, port: number, done: () => void): void {
    this.server.listen({ host, port, backlog: BACKLOG }, done);
  }

  /** Takes the limits of a new configuration for connections from now on. */
  applyLimits(table: RoutingTable): void {
    this.server.keepAliveTimeout = table.limits.idleMilliseconds;
    this.server.headersTimeout = table.limits.headerMilliseconds;
  }

  /** From now on each answer closes its connection. */
  startDraining(): void {
    this.draining = true;
  }

  /** Takes no new connections, closes idle ones, and calls back when no request is under way. */
  stop(done: () => void): void {
    this.onIdle = done;
    this.server.close();
    this.server.closeIdleConnections();
    this.checkIdle();
  }

  /** Breaks every connection and stops listening. */
  close(): void {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Clients are to come back over another connection, which may lead to another gateway. */
  private get isClosing(): boolean {
    return this.draining || !this.context.turns.isReachable;
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const { names, runtime } = this.context;
    const arrivedAt = runtime.now();
    const answer = new ClientAnswer(response, names.requestId, () => this.isClosing);
    this.activeCount += 1;
    response.on('close', () => {
      this.activeCount -= 1;
      this.checkIdle();
    });
    const id = single(request.headers[names.requestId]);
    const checked = this.check(request, id);
    if ('refusal' in checked) {
      this.refuse(request, answer, checked.refusal, id);
      return;
    }
    this.readBody(request, answer, checked.table, (body) => {
      // Asked once the request is read whole: what is decided by a proof counts from that moment.
      const table = this.context.currentTable() ?? checked.table;
      const whose = this.authenticate(request, table, checked.route);
      if (whose.tag === 'Refused') {
        this.refuse(request, answer, whose.answer, id);
        return;
      }
      const tenant = whose.tag === 'Known' ? whose.tenant : undefined;
      const parsed = this.parse(request, checked, tenant, body, arrivedAt);
      new RelayCall(this.context, parsed, answer).start();
    });
  }

  private check(
    request: IncomingMessage,
    id: string | undefined,
  ): { refusal: OwnAnswer } | CheckedRequest {
    const table = this.context.currentTable();
    if (table === undefined) {
      return { refusal: NO_CONFIGURATION };
    }
    if (headerBytes(request.rawHeaders) > table.limits.headerBytes) {
      return { refusal: refusal(431, 'the headers exceed the bound') };
    }
    const route = findRoute(table, hostName(request.headers.host ?? ''), request.url ?? '');
    if (route === undefined) {
      return { refusal: this.context.isTableProven() ? NO_ROUTE : ROUTE_UNKNOWN };
    }
    if (id === undefined || id === '') {
      return { refusal: refusal(400, `the header ${this.context.names.requestId} is missing`) };
    }
    if (Number(request.headers['content-length'] ?? 0) > table.limits.bodyBytes) {
      return { refusal: refusal(413, 'the body exceeds the bound') };
    }
    const whose = this.authenticate(request, table, route);
    return whose.tag === 'Refused' ? { refusal: whose.answer } : { table, route, id };
  }

  private authenticate(
    request: IncomingMessage,
    table: RoutingTable,
    route: Route,
  ): Authentication {
    const { context } = this;
    return authenticate(table, route, request.rawHeaders, context.names, () => ({
      isProven: context.isTableProven(),
      areKeysFresh: context.areKeysFresh(),
    }));
  }

  private refuse(
    request: IncomingMessage,
    answer: ClientAnswer,
    own: OwnAnswer,
    id: string | undefined,
  ): void {
    const version = this.context.currentTable()?.version ?? -1;
    this.context.runtime.log('info', 'request refused at the door', {
      event: 'relay.refused',
      request: id ?? '',
      host: request.headers.host ?? '',
      path: request.url ?? '',
      status: own.status,
      reason: own.detail,
      version,
    });
    this.context.metrics.count('ivyloom_relay_door_refusals_total', `status="${own.status}"`);
    request.resume();
    answer.sendOwn(own, id);
  }

  private readBody(
    request: IncomingMessage,
    answer: ClientAnswer,
    table: RoutingTable,
    done: (body: Buffer) => void,
  ): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let over = false;
    const timeout = this.timeoutOf(request);
    const cancel = this.context.runtime.setTimer(timeout, () => {
      over = true;
      this.refuse(request, answer, refusal(408, 'the body did not come in time'), undefined);
    });
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (!over && bytes > table.limits.bodyBytes) {
        over = true;
        cancel();
        this.refuse(request, answer, refusal(413, 'the body exceeds the bound'), undefined);
      } else if (!over) {
        chunks.push(chunk);
      }
    });
    request.on('error', () => cancel());
    request.on('close', () => cancel());
    request.on('end', () => {
      cancel();
      if (!over) {
        over = true;
        done(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
      }
    });
  }

  private timeoutOf(request: IncomingMessage): number {
    const value = Number(single(request.headers[this.context.names.timeout]));
    return Number.isFinite(value) && value > 0 ? value : DEFAULT_TIMEOUT_MILLISECONDS;
  }

  private parse(
    request: IncomingMessage,
    { id, route, table }: CheckedRequest,
    tenant: Tenant | undefined,
    body: Buffer,
    arrivedAt: number,
  ): RelayRequest {
    const { names } = this.context;
    const header = (name: string): string | undefined => single(request.headers[name]);
    const programLeft = Number(header(names.programDeadline) ?? NaN);
    const usage = parseTokenUsage(header(names.tokenUsage));
    return {
      id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: request.rawHeaders,
      body,
      arrivedAt,
      deadlineAt: arrivedAt + this.timeoutOf(request),
      route,
      tenant,
      hidesKey: table.tenants !== undefined,
      configurationVersion: table.version,
      program: this.programOf(header),
      programDeadlineAt: Number.isFinite(programLeft) ? arrivedAt + programLeft : undefined,
      previousTurn: header(names.previousTurn),
      lastEventId: header(names.lastEventId),
      promptParts: parsePromptParts(header(names.promptParts)),
      promptTokens: usage.prompt,
      maximumOutputTokens: usage.output,
      affinityKey: header(names.affinity),
    };
  }

  private programOf(header: (name: string) => string | undefined): ProgramReference | undefined {
    const { names } = this.context;
    const program = header(names.program);
    if (program === undefined) {
      return undefined;
    }
    const budget = header(names.tokenBudget);
    const budgetTokens = budget === undefined ? undefined : Number(budget);
    return { program, session: header(names.session) ?? program, budgetTokens };
  }

  private checkIdle(): void {
    if (this.activeCount === 0) {
      this.onIdle();
    }
  }
}
