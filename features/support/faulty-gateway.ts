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
import { LONG_EVENT_BYTES, LONG_EVENTS } from '../../soak/slow-reading.js';
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
/** Time from its first answer to the return to an older configuration. */
const RETURN_MILLISECONDS = 250;
const MAXIMUM_TOKENS = SOAK_EVENTS * SOAK_TOKENS_PER_EVENT;

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
    response.writeHead(200, this.signature).end(`answer of ${this.runner.id} to ${owner}`);
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
    const events = this.events(request.url ?? '');
    this.deliveredTokens.set(program, delivered + events.length * SOAK_TOKENS_PER_EVENT);
    const output = events.map((event) => `event ${event}\n`).join('');
    this.chains.set(id, (chain ?? '') + input + output);
    response.writeHead(200, { ...this.signature, 'content-type': 'text/event-stream' });
    const isLong = this.isLong(request.url ?? '');
    response.end(events.map((event) => this.eventOf(event, isLong)).join(''));
  }

  private isLong(path: string): boolean {
    return path.startsWith('/long/');
  }

  private eventOf(event: number, isLong: boolean): string {
    const name = this.fault === 'changesText' && event === 2 ? 'Event' : 'event';
    return `id: ${event}\ndata: ${`${name} ${event}`.padEnd(isLong ? LONG_EVENT_BYTES : 0, '.')}\n\n`;
  }

  private events(path: string): number[] {
    const count = this.isLong(path) ? LONG_EVENTS : SOAK_EVENTS;
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
    const startedAt = performance.now();
    this.runner.runs.push({
      requestId,
      method,
      path,
      body,
      headers,
      behaviour: 'answer',
      startedAt,
      answeredAt: startedAt,
      clientDisconnected: false,
      disconnectedAt: undefined,
      isAnswered: false,
    });
  }

  private get signature(): Record<string, string> {
    return { [NAMES.signature]: `signed by ${this.runner.id}` };
  }
}
