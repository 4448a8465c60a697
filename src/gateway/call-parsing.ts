/** Parses and validates the bodies and headers of callers' requests. */
import type { IncomingHttpHeaders } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as t from 'io-ts';
import { PathReporter } from 'io-ts/lib/PathReporter.js';
import type { ClusterConfiguration, KeyDocument } from '../configuration/documents.js';
import { CALL_CLASSES } from '../model/call.js';
import type { CallClass, CallRequest } from '../model/call.js';
import type { ChatMessage } from '../model/chat.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';

/** Maximum number of messages in a request. */
export const MAXIMUM_MESSAGES = 1_024;
/** Maximum number of answer tokens that a caller may request. */
export const MAXIMUM_ANSWER_TOKENS = 32_768;
/** Maximum number of answer tokens if the caller gives none. */
const DEFAULT_ANSWER_TOKENS = 1_024;
/** Timeout of a call if the caller gives none, in seconds. */
const DEFAULT_TIMEOUT_SECONDS = 120;
/** Maximum timeout of a call, in seconds. */
const MAXIMUM_TIMEOUT_SECONDS = 3_600;
/** Valid names of programs and idempotency keys. */
const NAME = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}$/;

const contentPart = t.type({ type: t.literal('text'), text: t.string });
const chatBody = t.intersection([
  t.type({
    model: t.string,
    messages: t.array(
      t.type({
        role: t.keyof({ system: null, developer: null, user: null, assistant: null, tool: null }),
        content: t.union([t.string, t.array(contentPart)]),
      }),
    ),
  }),
  t.partial({
    stream: t.boolean,
    max_tokens: t.union([t.number, t.null]),
    max_completion_tokens: t.union([t.number, t.null]),
  }),
]);

/** A validated request of a caller. */
export interface ParsedCall {
  readonly request: CallRequest;
  readonly streaming: boolean;
}

/** Context in which a request is parsed. */
export interface ParsingContext {
  readonly key: KeyDocument;
  readonly configuration: ClusterConfiguration;
  readonly headers: IncomingHttpHeaders;
  readonly newName: () => string;
  /** Creates the identifier of a call of a program. */
  readonly createCallId: (program: string) => string;
}

type Checked<Value> = E.Either<CallError, Value>;

function malformed(detail: string): CallError {
  return notRun('Malformed', detail);
}

/** Value of a header; empty if it is missing or has several values. */
function headerOf(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function checkName(value: string, header: string): Checked<string> {
  return value === '' || NAME.test(value)
    ? E.right(value)
    : E.left(malformed(`${header}: expected up to 200 letters, digits and ._:/- `));
}

function checkSequence(value: string): Checked<number> {
  const number = value === '' ? 0 : Number(value);
  return Number.isInteger(number) && number >= 0 && number < 2 ** 31
    ? E.right(number)
    : E.left(malformed('ivyloom-sequence: expected a whole number from 1'));
}

function checkClass(value: string): Checked<CallClass> {
  const found = CALL_CLASSES.find((callClass) => callClass === (value || 'interactive'));
  return found === undefined
    ? E.left(malformed(`ivyloom-class: expected one of ${CALL_CLASSES.join(', ')}`))
    : E.right(found);
}

function checkFlag(value: string, header: string, defaultValue: boolean): Checked<boolean> {
  if (value === '') {
    return E.right(defaultValue);
  }
  return value === 'true' || value === 'false'
    ? E.right(value === 'true')
    : E.left(malformed(`${header}: expected true or false`));
}

function checkTimeout(value: string): Checked<number> {
  const seconds = value === '' ? DEFAULT_TIMEOUT_SECONDS : Number(value);
  return seconds > 0 && seconds <= MAXIMUM_TIMEOUT_SECONDS
    ? E.right(seconds * 1_000)
    : E.left(malformed(`ivyloom-timeout: expected seconds up to ${MAXIMUM_TIMEOUT_SECONDS}`));
}

function checkService(
  context: ParsingContext,
  name: string,
  kind: 'model' | 'tool',
): Checked<string> {
  const service = context.configuration.services.get(name);
  if (service === undefined || service.kind !== kind) {
    const known = [...context.configuration.services.values()]
      .filter((candidate) => candidate.kind === kind)
      .map((candidate) => candidate.name);
    return E.left(notRun('NotFound', `There is no ${kind} ${name}; known: ${known.join(', ')}.`));
  }
  const allowed = service.groups.length === 0 || service.groups.includes(context.key.group);
  return allowed
    ? E.right(name)
    : E.left(notRun('Forbidden', `Group ${context.key.group} may not call ${name}.`));
}

interface CallHeaders {
  readonly program: string;
  readonly sequence: number;
  readonly callClass: CallClass;
  readonly idempotencyKey: string;
  readonly repeatable: boolean;
  readonly endsProgram: boolean;
  readonly timeoutMilliseconds: number;
}

function readHeaders(context: ParsingContext, repeatableByDefault: boolean): Checked<CallHeaders> {
  const { headers } = context;
  const read = (name: string): string => headerOf(headers, name);
  const parent = read('ivyloom-parent');
  const programHeader = read('ivyloom-program');
  const program =
    parent === '' || programHeader === '' ? programHeader : `${parent}/${programHeader}`;
  return pipe(
    E.Do,
    E.bind('program', () => checkName(program, 'ivyloom-program')),
    E.bind('sequence', () => checkSequence(read('ivyloom-sequence'))),
    E.bind('callClass', () => checkClass(read('ivyloom-class'))),
    E.bind('idempotencyKey', () => checkName(read('idempotency-key'), 'idempotency-key')),
    E.bind('repeatable', () =>
      checkFlag(read('ivyloom-repeatable'), 'ivyloom-repeatable', repeatableByDefault),
    ),
    E.bind('endsProgram', () => checkFlag(read('ivyloom-end'), 'ivyloom-end', program === '')),
    E.bind('timeoutMilliseconds', () => checkTimeout(read('ivyloom-timeout'))),
  );
}

/**
 * The program of a request. Without a program header it is derived from the idempotency key, so that
 * every retry with the same key belongs to the same program.
 */
function programOf(context: ParsingContext, headers: CallHeaders): string {
  if (headers.program !== '') {
    return headers.program;
  }
  const { group } = context.key;
  return headers.idempotencyKey === ''
    ? `p-${context.newName()}`
    : `k-${group}-${headers.idempotencyKey}`;
}

function buildRequest(
  context: ParsingContext,
  headers: CallHeaders,
  content: Pick<CallRequest, 'service' | 'messages' | 'payload' | 'maximumTokens'>,
): CallRequest {
  const program = programOf(context, headers);
  return {
    ...headers,
    ...content,
    call: context.createCallId(program),
    program,
    group: context.key.group,
    receivedText: '',
  };
}

function textOf(content: string | { text: string }[]): string {
  return typeof content === 'string' ? content : content.map((part) => part.text).join('');
}

function checkAnswerTokens(body: t.TypeOf<typeof chatBody>): Checked<number> {
  const tokens = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_ANSWER_TOKENS;
  return Number.isInteger(tokens) && tokens > 0 && tokens <= MAXIMUM_ANSWER_TOKENS
    ? E.right(tokens)
    : E.left(malformed(`max_tokens: expected a whole number from 1 to ${MAXIMUM_ANSWER_TOKENS}`));
}

function checkMessages(body: t.TypeOf<typeof chatBody>): Checked<ChatMessage[]> {
  if (body.messages.length === 0 || body.messages.length > MAXIMUM_MESSAGES) {
    return E.left(malformed(`messages: expected 1 to ${MAXIMUM_MESSAGES} of them`));
  }
  return E.right(
    body.messages.map((message) => ({
      role: message.role === 'developer' ? 'system' : message.role,
      content: textOf(message.content),
    })),
  );
}

function decodeChat(body: unknown): Checked<t.TypeOf<typeof chatBody>> {
  const decoded = chatBody.decode(body);
  return E.isRight(decoded)
    ? decoded
    : E.left(malformed(PathReporter.report(decoded).slice(0, 5).join('; ')));
}

/** Parses a chat completion request. */
export function parseChat(context: ParsingContext, body: unknown): Checked<ParsedCall> {
  return pipe(
    E.Do,
    E.bind('chat', () => decodeChat(body)),
    E.bind('messages', ({ chat }) => checkMessages(chat)),
    E.bind('maximumTokens', ({ chat }) => checkAnswerTokens(chat)),
    E.bind('service', ({ chat }) => checkService(context, chat.model, 'model')),
    E.bind('headers', () => readHeaders(context, true)),
    E.map(({ chat, messages, maximumTokens, service, headers }) => ({
      request: buildRequest(context, headers, { service, messages, payload: '', maximumTokens }),
      streaming: chat.stream === true,
    })),
  );
}

/** Tokens reserved for the result of a tool call. */
const TOOL_RESULT_TOKENS = 1_024;

/** Parses a call of a tool service; it may run at most once unless the caller allows repeats. */
export function parseToolCall(
  context: ParsingContext,
  name: string,
  payload: string,
): Checked<ParsedCall> {
  return pipe(
    E.Do,
    E.bind('service', () => checkService(context, name, 'tool')),
    E.bind('headers', () => readHeaders(context, false)),
    E.map(({ service, headers }) => ({
      request: buildRequest(context, headers, {
        service,
        messages: [],
        payload: payload === '' ? '{}' : payload,
        maximumTokens: TOOL_RESULT_TOKENS,
      }),
      streaming: false,
    })),
  );
}
