/** Parses the headers by which a client describes its request. */
import type { IncomingMessage } from 'node:http';
import { parsePromptParts, parseTokenUsage } from '../request/relay-request.js';
import type { ProgramReference, RelayRequest } from '../request/relay-request.js';
import type { IngressRequest, RequestHead } from '../stages/ingress-request.js';

/** Timeout of clients that send none. */
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** Returns the head of a request. */
export function headOf({ method, url, rawHeaders, headers }: IncomingMessage): RequestHead {
  return {
    method: method ?? 'GET',
    path: url ?? '/',
    rawHeaders,
    header: (name) => firstValue(headers[name]),
  };
}

/** Returns the timeout of the client, in milliseconds. */
export function clientTimeoutMilliseconds({ head, context }: IngressRequest): number {
  const value = Number(head.header(context.names.timeout));
  return Number.isFinite(value) && value > 0 ? value : DEFAULT_TIMEOUT_MILLISECONDS;
}

function parseProgram({ head, context }: IngressRequest): ProgramReference | undefined {
  const { names } = context;
  const program = head.header(names.program);
  if (program === undefined) {
    return undefined;
  }
  const budget = head.header(names.tokenBudget);
  const budgetTokens = budget === undefined ? undefined : Number(budget);
  return { program, session: head.header(names.session) ?? program, budgetTokens };
}

/** Builds a request that passed ingress, with its complete body. */
export function parseRequest(
  ingress: IngressRequest,
  body: Buffer,
  arrivedAt: number,
): RelayRequest {
  const { head, tenant } = ingress;
  const { names } = ingress.context;
  const { header } = head;
  const table = ingress.table!;
  const programRemaining = Number(header(names.programDeadline) ?? NaN);
  const usage = parseTokenUsage(header(names.tokenUsage));
  return {
    id: ingress.id!,
    method: head.method,
    path: head.path,
    rawHeaders: head.rawHeaders,
    body,
    arrivedAt,
    deadlineAt: arrivedAt + clientTimeoutMilliseconds(ingress),
    route: ingress.route!,
    tenant,
    stripsKey: table.tenants !== undefined,
    configurationVersion: table.version,
    program: parseProgram(ingress),
    programDeadlineAt: Number.isFinite(programRemaining) ? arrivedAt + programRemaining : undefined,
    previousTurn: header(names.previousTurn),
    lastEventId: header(names.lastEventId),
    resumes: header(names.resumes) || undefined,
    promptParts: parsePromptParts(header(names.promptParts)),
    promptTokens: usage.prompt,
    maximumOutputTokens: usage.output,
    affinityKey: header(names.affinity),
  };
}
