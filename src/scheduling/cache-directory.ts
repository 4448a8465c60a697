/**
 * Tracks which prompt prefixes each engine is expected to have in its prompt cache. Prefixes are
 * added when calls finish and removed when engines report evictions, so an entry may be stale.
 */
import type { EngineId } from '../model/identifiers.js';
import type { PromptPrefix } from '../wire/messages.js';

/** Number of a prompt's tokens that an engine is expected to have cached. */
export interface CachedPrefix {
  readonly engine: EngineId;
  readonly tokens: number;
}

/** Maps prefix names to the engines expected to have them cached. */
export class CacheDirectory {
  private readonly enginesByPrefix = new Map<string, Map<EngineId, number>>();

  /** Records that an engine has a prefix cached. */
  add(engine: EngineId, prefix: PromptPrefix): void {
    let engines = this.enginesByPrefix.get(prefix.name);
    if (engines === undefined) {
      engines = new Map();
      this.enginesByPrefix.set(prefix.name, engines);
    }
    engines.set(engine, prefix.tokens);
  }

  /** Records that an engine no longer has a prefix cached. */
  remove(engine: EngineId, name: string): void {
    const engines = this.enginesByPrefix.get(name);
    engines?.delete(engine);
    if (engines?.size === 0) {
      this.enginesByPrefix.delete(name);
    }
  }

  /** Removes a prefix from all engines and returns the engines that had it. */
  removeEverywhere(name: string): EngineId[] {
    const engines = [...(this.enginesByPrefix.get(name)?.keys() ?? [])];
    this.enginesByPrefix.delete(name);
    return engines;
  }

  /** Returns the engines expected to have a prefix cached. */
  holders(name: string): EngineId[] {
    return [...(this.enginesByPrefix.get(name)?.keys() ?? [])];
  }

  /**
   * Returns how many tokens of a prompt an engine is expected to have cached. The prefixes are
   * ordered from longest to shortest; the first one known on the engine counts.
   */
  cachedTokens(engine: EngineId, prefixes: readonly PromptPrefix[]): number {
    for (const prefix of prefixes) {
      const tokens = this.enginesByPrefix.get(prefix.name)?.get(engine);
      if (tokens !== undefined) {
        return Math.min(tokens, prefix.tokens);
      }
    }
    return 0;
  }

  /** Number of prefixes cached on at least one engine. */
  get size(): number {
    return this.enginesByPrefix.size;
  }
}
