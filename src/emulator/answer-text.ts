/**
 * The text an emulated engine answers with: fixed by the whole conversation, so that a checker can
 * tell a lost, mixed or foreign answer from the right one.
 */
import { CHARACTERS_PER_TOKEN, digestConversation } from '../model/chat.js';
import type { ChatMessage } from '../model/chat.js';
import { hashText, hashToNumber } from '../runtime/hashing.js';

/** Tokens of one generated stretch; four hexadecimal groups of a hash. */
const TOKENS_PER_CHUNK = 5;
/** A message that ends in `#120` asks the emulator for 120 tokens. */
const LENGTH_MARKER = /#(\d+)$/;
const MINIMUM_ANSWER_TOKENS = 24;
const ANSWER_TOKENS_RANGE = 96;

/** Tokens the emulator answers a conversation with. */
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

/** Text of an answer of so many tokens to a conversation with this digest. */
export function answerText(digest: string, tokens: number): string {
  let text = '';
  for (let index = 0; index * TOKENS_PER_CHUNK < tokens; index += 1) {
    text += createChunk(digest, index);
  }
  return text.slice(0, tokens * CHARACTERS_PER_TOKEN);
}

/** The whole answer an emulated engine gives to a conversation. */
export function expectedAnswer(messages: readonly ChatMessage[], maximumTokens: number): string {
  return answerText(digestConversation(messages), answerLength(messages, maximumTokens));
}

/** The result an emulated tool gives to a payload. */
export function expectedToolResult(payload: string): string {
  return JSON.stringify({ result: hashText(payload) });
}
