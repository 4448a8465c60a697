/** A stand-in of a gateway that breaks one promise, to show that the clients of the soak notice it. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { PLATFORM_HEADER_NAMES as NAMES } from '../../platform/header-names.js';
import {
  SOAK_EVENTS,
  SOAK_KEY,
  SOAK_TENANT,
  SOAK_TOKENS_PER_EVENT,
} from '../../soak/soak-client.js';
import { LONG_EVENTS } from '../../soak/slow-reading.js';
import { LIMITED_KEY, LIMITED_TENANT } from '../../soak/tenant-check.js';
import type { RelayRunner } from '../../src/emulator/relay-runner.js';

/** Promises that it may break; `nothing` keeps them all. */
export type GatewayFault =
  | 'nothing'
  /** Gives the answer of another request. */
  | 'foreignAnswer'
  /** Ends a stream as complete before its last event. */
  | 'endsEarly'
  /** Leaves out an event. */
  | 'skipsEvent'
  /** Runs what may not repeat a second time. */
  | 'runsTwice'
  /** Says that a request has not run that has. */
  | 'refusesAfterRun'
  /** Never says that a budget is spent. */
  | 'ignoresBudget'
  /** Knows no earlier turn. */
  | 'forgetsTurns'
  /** Gives a runner the chain of nobody. */
  | 'mixesChains'
  /** Knows no route that was added. */
  | 'forgetsRoutes'
  /** Names another tenant to runners. */
  | 'namesAnother'
  /** Passes the key on. */
  | 'passesKey'
  /** Knows every key there ever was. */
  | 'servesOldKeys'
  /** Never says that a tenant's requests are used up. */
  | 'ignoresLimit';

/** Tenants by key. */
const TENANTS: Readonly<Record<string, string>> = {
  [`Token ${SOAK_KEY}`]: SOAK_TENANT,
  [`Token ${LIMITED_KEY}`]: LIMITED_TENANT,
};
/** Requests of the tenant with a limit that are let in at all. */
const LIMITED_REQUESTS = 100;
const MOST_TOKENS = SOAK_EVENTS * SOAK_TOKENS_PER_EVENT;

/** See the head of this file. */
export class FaultyGateway {
  private readonly server: Server;
  private readonly chains = new Map<string, string>();
  private readonly deliveredTokens = new Map<string, number>();
  private limitedCount = 0;

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

  /** Listens; resolves when it does. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve) => this.server.listen(port, host, () => resolve()));
  }

  /** Ends. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private answer(request: IncomingMessage, response: ServerResponse, body: string): void {
    const id = String(request.headers[NAMES.requestId]);
    if (this.fault === 'forgetsRoutes') {
      response.writeHead(404).end();
      return;
    }
    const refusal = this.refusalOf(request);
    if (refusal !== undefined) {
      response.writeHead(refusal).end();
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

  private answerTurn(
    request: IncomingMessage,
    response: ServerResponse,
    id: string,
    input: string,
  ): void {
    const program = String(request.headers[NAMES.program]);
    const budget = Number(request.headers[NAMES.tokenBudget]);
    const previous = request.headers[NAMES.previousTurn];
    const handed = this.deliveredTokens.get(program) ?? 0;
    if (handed + MOST_TOKENS > budget && this.fault !== 'ignoresBudget') {
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
    this.deliveredTokens.set(program, handed + events.length * SOAK_TOKENS_PER_EVENT);
    const output = events.map((event) => `event ${event}\n`).join('');
    this.chains.set(id, (chain ?? '') + input + output);
    response.writeHead(200, { ...this.signature, 'content-type': 'text/event-stream' });
    response.end(events.map((event) => `id: ${event}\ndata: event ${event}\n\n`).join(''));
  }

  private events(path: string): number[] {
    const count = path.startsWith('/long/') ? LONG_EVENTS : SOAK_EVENTS;
    const all = Array.from({ length: count }, (_, index) => index + 1);
    if (this.fault === 'endsEarly') {
      return all.slice(0, -1);
    }
    return this.fault === 'skipsEvent' ? all.filter((event) => event !== 2) : all;
  }

  /** Status with which a request is refused for its key or its tenant's limit. */
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
    this.runner.runs.push({
      requestId,
      method,
      path,
      body,
      headers,
      left: false,
      isAnswered: false,
    });
  }

  private get signature(): Record<string, string> {
    return { [NAMES.signature]: `signed by ${this.runner.id}` };
  }
}
