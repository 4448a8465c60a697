/** Fields that messages and log commands share: calls, answers, errors. */
import { CALL_CLASSES } from '../model/call.js';
import { CALL_ERROR_TAGS, VERDICTS } from '../model/verdict.js';
import {
  count,
  flag,
  listOf,
  longText,
  oneOf,
  real,
  record,
  shortText,
  TaggedUnion,
} from './fields.js';

/** Roles in wire order; append only. */
const CHAT_ROLES = ['system', 'user', 'assistant', 'tool'] as const;

/** `ChatMessage`. */
export const chatMessage = record({ role: oneOf(CHAT_ROLES), content: longText });

/** `Usage`. */
export const usage = record({ promptTokens: real, cachedTokens: real, completionTokens: real });

/** `CallError`. */
export const callError = record({
  tag: oneOf(CALL_ERROR_TAGS),
  verdict: oneOf(VERDICTS),
  detail: longText,
  retryAfterSeconds: real,
});

/** `CallRequest`. */
export const callRequest = record({
  call: shortText,
  program: shortText,
  group: shortText,
  service: shortText,
  callClass: oneOf(CALL_CLASSES),
  sequence: count,
  idempotencyKey: shortText,
  repeatable: flag,
  messages: listOf(chatMessage),
  payload: longText,
  maximumTokens: real,
  timeoutMilliseconds: real,
  endsProgram: flag,
  receivedText: longText,
});

/** `Answer`. */
export const answer = record({ call: shortText, sequence: count, text: longText, usage });

/** `CallEvent`. */
export const callEvent = new TaggedUnion([
  { type: 'piece', fields: { offset: count, text: longText } },
  { type: 'answered', fields: { answer } },
  { type: 'failed', fields: { error: callError } },
]);
