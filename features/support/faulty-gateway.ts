/** Fake gateway with one injected fault, to show that the clients of the soak test detect it. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';
import {
  SOAK_EVENTS,
  SOAK_KEY,
  SOAK_TENANT,
  SOAK_TOKENS_PER_EVENT,
} from '../../soak/soak-client.js';
import { MOVABLE_ROUTE, RESUMABLE_EVENTS, RESUMABLE_ROUTE } from '../../soak/versioned-runners.js';
import { LIMITED_KEY, LIMITED_TENANT } from '../../soak/tenant-check.js';
import type { RelayRunner } from '../../src/emulator/relay-runner.js';

/** Faults that can be injected; `nothing` injects none. */
export type GatewayFault =
  | 'nothing'
  /** Returns the answer of another request. */
  | 'foreignAnswer'
  /** Ends a stream before its last event as if it were complete. */
  | 'endsEarly'
  /** Omits an event. */
  | 'skipsEvent'
  /** Changes the text of an event. */
  | 'changesText'
  /** Runs a non-repeatable request twice. */
  | 'runsTwice'
  /** Reports a request that has run as not run. */
  | 'refusesAfterRun'
  /** Never enforces a token budget. */
  | 'ignoresBudget'
  /** Does not find any earlier turn. */
  | 'forgetsTurns'
  /** Sends a runner a chain that belongs to no program. */
  | 'mixesChains'
  /** Has no route. */
  | 'forgetsRoutes'
  /** Sends a second success after each. */
  | 'answersTwice'
  /** Runs requests of one connection at the same time. */
  | 'runsAtOnce'
  /** Closes connections behind the first answer, whatever has run behind its request. */
  | 'closesEarly'
  /** Returns to a configuration without routes soon after its first answer. */
  | 'returnsToOlder'
  /** Sends runners the name of another tenant. */
  | 'namesAnother'
  /** Forwards the client's key to the runner. */
  | 'passesKey'
  /** Accepts revoked keys. */
  | 'servesOldKeys'
  /** Never enforces a tenant's quota. */
  | 'ignoresLimit'
  /** Continues streams at another software version. */
  | 'mixesVersions'
  /** Continues streams that the client doesn't name at another software version. */
  | 'mixesUnnamed'
  /** Continues streams at another service. */
  | 'mixesServices'
  /** Sends the last event that the client has again. */
  | 'repeatsEvents'
  /** Ends continued streams as complete after one event. */
  | 'endsResumedEarly'
  /** Refuses to continue any stream. */
  | 'refusesResumptions'
  /** Refuses to continue streams that the client doesn't name. */
  | 'refusesUnnamed';

/** Tenants by key. */
const TENANTS: Readonly<Record<string, string>> = {
  [`Token ${SOAK_KEY}`]: SOAK_TENANT,
  [`Token ${LIMITED_KEY}`]: LIMITED_TENANT,
};
/** Number of requests of the limited tenant that are accepted. */
const LIMITED_REQUESTS = 100;
/** Time between two events of a stream that may be resumed. */
const EVENT_MILLISECONDS = 5;
/** Time that an answer takes which closes its connection, in milliseconds. */
const CLOSING_MILLISECONDS = 20;
/** Time for which each request runs that others run beside, in milliseconds. */
const RUNNING_MILLISECONDS = 100;
/** Time after which a connection ends whose client sent bytes that are no request, in milliseconds. */
const BAD_BYTES_MILLISECONDS = 50;
/** Time from its first answer to the return to an older configuration. */
const RETURN_MILLISECONDS = 250;
const MAXIMUM_TOKENS = SOAK_EVENTS * SOAK_TOKENS_PER_EVENT;

/** Returns a number from the query of a request; undefined if it has none by that name. */
function readQueryNumber({ url = '' }: IncomingMessage, name: string): number | undefined {
  const value = new RegExp(`[?&]${name}=(\\d+)`).exec(url)?.[1];
  return value === undefined ? undefined : Number(value);
}

/** HTTP server that answers like a gateway and runs requests in memory, with the given fault. */
export class FaultyGateway {
  private readonly server: Server;
  private readonly chains = new Map<string, string>();
  private readonly deliveredTokens = new Map<string, number>();
  private limitedCount = 0;
  private firstAnswerAt: number | undefined;

  constructor(
    private readonly fault: GatewayFault,
    private readonly runner: RelayRunner,
  ) {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => this.answer(request, response, Buffer.concat(chunks).toString()));
    });
    // The answers to the requests before these bytes are still to be sent.
    this.server.on('clientError', (_error, socket) =>
      setTimeout(() => socket.destroy(), BAD_BYTES_MILLISECONDS),
    );
  }

  /** Starts to listen. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, host, () => resolve()));
  }

  /** Closes the server and all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private answer(request: IncomingMessage, response: ServerResponse, body: string): void {
    const id = String(request.headers[NAMES.requestId]);
    this.firstAnswerAt ??= performance.now();
    const hasReturned =
      this.fault === 'returnsToOlder' &&
      performance.now() - this.firstAnswerAt > RETURN_MILLISECONDS;
    if (this.fault === 'forgetsRoutes' || hasReturned) {
      response.writeHead(404).end();
      return;
    }
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) {
      response.writeHead(refusal).end();
      return;
    }
    const route = request.url?.split('/')[1];
    if (route === RESUMABLE_ROUTE || route === MOVABLE_ROUTE) {
      this.answerResumable(request, response);
      return;
    }
    if (request.url?.includes('stream') === true) {
      this.answerTurn(request, response, id, body);
      return;
    }
    this.run(request, id, body);
    if (this.fault === 'runsTwice') {
      this.run(request, id, body);
    }
    if (this.fault === 'refusesAfterRun') {
      response.writeHead(503).end();
      return;
    }
    const owner = this.fault === 'foreignAnswer' ? 'another' : id;
    const fillBytes = readQueryNumber(request, 'fill') ?? 0;
    const text = `answer of ${this.runner.id} to ${owner}`.padEnd(fillBytes, '.');
    if (this.fault === 'closesEarly') {
      const headers = { ...this.signature, connection: 'close' };
      setTimeout(() => response.writeHead(200, headers).end(text), CLOSING_MILLISECONDS);
      return;
    }
    response.writeHead(200, this.signature).end(text);
    if (this.fault === 'answersTwice') {
      request.socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    }
  }

  private answerResumable(request: IncomingMessage, response: ServerResponse): void {
    const lastEvent = Number(request.headers[NAMES.lastEventId] ?? 0);
    const isResumption = lastEvent > 0;
    const isUnnamed = isResumption && request.headers[NAMES.resumes] === undefined;
    const { fault } = this;
    if (
      (isResumption && fault === 'refusesResumptions') ||
      (isUnnamed && fault === 'refusesUnnamed')
    ) {
      response.writeHead(503).end();
      return;
    }
    const isMixed =
      (isResumption && fault === 'mixesVersions') || (isUnnamed && fault === 'mixesUnnamed');
    const version = isMixed ? 'v2' : 'v1';
    const usual = request.url?.startsWith(`/${RESUMABLE_ROUTE}/`) === true ? 'minds' : 'calm-a';
    const service = isResumption && fault === 'mixesServices' ? 'calm-b' : usual;
    const last = isResumption && fault === 'endsResumedEarly' ? lastEvent + 1 : RESUMABLE_EVENTS;
    response.writeHead(200, { ...this.signature, 'content-type': 'text/event-stream' });
    const send = (event: number): void => {
      if (event > last) {
        response.end();
      } else {
        response.write(`id: ${event}\ndata: event ${event} by ${version}@${service}\n\n`);
        setTimeout(() => send(event + 1), EVENT_MILLISECONDS);
      }
    };
    send(isResumption && fault === 'repeatsEvents' ? lastEvent : lastEvent + 1);
  }

  private answerTurn(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    input: string,
  ): void {
    const program = String(request.headers[NAMES.program]);
    const budget = Number(request.headers[NAMES.tokenBudget]);
    const previous = request.headers[NAMES.previousTurn];
    const delivered = this.deliveredTokens.get(program) ?? 0;
    if (delivered + MAXIMUM_TOKENS > budget && this.fault !== 'ignoresBudget') {
      response.writeHead(402).end();
      return;
    }
    if (previous !== undefined && this.fault === 'forgetsTurns') {
      response.writeHead(404).end();
      return;
    }
    const chain = this.fault === 'mixesChains' ? 'of nobody;' : this.chains.get(String(previous));
    this.run(request, id, (chain ?? '') + input);
    const events = this.events(request);
    this.deliveredTokens.set(program, delivered + events.length * SOAK_TOKENS_PER_EVENT);
    const output = events.map((event) => `event ${event}\n`).join('');
    this.chains.set(id, (chain ?? '') + input + output);
    response.writeHead(200, { ...this.signature, 'content-type': 'text/event-stream' });
    const fillBytes = readQueryNumber(request, 'fill') ?? 0;
    response.end(events.map((event) => this.eventOf(event, fillBytes)).join(''));
  }

  private eventOf(event: number, fillBytes: number): string {
    const name = this.fault === 'changesText' && event === 2 ? 'Event' : 'event';
    return `id: ${event}\ndata: ${`${name} ${event}`.padEnd(fillBytes, '.')}\n\n`;
  }

  private events(request: IncomingMessage): number[] {
    const count = readQueryNumber(request, 'events') ?? SOAK_EVENTS;
    const all = Array.from({ length: count }, (_, index) => index + 1);
    if (this.fault === 'endsEarly') {
      return all.slice(0, -1);
    }
    return this.fault === 'skipsEvent' ? all.filter((event) => event !== 2) : all;
  }

  /** Returns the status of the refusal for an unknown key or an exceeded quota, or undefined if accepted. */
  private refusalOf({ headers }: IncomingMessage): number | undefined {
    const tenant = TENANTS[String(headers[NAMES.key])];
    if (tenant === undefined) {
      return this.fault === 'servesOldKeys' ? undefined : 401;
    }
    if (tenant === LIMITED_TENANT) {
      this.limitedCount += 1;
      return this.limitedCount > LIMITED_REQUESTS && this.fault !== 'ignoresLimit'
        ? 429
        : undefined;
    }
    return undefined;
  }

  private run(request: IncomingMessage, requestId: string, body: string): void {
    const { method = '', url: path = '' } = request;
    const { [NAMES.key]: key, ...others } = request.headers;
    const tenant = this.fault === 'namesAnother' ? 'another' : TENANTS[String(key)];
    const otherHeaders = { ...others, [NAMES.tenant]: tenant };
    const headers =
      this.fault === 'passesKey' ? { ...otherHeaders, [NAMES.key]: key } : otherHeaders;
    const answeredAt = performance.now();
    const runningTime = this.fault === 'runsAtOnce' ? RUNNING_MILLISECONDS : 0;
    this.runner.runs.push({
      requestId,
      method,
      path,
      body,
      headers,
      behaviour: 'answer',
      startedAt: answeredAt - runningTime,
      answeredAt,
      clientDisconnected: false,
      disconnectedAt: undefined,
      isAnswered: false,
    });
  }

  private get signature(): Record<string, string> {
    return { [NAMES.signature]: `signed by ${this.runner.id}` };
  }
}
