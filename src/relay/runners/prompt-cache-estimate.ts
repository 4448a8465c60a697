/** Which parts of prompts one runner is believed to keep: those sent there lately, within its memory. */
import type { PromptKey, PromptPart } from '../request/relay-request.js';

/** Most parts remembered of one runner, whatever its memory. */
const MAXIMUM_PARTS = 8_192;

/** See the head of this file. Parts unused for the longest give way first. */
export class PromptCacheEstimate {
  /** Tokens by part, the least lately used first. */
  private readonly tokensByPart = new Map<PromptKey, number>();
  private totalTokens = 0;

  /** @param capacityTokens tokens that the runner has memory for, as far as that is known by now */
  constructor(private readonly capacityTokens: () => number) {}

  /** Parts that are believed to be kept. */
  get partCount(): number {
    return this.tokensByPart.size;
  }

  /** Tokens of the leading parts that are kept; a part counts only if all before it are kept whole. */
  leadingTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      const kept = this.tokensByPart.get(part.key) ?? 0;
      tokens += Math.min(kept, part.tokens);
      if (kept < part.tokens) {
        return tokens;
      }
    }
    return tokens;
  }

  /** Notes that a prompt is read there; returns the parts that were not kept so far to this length. */
  touch(parts: readonly PromptPart[]): readonly PromptPart[] {
    const changed = parts.filter((part) => this.tokensByPart.get(part.key) !== part.tokens);
    parts.forEach((part) => this.put(part.key, part.tokens));
    this.evict();
    return changed;
  }

  /** Notes that a part is kept there, which another node has told. */
  learn(key: PromptKey, tokens: number): void {
    this.put(key, Math.max(tokens, this.tokensByPart.get(key) ?? 0));
    this.evict();
  }

  private put(key: PromptKey, tokens: number): void {
    this.totalTokens += tokens - (this.tokensByPart.get(key) ?? 0);
    this.tokensByPart.delete(key);
    this.tokensByPart.set(key, tokens);
  }

  private evict(): void {
    const capacity = this.capacityTokens();
    for (const [part, tokens] of this.tokensByPart) {
      if (this.totalTokens <= capacity && this.tokensByPart.size <= MAXIMUM_PARTS) {
        return;
      }
      this.tokensByPart.delete(part);
      this.totalTokens -= tokens;
    }
  }
}
