/** Which parts of prompts one runner is believed to keep: those sent there lately, within its memory. */
import type { PromptPart } from './relay-request.js';

/** See the head of this file. Parts unused for the longest give way first. */
export class PromptPlaces {
  /** Tokens by part, the least lately used first. */
  private readonly tokensByPart = new Map<string, number>();
  private totalTokens = 0;

  constructor(private readonly capacityTokens: number) {}

  has(partId: string): boolean {
    return this.tokensByPart.has(partId);
  }

  /** Notes that a prompt was read there. */
  touch(parts: readonly PromptPart[]): void {
    for (const part of parts) {
      this.totalTokens -= this.tokensByPart.get(part.id) ?? 0;
      this.tokensByPart.delete(part.id);
      this.tokensByPart.set(part.id, part.tokens);
      this.totalTokens += part.tokens;
    }
    for (const [part, tokens] of this.tokensByPart) {
      if (this.totalTokens <= this.capacityTokens) {
        return;
      }
      this.tokensByPart.delete(part);
      this.totalTokens -= tokens;
    }
  }
}
