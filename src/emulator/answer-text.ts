/**
 * Answers of emulated back ends. They are a function of the whole conversation or payload, so that
 * a checker can detect lost, mixed-up and wrong answers.
 */
import { CHARACTERS_PER_TOKEN, digestConversation } from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import { hashText, hashToNumber } from '../runtime/hashing.js';

/** Tokens of one chunk: five groups of three hexadecimal digits. */
const TOKENS_PER_CHUNK = 5;
/** A message that ends in `#120` requests an answer of 120 tokens. */
const LENGTH_MARKER = /#(\d+)$/;
const MINIMUM_ANSWER_TOKENS = 24;
const ANSWER_TOKENS_RANGE = 96;

/** Returns the length in tokens of the answer to a conversation. */
export function answerLength(messages: readonly ChatMessage[], maximumTokens: number): number {
  const last = messages[messages.length - 1]?.content ?? '';
  const match = LENGTH_MARKER.exec(last);
  const requestedTokens =
    match === null
      ? MINIMUM_ANSWER_TOKENS + (hashToNumber(last) % ANSWER_TOKENS_RANGE)
      : Number(match[1]);
  return Math.max(1, Math.min(requestedTokens, maximumTokens));
}

function createChunk(digest: string, index: number): string {
  const hash = hashText(`${digest}:${index}`);
  const words = [0, 3, 6, 9, 12].map((start) => hash.slice(start, start + 3));
  return `${words.join(' ')} `;
}

/** Returns the answer text of a given length in tokens for a conversation's digest. */
export function answerText(digest: string, tokens: number): string {
  let text = '';
  for (let index = 0; index * TOKENS_PER_CHUNK < tokens; index += 1) {
    text += createChunk(digest, index);
  }
  return text.slice(0, tokens * CHARACTERS_PER_TOKEN);
}

/** Returns the complete answer of an emulated engine to a conversation. */
export function expectedAnswer(messages: readonly ChatMessage[], maximumTokens: number): string {
  return answerText(digestConversation(messages), answerLength(messages, maximumTokens));
}

/** Returns the result of an emulated tool for a payload. */
export function expectedToolResult(payload: string): string {
  return JSON.stringify({ result: hashText(payload) });
}
