/** Takes clients' requests over HTTP/1.1, bounds them, finds their route, and starts their calls. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ClientAnswer } from '../answers/client-answer.js';
import { memoryShort } from '../answers/own-answers.js';
import type { OwnAnswer } from '../answers/own-answers.js';
import type { RelayContext } from '../relay-context.js';
import type { RoutingTable } from '../request/routing-table.js';
import { createDoor } from '../stages/door.js';
import type { Door } from '../stages/door.js';
import { BODY_STAGES, HEAD_STAGES, passDoor, refusal } from '../stages/door-stages.js';
import type { StageRefusal } from '../stages/stage.js';
import { RelayCall } from '../tries/relay-call.js';
import { readBody } from './body-reader.js';
import type { BodyEnd } from './body-reader.js';
import { RequestEnds } from './request-ends.js';
import type { RequestEnd } from './request-ends.js';
import { clientTimeoutMilliseconds, headOf, parseRequest } from './request-parser.js';

/** Largest header that Node itself reads, in bytes; the configured limit is checked after. */
const PARSER_HEADER_BYTES = 64 * 1024;
const CHECK_MILLISECONDS = 1_000;
/** Longest queue of connections that are not accepted yet. */
const BACKLOG = 1_024;
/** Stage named where a request is refused while its body is read. */
const BODY = 'body';
/** What is answered where a body could not be read. */
const BODY_REFUSALS: Readonly<Record<Exclude<BodyEnd['tag'], 'Whole'>, () => OwnAnswer>> = {
  TooLarge: () => refusal(413, 'the body exceeds the bound'),
  Late: () => refusal(408, 'the body did not come in time'),
  NoMemory: memoryShort,
};

/** See the head of this file. */
export class RelayFront {
  private readonly server: Server;
  private readonly ends = new RequestEnds();
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
    this.server.on('connection', (socket: Socket) => this.ends.addSocket(socket));
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
    this.ends.destroyAll();
  }

  /** Clients are to come back over another connection, which may lead to another gateway. */
  private get isClosing(): boolean {
    return this.draining || !this.context.turns.isReachable;
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const { names, runtime } = this.context;
    const arrivedAt = runtime.now();
    const head = headOf(request);
    const end = this.ends.open(request.socket, response);
    const answer = new ClientAnswer(response, {
      end,
      runtime,
      memory: this.context.memory,
      requestIdHeader: names.requestId,
      requestId: head.header(names.requestId) ?? '',
      isClosing: () => this.isClosing,
    });
    this.activeCount += 1;
    end.onOver(() => {
      this.activeCount -= 1;
      this.checkIdle();
    });
    const door = createDoor(this.context, head);
    const refused = passDoor(door, HEAD_STAGES);
    if (refused !== undefined) {
      this.refuse(request, answer, refused, door.id);
      return;
    }
    this.read(request, end, answer, door, (body) => {
      const latest = { ...door, table: this.context.currentTable() ?? door.table };
      const refusedNow = passDoor(latest, BODY_STAGES);
      if (refusedNow !== undefined) {
        this.refuse(request, answer, refusedNow, door.id);
        return;
      }
      const parsed = parseRequest({ ...door, tenant: latest.tenant }, body, arrivedAt);
      new RelayCall(this.context, parsed, answer).start();
    });
  }

  private refuse(
    request: IncomingMessage,
    answer: ClientAnswer,
    { stage, answer: own }: StageRefusal,
    id: string | undefined,
  ): void {
    const version = this.context.currentTable()?.version ?? -1;
    this.context.runtime.log('info', 'request refused at the door', {
      event: 'relay.refused',
      request: id ?? '',
      host: request.headers.host ?? '',
      path: request.url ?? '',
      stage,
      status: own.status,
      reason: own.detail,
      version,
    });
    this.context.metrics.count('ivyloom_relay_door_refusals_total', `status="${own.status}"`);
    request.resume();
    answer.sendOwn(own, id);
  }

  private read(
    request: IncomingMessage,
    ended: RequestEnd,
    answer: ClientAnswer,
    door: Door,
    done: (body: Buffer) => void,
  ): void {
    const { runtime, memory } = this.context;
    const holding = memory.open('bodies');
    ended.onOver(() => holding.release());
    const { bodyBytes: limitBytes } = door.table!.limits;
    const reading = {
      runtime,
      memory,
      limitBytes,
      timeoutMilliseconds: clientTimeoutMilliseconds(door),
    };
    readBody(request, reading, holding, (end) => {
      if (end.tag === 'Whole') {
        done(end.body);
        return;
      }
      this.refuse(request, answer, { stage: BODY, answer: BODY_REFUSALS[end.tag]() }, door.id);
    });
  }

  private checkIdle(): void {
    if (this.activeCount === 0) {
      this.onIdle();
    }
  }
}
