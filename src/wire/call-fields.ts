/** Codecs that messages and log commands share: calls, answers, errors. */
import { CALL_CLASSES } from '../model/call.js';
import { CALL_ERROR_TAGS, VERDICTS } from '../model/verdict.js';
import {
  uint32,
  bool,
  listOf,
  longText,
  oneOf,
  float64,
  record,
  shortText,
  TaggedUnion,
} from './fields.js';

/** Roles in wire order; append-only. */
const CHAT_ROLES = ['system', 'user', 'assistant', 'tool'] as const;

/** Codec of `ChatMessage`. */
export const chatMessage = record({ role: oneOf(CHAT_ROLES), content: longText });

/** Codec of `Usage`. */
export const usage = record({
  promptTokens: float64,
  cachedTokens: float64,
  completionTokens: float64,
});

/** Codec of `CallError`. */
export const callError = record({
  tag: oneOf(CALL_ERROR_TAGS),
  verdict: oneOf(VERDICTS),
  detail: longText,
  retryAfterSeconds: float64,
});

/** Codec of `CallRequest`. */
export const callRequest = record({
  call: shortText,
  program: shortText,
  group: shortText,
  service: shortText,
  callClass: oneOf(CALL_CLASSES),
  sequence: uint32,
  idempotencyKey: shortText,
  repeatable: bool,
  messages: listOf(chatMessage),
  payload: longText,
  maximumTokens: float64,
  timeoutMilliseconds: float64,
  endsProgram: bool,
  receivedText: longText,
});

/** Codec of `Answer`. */
export const answer = record({ call: shortText, sequence: uint32, text: longText, usage });

/** Codec of `CallEvent`. */
export const callEvent = new TaggedUnion([
  { type: 'piece', fields: { offset: uint32, text: longText } },
  { type: 'answered', fields: { answer } },
  { type: 'failed', fields: { error: callError } },
]);
