/** What the scheduler believes each back end's prompt cache holds: what was sent, less evictions. */
import type { EngineId } from '../model/identifiers.js';
import type { PromptPrefix } from '../wire/messages.js';

/** Tokens believed cached on one engine for a prompt. */
export interface CachedPrefix {
  readonly engine: EngineId;
  readonly tokens: number;
}

/** Prefix names to the engines that should have them. */
export class CacheDirectory {
  private readonly enginesByPrefix = new Map<string, Map<EngineId, number>>();

  /** Notes that an engine now holds a prefix. */
  add(engine: EngineId, prefix: PromptPrefix): void {
    let engines = this.enginesByPrefix.get(prefix.name);
    if (engines === undefined) {
      engines = new Map();
      this.enginesByPrefix.set(prefix.name, engines);
    }
    engines.set(engine, prefix.tokens);
  }

  /** Notes that an engine no longer holds a prefix. */
  remove(engine: EngineId, name: string): void {
    const engines = this.enginesByPrefix.get(name);
    engines?.delete(engine);
    if (engines?.size === 0) {
      this.enginesByPrefix.delete(name);
    }
  }

  /** Forgets a prefix everywhere and returns the engines that held it. */
  forget(name: string): EngineId[] {
    const engines = [...(this.enginesByPrefix.get(name)?.keys() ?? [])];
    this.enginesByPrefix.delete(name);
    return engines;
  }

  /** Engines believed to hold a prefix. */
  holders(name: string): EngineId[] {
    return [...(this.enginesByPrefix.get(name)?.keys() ?? [])];
  }

  /** Tokens of a prompt believed cached on an engine: its longest known prefix. */
  cachedTokens(engine: EngineId, prefixes: readonly PromptPrefix[]): number {
    for (const prefix of prefixes) {
      const tokens = this.enginesByPrefix.get(prefix.name)?.get(engine);
      if (tokens !== undefined) {
        return Math.min(tokens, prefix.tokens);
      }
    }
    return 0;
  }

  /** Number of known prefixes. */
  get size(): number {
    return this.enginesByPrefix.size;
  }
}
