/** An LRU cache of complete turn chains. Chains are immutable, so entries never become stale. */
import type { ConversationTurn } from './conversation-turn.js';

/** Maximum total size of the cached chains, in bytes; the least recently used are evicted first. */
export const MAXIMUM_CHAIN_CACHE_BYTES = 24 * 1024 * 1024;

/** Caches chain bodies by the id of their last turn. */
export class ChainCache {
  private readonly chains = new Map<string, Buffer>();
  private bytes = 0;

  /** Returns the body of the chain that ends with a turn, and marks it as recently used. */
  get(turn: string): Buffer | undefined {
    const chain = this.chains.get(turn);
    if (chain !== undefined) {
      this.chains.delete(turn);
      this.chains.set(turn, chain);
    }
    return chain;
  }

  /** Appends a turn to the cached chain of its predecessor; ignored when that chain is not cached. */
  add(turn: ConversationTurn): void {
    const prefix = turn.previous === '' ? Buffer.alloc(0) : this.chains.get(turn.previous);
    if (prefix !== undefined) {
      this.put(turn.id, Buffer.concat([prefix, turn.input, turn.output]));
    }
  }

  /** Stores a complete chain and evicts the least recently used ones beyond the size limit. */
  put(turn: string, chain: Buffer): void {
    this.bytes += chain.length - (this.chains.get(turn)?.length ?? 0);
    this.chains.delete(turn);
    this.chains.set(turn, chain);
    for (const [oldest, body] of this.chains) {
      if (this.bytes <= MAXIMUM_CHAIN_CACHE_BYTES) {
        return;
      }
      this.chains.delete(oldest);
      this.bytes -= body.length;
    }
  }
}
