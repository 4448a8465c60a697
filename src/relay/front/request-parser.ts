/** Reads what a client says of its request out of the head. */
import type { IncomingMessage } from 'node:http';
import { parsePromptParts, parseTokenUsage } from '../request/relay-request.js';
import type { ProgramReference, RelayRequest } from '../request/relay-request.js';
import type { Door, RequestHead } from '../stages/door.js';

/** Time that a client waits which doesn't tell. */
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

function single(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

/** The head of a request. */
export function headOf({ method, url, rawHeaders, headers }: IncomingMessage): RequestHead {
  return {
    method: method ?? 'GET',
    path: url ?? '/',
    rawHeaders,
    header: (name) => single(headers[name]),
  };
}

/** Milliseconds that the client waits. */
export function clientTimeoutMilliseconds({ head, context }: Door): number {
  const value = Number(head.header(context.names.timeout));
  return Number.isFinite(value) && value > 0 ? value : DEFAULT_TIMEOUT_MILLISECONDS;
}

function programOf({ head, context }: Door): ProgramReference | undefined {
  const { names } = context;
  const program = head.header(names.program);
  if (program === undefined) {
    return undefined;
  }
  const budget = head.header(names.tokenBudget);
  const budgetTokens = budget === undefined ? undefined : Number(budget);
  return { program, session: head.header(names.session) ?? program, budgetTokens };
}

/** A request that passed the door, with its whole body. */
export function parseRequest(door: Door, body: Buffer, arrivedAt: number): RelayRequest {
  const { head, tenant } = door;
  const { names } = door.context;
  const { header } = head;
  const table = door.table!;
  const programLeft = Number(header(names.programDeadline) ?? NaN);
  const usage = parseTokenUsage(header(names.tokenUsage));
  return {
    id: door.id!,
    method: head.method,
    path: head.path,
    rawHeaders: head.rawHeaders,
    body,
    arrivedAt,
    deadlineAt: arrivedAt + clientTimeoutMilliseconds(door),
    route: door.route!,
    tenant,
    hidesKey: table.tenants !== undefined,
    configurationVersion: table.version,
    program: programOf(door),
    programDeadlineAt: Number.isFinite(programLeft) ? arrivedAt + programLeft : undefined,
    previousTurn: header(names.previousTurn),
    lastEventId: header(names.lastEventId),
    promptParts: parsePromptParts(header(names.promptParts)),
    promptTokens: usage.prompt,
    maximumOutputTokens: usage.output,
    affinityKey: header(names.affinity),
  };
}
