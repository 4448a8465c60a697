/** Chains that this process has lately seen whole; they never change, so a hit is always right. */
import type { ConversationTurn } from './conversation-turn.js';

/** Bytes of chains that are kept; the least lately used go first. */
export const MAXIMUM_CHAIN_CACHE_BYTES = 24 * 1024 * 1024;

/** See the head of this file. */
export class ChainCache {
  private readonly chains = new Map<string, Buffer>();
  private bytes = 0;

  /** The chain that ends with a turn. */
  get(turn: string): Buffer | undefined {
    const chain = this.chains.get(turn);
    if (chain !== undefined) {
      this.chains.delete(turn);
      this.chains.set(turn, chain);
    }
    return chain;
  }

  /** Adds a turn whose earlier turns are here, or that begins a line. */
  add(turn: ConversationTurn): void {
    const prefix = turn.previous === '' ? Buffer.alloc(0) : this.chains.get(turn.previous);
    if (prefix !== undefined) {
      this.put(turn.id, Buffer.concat([prefix, turn.input, turn.output]));
    }
  }

  /** Adds a whole chain. */
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
