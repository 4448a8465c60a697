/** Estimates which prompt parts a runner has cached: the most recently used ones that fit its capacity. */
import type { PromptKey, PromptPart } from '../request/relay-request.js';

/** Largest number of parts tracked for one runner, whatever its capacity. */
const MAXIMUM_PARTS = 8_192;

/** Model of one runner's prompt cache with least-recently-used eviction. */
export class PromptCacheEstimate {
  /** Cached tokens by part, in order of use; the least recently used part comes first. */
  private readonly tokensByPart = new Map<PromptKey, number>();
  private totalTokens = 0;

  /** @param capacityTokens returns the currently known capacity of the runner's cache, in tokens */
  constructor(private readonly capacityTokens: () => number) {}

  /** Number of parts assumed to be cached. */
  get partCount(): number {
    return this.tokensByPart.size;
  }

  /** Returns the cached leading tokens of a prompt; a part counts only if all parts before it are cached fully. */
  leadingTokens(parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      const cachedTokens = this.tokensByPart.get(part.key) ?? 0;
      tokens += Math.min(cachedTokens, part.tokens);
      if (cachedTokens < part.tokens) {
        return tokens;
      }
    }
    return tokens;
  }

  /** Records that the runner reads a prompt; returns the parts that were not cached with the same length before. */
  touch(parts: readonly PromptPart[]): readonly PromptPart[] {
    const changed = parts.filter((part) => this.tokensByPart.get(part.key) !== part.tokens);
    parts.forEach((part) => this.put(part.key, part.tokens));
    this.evict();
    return changed;
  }

  /** Records a cached part that a peer or the runner itself reported. */
  learn(key: PromptKey, tokens: number): void {
    this.put(key, Math.max(tokens, this.tokensByPart.get(key) ?? 0));
    this.evict();
  }

  /** Forgets all parts. */
  clear(): void {
    this.tokensByPart.clear();
    this.totalTokens = 0;
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
