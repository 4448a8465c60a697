/** A client's request, completely read and within its limits, ready to be relayed. */
import { hashToNumber } from '../../runtime/hashing.js';
import type { Route } from './routing-table.js';
import type { Tenant } from './tenant.js';

/** Hash of the identifier of a prompt part, unsigned 32 bits. */
export type PromptKey = number & { readonly brand: 'PromptKey' };

/** A part of a prompt, which other prompts may share. */
export interface PromptPart {
  readonly key: PromptKey;
  readonly tokens: number;
}

/** The program a request belongs to. */
export interface ProgramReference {
  readonly program: string;
  /** The sequence of turns within the program. */
  readonly session: string;
  /**
   * Maximum number of tokens that all turns of the program may generate; undefined if not given.
   */
  readonly budgetTokens: number | undefined;
}

/** A request to be relayed. */
export interface RelayRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query string, unchanged. */
  readonly path: string;
  /** Header names and values, alternating, as the client sent them. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Local time at which the request arrived, in milliseconds. */
  readonly arrivedAt: number;
  /** Local time at which the client's timeout expires, in milliseconds. */
  readonly deadlineAt: number;
  readonly route: Route;
  /** Tenant of the request; undefined if no key was required. */
  readonly tenant: Tenant | undefined;
  /** Whether keys identify tenants, so that none may be forwarded to a runner. */
  readonly stripsKey: boolean;
  readonly configurationVersion: number;
  readonly program: ProgramReference | undefined;
  /** Deadline of the program as a local time, in milliseconds; undefined if it has none. */
  readonly programDeadlineAt: number | undefined;
  /** Identifier of the turn that this one continues. */
  readonly previousTurn: string | undefined;
  /** Identifier of the last event that the client has received. */
  readonly lastEventId: string | undefined;
  /** Identifier of the request whose answer brought the first event of the stream that this one resumes. */
  readonly resumes: string | undefined;
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum number of tokens of the answer; 0 if not given. */
  readonly maximumOutputTokens: number;
  /** Key by which requests about one object are routed together. */
  readonly affinityKey: string | undefined;
}

/** Whether a request continues a stream of which its client has received events. */
export function isResumption({ route, lastEventId, resumes }: RelayRequest): boolean {
  const namesStream = lastEventId !== undefined || resumes !== undefined;
  return route.kind === 'stream' && route.resumable && namesStream;
}

/** Whether a request of the route may run more than once. */
export function mayRepeat(route: Route): boolean {
  return route.kind === 'repeatable' || (route.kind === 'stream' && route.resumable);
}

/** Returns the key of the identifier of a prompt part. */
export function promptKeyOf(id: string): PromptKey {
  return hashToNumber(id) as PromptKey;
}

/**
 * Maximum plausible number of tokens: a larger count is ignored, since it would distort the
 * statistics of sizes.
 */
const MAXIMUM_TOKENS = 100_000_000;

function isTokenCount(count: number | undefined): count is number {
  return count !== undefined && count >= 0 && count <= MAXIMUM_TOKENS;
}

/** Parses `ID:TOKENS,ID:TOKENS`; malformed parts are skipped. */
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

/** Parses `IN,OUT` token counts; an invalid count becomes 0, which means not given. */
export function parseTokenUsage(text: string | undefined): { prompt: number; output: number } {
  const [prompt, output] = (text ?? '').split(',').map(Number);
  const countOrZero = (value: number | undefined): number => (isTokenCount(value) ? value : 0);
  return { prompt: countOrZero(prompt), output: countOrZero(output) };
}
