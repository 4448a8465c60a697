/** A request as a client sent it, read and bounded, ready to be relayed. */
import { hashToNumber } from '../../runtime/hashing.js';
import type { Route } from './routing-table.js';
import type { Tenant } from './tenant.js';

/** Short name of a part of a prompt: the hash of its identifier, unsigned 32 bits. */
export type PromptKey = number & { readonly brand: 'PromptKey' };

/** A part of a prompt that others may share. */
export interface PromptPart {
  readonly key: PromptKey;
  readonly tokens: number;
}

/** The program a request belongs to. */
export interface ProgramReference {
  readonly program: string;
  /** The line of turns within the program. */
  readonly session: string;
  /** Most tokens the program's turns may generate together; undefined when not told. */
  readonly budgetTokens: number | undefined;
}

/** See the head of this file. */
export interface RelayRequest {
  readonly id: string;
  readonly method: string;
  /** Path with its query, unaltered. */
  readonly path: string;
  /** Header names and values in turn, as the client sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Local time at which the request came, in milliseconds. */
  readonly arrivedAt: number;
  /** Local time after which the client no longer waits, in milliseconds. */
  readonly deadlineAt: number;
  readonly route: Route;
  /** Whose it is; undefined where no key was needed. */
  readonly tenant: Tenant | undefined;
  /** Whether keys are told apart, so that none may reach a runner. */
  readonly hidesKey: boolean;
  readonly configurationVersion: number;
  readonly program: ProgramReference | undefined;
  /** Local time at which the program should be over, in milliseconds. */
  readonly programDeadlineAt: number | undefined;
  /** Turn this one goes on from. */
  readonly previousTurn: string | undefined;
  /** Identifier of the last event the client already has. */
  readonly lastEventId: string | undefined;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Most tokens the answer may have; 0 when not told. */
  readonly maximumOutputTokens: number;
  /** Key that keeps requests about one object together. */
  readonly affinityKey: string | undefined;
}

/** Whether a request may run a second time. */
export function mayRepeat(route: Route): boolean {
  return route.kind === 'repeatable' || (route.kind === 'stream' && route.resumable);
}

/** The key of a part's identifier. */
export function promptKeyOf(id: string): PromptKey {
  return hashToNumber(id) as PromptKey;
}

/** More tokens than any prompt or answer has: a count beyond it is no size, and would spoil what is learned of sizes. */
const MAXIMUM_TOKENS = 100_000_000;

function isTokenCount(count: number | undefined): count is number {
  return count !== undefined && count >= 0 && count <= MAXIMUM_TOKENS;
}

/** Reads `ID:TOKENS,ID:TOKENS`; parts that are not in this form are passed over. */
export function parsePromptParts(text: string | undefined): PromptPart[] {
  if (text === undefined || text === '') {
    return [];
  }
  return text.split(',').flatMap((part) => {
    const [id, tokens] = part.trim().split(':');
    const count = Number(tokens);
    return id !== undefined && id !== '' && isTokenCount(count)
      ? [{ key: promptKeyOf(id), tokens: count }]
      : [];
  });
}

/** Reads `IN,OUT` counts of tokens; what can't be a count is 0, which stands for not told. */
export function parseTokenUsage(text: string | undefined): { prompt: number; output: number } {
  const [prompt, output] = (text ?? '').split(',').map(Number);
  const countOrZero = (value: number | undefined): number => (isTokenCount(value) ? value : 0);
  return { prompt: countOrZero(prompt), output: countOrZero(output) };
}
