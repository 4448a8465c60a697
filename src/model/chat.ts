/** Chat messages of a program's history, their token estimates and their hash chain. */
import { hashText } from '../runtime/hashing.js';

/** Author of a message, as in the OpenAI chat format. */
export type ChatRole = 'system' | 'user' | 'assistant' | 'tool';

/** One message of a conversation. Immutable, since its digest is cached by identity. */
export interface ChatMessage {
  readonly role: ChatRole;
  readonly content: string;
}

/** Estimate used for costs and limits. */
export const CHARACTERS_PER_TOKEN = 4;
/** Tokens of a message besides its content, such as role markers. */
export const TOKENS_PER_MESSAGE = 4;
/** Digest of the empty history. */
export const EMPTY_HISTORY_DIGEST = '0000000000000000';

/** Estimated tokens of a text. */
export function countTextTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/** Estimated tokens of one message. */
export function countMessageTokens(message: ChatMessage): number {
  return countTextTokens(message.content) + TOKENS_PER_MESSAGE;
}

/** Estimated tokens of a list of messages. */
export function countTokens(messages: readonly ChatMessage[]): number {
  let total = 0;
  for (const message of messages) {
    total += countMessageTokens(message);
  }
  return total;
}

const messageDigests = new WeakMap<ChatMessage, string>();

function digestOfMessage(message: ChatMessage): string {
  const known = messageDigests.get(message);
  if (known !== undefined) {
    return known;
  }
  const digest = hashText(`${message.role}\n${message.content}`);
  messageDigests.set(message, digest);
  return digest;
}

/** Appends a message to the hash chain of a history; the digest depends on all messages before it. */
export function chainDigest(previous: string, message: ChatMessage): string {
  return hashText(`${previous}:${digestOfMessage(message)}`);
}

/** Digest of a conversation, chained from `EMPTY_HISTORY_DIGEST`. */
export function digestConversation(messages: readonly ChatMessage[]): string {
  return messages.reduce(chainDigest, EMPTY_HISTORY_DIGEST);
}
