/** The HTTP server of a node, for callers and operators: routing, authentication, limits. */
import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import type { KeyDocument } from '../configuration/documents.js';
import { maximumFramingBytes } from '../http-client/framing-limit.js';
import { limitRequests } from '../http-server/limit-requests.js';
import type { ServerExchange } from '../http-server/server-connection.js';
import { ServerConnections } from '../http-server/server-connections.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';
import type { IvyloomNode } from '../node/node.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { ProgramAction } from '../wire/messages.js';
import { runStatement } from '../language/run-statement.js';
import { renderMetrics } from '../telemetry/metrics.js';
import { authenticate, requireRole } from './authentication.js';
import { createCallId, shardOfCallId } from './call-id.js';
import { parseChat, parseToolCall } from './call-parsing.js';
import type { ParsedCall, ParsingContext } from './call-parsing.js';
import { sendChatAnswer, sendToolAnswer, streamChat } from './chat-answer.js';
import { MAXIMUM_BODY_BYTES, readBody, readJsonBody } from './http-body.js';
import { sendProblem } from './problem.js';
import type { ProgramResult } from './gateway.js';

/** Maximum size of a request's headers, in bytes. */
const MAXIMUM_HEADER_BYTES = 16 * 1024;
/** Timeout for receiving a request's headers, in milliseconds. */
const HEADERS_TIMEOUT_MILLISECONDS = 10_000;
/** Timeout for receiving a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 60_000;
/** Bytes of a request that are read after its answer, so that a refused client that sends a whole body can read it. */
const MAXIMUM_REST_BYTES = MAXIMUM_BODY_BYTES + maximumFramingBytes(MAXIMUM_BODY_BYTES);
/** Maximum number of open connections. */
const MAXIMUM_CONNECTIONS = 20_000;
/**
 * Interval of the checks while the server drains, in milliseconds. An answer that its caller has not taken from one to the next is given
 * up, and calls that wait for earlier ones of their connection are no longer started after the first.
 */
const DRAIN_CHECK_MILLISECONDS = 10_000;
/** Number of random bytes in a generated name. */
const NAME_BYTES = 12;
const FIRST_ERROR_STATUS = 400;
const MILLISECONDS_PER_SECOND = 1_000;

/** An authenticated request and its response. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly path: readonly string[];
  readonly key: KeyDocument;
  /** Time for which it waited for earlier requests of its connection, in milliseconds. */
  readonly waitedMilliseconds: number;
}

function newName(): string {
  return randomBytes(NAME_BYTES).toString('hex');
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(typeof body === 'string' ? body : JSON.stringify(body));
}

/** Serves the HTTP interface of a node. */
export class HttpFront {
  private readonly server: Server;
  private readonly connections: ServerConnections;
  /** Answers that are complete here and not yet delivered. */
  private readonly undelivered = new Set<ServerResponse>();
  private isDraining = false;
  /** Whether the answer to each call that is started closes its connection, whatever waits behind it. */
  private isOverdue = false;

  constructor(private readonly node: IvyloomNode) {
    this.server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES });
    limitRequests(this.server, { restBytes: () => MAXIMUM_REST_BYTES });
    this.connections = new ServerConnections(this.server, {
      runtime: node.options.runtime,
      isClosing: () => node.isLeaving,
      serve: (exchange) => {
        this.serve(exchange).catch((cause: unknown) => this.fail(exchange.response, cause));
      },
      onProgress: () => this.endWhenQuiet(),
    });
    this.server.headersTimeout = HEADERS_TIMEOUT_MILLISECONDS;
    this.server.requestTimeout = REQUEST_TIMEOUT_MILLISECONDS;
    this.server.maxConnections = MAXIMUM_CONNECTIONS;
  }

  /** Starts listening; calls `done` with the port. */
  listen(host: string, port: number, done: (port: number) => void): void {
    this.server.listen(port, host, () => done((this.server.address() as AddressInfo).port));
  }

  /** Stops accepting connections; calls `done` when the last response has been sent. */
  drain(done: () => void): void {
    const { runtime } = this.node.options;
    let late = new Set<ServerResponse>();
    const cancel = setRepeatingTimer(runtime, DRAIN_CHECK_MILLISECONDS, () => {
      late.forEach((response) => this.undelivered.has(response) && response.destroy());
      late = new Set(this.undelivered);
      this.isOverdue = true;
    });
    this.isDraining = true;
    this.connections.stopListening(() => {
      cancel();
      done();
    });
    this.endWhenQuiet();
  }

  /** Closes the server and all connections at once. */
  close(): void {
    this.server.close();
    this.connections.destroyAll();
  }

  /** Ends the connections that are left once the last response of a draining server has been sent. */
  private endWhenQuiet(): void {
    if (this.isDraining && this.connections.isQuiet) {
      this.connections.endAll();
    }
  }

  private fail(response: ServerResponse, cause: unknown): void {
    const reason = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    this.node.options.runtime.log('error', 'request failed', { reason });
    response.destroy();
  }

  private async serve(exchange: ServerExchange): Promise<void> {
    const { request, response, completion, arrivedAt, expectation } = exchange;
    const waitedMilliseconds = this.node.options.runtime.now() - arrivedAt;
    const url = new URL(request.url ?? '/', 'http://front');
    const path = url.pathname.split('/').slice(1).map(decodeSegment);
    response.once('prefinish', () => this.undelivered.add(response));
    completion.onComplete(() => this.undelivered.delete(response));
    if (expectation === 'continue') {
      response.writeContinue();
    }
    if (this.isOverdue) {
      this.connections.closeAfter(request);
    }
    if (await this.servePublic(url.pathname, response)) {
      return;
    }
    const authenticated = authenticate(request, this.node.configuration.current);
    if (E.isLeft(authenticated)) {
      // Without a configuration no key is known, so the caller's key may be valid.
      const error =
        this.node.configuration.current.revision === 0 ? notReady() : authenticated.left;
      request.resume();
      sendProblem(response, error);
      return;
    }
    await this.route({ request, response, path, key: authenticated.right, waitedMilliseconds });
  }

  private async servePublic(path: string, response: ServerResponse): Promise<boolean> {
    switch (path) {
      case '/healthz':
        sendJson(response, 200, { status: 'ok' });
        return true;
      case '/readyz':
        sendJson(response, this.node.isReady ? 200 : 503, { ready: this.node.isReady });
        return true;
      case '/metrics': {
        const { contentType, text } = await renderMetrics(this.node);
        response.writeHead(200, { 'content-type': contentType });
        response.end(text);
        return true;
      }
      default:
        return false;
    }
  }

  private async route(exchange: Exchange): Promise<void> {
    const { request, response, path } = exchange;
    const [version, kind, name, action] = path;
    const route = `${request.method} /${version ?? ''}/${kind ?? ''}`;
    if (route === 'POST /v1/chat' && name === 'completions') {
      return this.completeChat(exchange);
    }
    if (route === 'POST /v1/services' && name !== undefined && action === 'calls') {
      return this.callTool(exchange, name);
    }
    if (route === 'POST /v1/operator' && name === 'statements') {
      return this.runOperatorStatement(exchange);
    }
    if (route === 'POST /v1/programs') {
      return this.openProgram(exchange);
    }
    if (route === 'GET /v1/models') {
      return this.listModels(response);
    }
    if (kind === 'programs' && name !== undefined) {
      return this.actOnProgram(exchange);
    }
    if (route === 'GET /v1/calls' && name !== undefined) {
      return this.lookUpCall(exchange);
    }
    request.resume();
    sendProblem(response, notRun('NotFound', `There is no ${request.method} ${request.url}.`));
  }

  private contextOf(exchange: Exchange): ParsingContext {
    return {
      key: exchange.key,
      configuration: this.node.configuration.current,
      headers: exchange.request.headers,
      newName,
      createCallId: (program) => createCallId(this.node.options.map, program, newName()),
    };
  }

  private async completeChat(exchange: Exchange): Promise<void> {
    const body = await readJsonBody(exchange.request);
    const parsed = pipe(
      requireRole(exchange.key, ['caller']),
      E.chain(() => body),
      E.chain((json) => parseChat(this.contextOf(exchange), json)),
    );
    this.submit(exchange, parsed);
  }

  private async callTool(exchange: Exchange, name: string): Promise<void> {
    const body = await readBody(exchange.request);
    const parsed = pipe(
      requireRole(exchange.key, ['caller']),
      E.chain(() => body),
      E.chain((payload) => parseToolCall(this.contextOf(exchange), name, payload)),
    );
    this.submit(exchange, parsed);
  }

  private submit(exchange: Exchange, parsed: E.Either<CallError, ParsedCall>): void {
    const { response, waitedMilliseconds } = exchange;
    const timely = pipe(
      parsed,
      E.chain((call) => withoutWait(call, waitedMilliseconds)),
    );
    if (E.isLeft(timely)) {
      if (timely.left.tag === 'TooLarge') {
        this.connections.closeAfter(exchange.request);
      }
      sendProblem(response, timely.left);
      return;
    }
    const { request, streaming } = timely.right;
    const { gateway } = this.node;
    const created = Math.floor(this.node.options.runtime.wallTime() / MILLISECONDS_PER_SECOND);
    response.on('close', () => gateway.abandon(request.call));
    if (streaming) {
      gateway.submit(request, true, streamChat(response, request, created));
      return;
    }
    gateway.submit(request, false, (event) => {
      if (event.type === 'failed') {
        sendProblem(response, event.error, request.call);
      } else if (event.type === 'answered' && request.messages.length === 0) {
        sendToolAnswer(response, request, event.answer);
      } else if (event.type === 'answered') {
        sendChatAnswer(response, request, created, event.answer);
      }
    });
  }

  private async openProgram(exchange: Exchange): Promise<void> {
    const body = await readJsonBody(exchange.request);
    const named = E.isRight(body) ? (body.right as { name?: unknown } | null)?.name : undefined;
    const program = typeof named === 'string' && named !== '' ? named : `p-${newName()}`;
    this.requestProgram(exchange, 'open', program);
  }

  private actOnProgram(exchange: Exchange): void {
    const { request, response, path } = exchange;
    // A sub-agent's name contains slashes; the last path segment may select the history.
    const wantsHistory = path[path.length - 1] === 'history' && path.length > 3;
    const program = path.slice(2, wantsHistory ? -1 : undefined).join('/');
    request.resume();
    if (request.method === 'GET') {
      this.requestProgram(exchange, wantsHistory ? 'history' : 'describe', program);
    } else if (request.method === 'DELETE' && !wantsHistory) {
      this.requestProgram(exchange, 'end', program);
    } else {
      sendProblem(response, notRun('NotFound', 'A program can be read (GET) or ended (DELETE).'));
    }
  }

  private requestProgram(exchange: Exchange, action: ProgramAction, program: string): void {
    const { response, key } = exchange;
    this.node.gateway.requestProgram(newName(), action, program, key.group, (result) =>
      sendProgramResult(response, result),
    );
  }

  private lookUpCall(exchange: Exchange): void {
    const { request, response, path, key } = exchange;
    const call = path[2] ?? '';
    const shard = shardOfCallId(this.node.options.map, call);
    request.resume();
    if (shard === undefined) {
      sendProblem(response, notRun('NotFound', `${call} is not the name of a call.`));
      return;
    }
    this.node.gateway.requestShard(shard, newName(), 'findCall', call, key.group, (result) =>
      sendProgramResult(response, result),
    );
  }

  private listModels(response: ServerResponse): void {
    const services = [...this.node.configuration.current.services.values()];
    const models = services.filter((service) => service.kind === 'model');
    const data = models.map(({ name }) => ({ id: name, object: 'model', owned_by: 'ivyloom' }));
    sendJson(response, 200, { object: 'list', data });
  }

  private async runOperatorStatement(exchange: Exchange): Promise<void> {
    const { response, key } = exchange;
    const body = await readJsonBody(exchange.request);
    const statement = E.isRight(body) ? (body.right as { statement?: unknown })?.statement : '';
    const allowed = requireRole(key, ['operator', 'viewer']);
    if (E.isLeft(allowed)) {
      sendProblem(response, allowed.left);
      return;
    }
    if (typeof statement !== 'string') {
      sendProblem(response, notRun('Malformed', 'Send {"statement": "show nodes"}.'));
      return;
    }
    const operator = { name: key.name, mayChange: key.role === 'operator' };
    runStatement(this.node, statement, operator, newName(), (result) => {
      if (E.isLeft(result)) {
        sendProblem(response, result.left);
      } else {
        sendJson(response, 200, result.right);
      }
    });
  }
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}

/** Takes the time for which a call waited for earlier ones of its connection from its timeout. */
function withoutWait(
  call: ParsedCall,
  waitedMilliseconds: number,
): E.Either<CallError, ParsedCall> {
  const timeoutMilliseconds = call.request.timeoutMilliseconds - waitedMilliseconds;
  if (timeoutMilliseconds <= 0) {
    const detail = 'Its time passed while earlier calls of its connection ran.';
    return E.left(notRun('DeadlinePassed', detail, 1));
  }
  return E.right({ ...call, request: { ...call.request, timeoutMilliseconds } });
}

function notReady(): CallError {
  return notRun('Unavailable', 'This node has not read its configuration yet.', 1);
}

function sendProgramResult(response: ServerResponse, result: ProgramResult): void {
  const isError = result.status >= FIRST_ERROR_STATUS;
  const { error } = isError ? (JSON.parse(result.body) as { error?: CallError }) : {};
  if (error !== undefined) {
    sendProblem(response, error);
  } else {
    sendJson(response, result.status, result.body);
  }
}
