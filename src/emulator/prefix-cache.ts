/**
 * An engine's prompt cache: a tree of message prefixes with bounded memory, least recently used
 * first out, with holds; it also measures how much of the memory it kept was of no use.
 */
import type { ProgramId } from '../model/identifiers.js';
import type { HeldProgram } from '../platform/back-end-port.js';

/** One message's place in the tree: its prefix digest and its own tokens. */
export interface PrefixLink {
  readonly digest: string;
  readonly tokens: number;
}

/** Memory kept without being in use, in token-milliseconds. */
export interface CacheUse {
  /** All idle memory. */
  idle: number;
  /** Idle memory of entries that were never used again. */
  neverReused: number;
  /** Idle stretches that ended in eviction, release or the end of the run. */
  unusedStretches: number;
}

interface CacheEntry {
  readonly digest: string;
  readonly tokens: number;
  readonly parent: CacheEntry | undefined;
  readonly firstProgram: ProgramId;
  shared: boolean;
  children: number;
  /** Running sequences that use it. */
  users: number;
  /** Holds that cover it. */
  holds: number;
  lastUsedAt: number;
  idleSince: number;
  idleTotal: number;
  reused: boolean;
}

interface ProgramHold {
  readonly leaf: CacheEntry;
  readonly until: number;
}

/** A sequence's use of the cache, from its start to its end. */
export interface CacheLease {
  readonly program: ProgramId;
  /** Prompt tokens found in the cache. */
  readonly cachedTokens: number;
  readonly entries: CacheEntry[];
}

/** See the head of this file. */
export class PrefixCache {
  private readonly entries = new Map<string, CacheEntry>();
  private readonly programHolds = new Map<ProgramId, ProgramHold>();
  private readonly leaves = new Map<ProgramId, CacheEntry>();
  private readonly useSoFar: CacheUse = { idle: 0, neverReused: 0, unusedStretches: 0 };
  private usedTokens = 0;
  private evicted: ProgramId[] = [];

  constructor(
    private readonly capacityTokens: number,
    private readonly now: () => number,
  ) {}

  /** Tokens in the cache. */
  get tokens(): number {
    return this.usedTokens;
  }

  /** Takes the longest cached prefix into use and makes room for the rest; undefined if none. */
  acquire(program: ProgramId, chain: readonly PrefixLink[]): CacheLease | undefined {
    const known = this.findPrefix(chain);
    known.forEach((entry) => this.use(entry, program));
    const missing = chain.slice(known.length);
    const needed = missing.reduce((sum, link) => sum + link.tokens, 0);
    if (!this.makeRoom(needed)) {
      known.forEach((entry) => this.leave(entry));
      return undefined;
    }
    const cachedTokens = known.reduce((sum, entry) => sum + entry.tokens, 0);
    const lease: CacheLease = { program, cachedTokens, entries: known };
    missing.forEach((link) => this.append(lease, link));
    return lease;
  }

  /** Adds a generated message at the end of a lease; false when there is no room. */
  extend(lease: CacheLease, link: PrefixLink): boolean {
    if (this.entries.has(link.digest)) {
      return true;
    }
    if (!this.makeRoom(link.tokens)) {
      return false;
    }
    this.append(lease, link);
    return true;
  }

  /** Ends a lease; its memory stays until it is evicted or released. */
  release(lease: CacheLease): void {
    lease.entries.forEach((entry) => this.leave(entry));
    const leaf = lease.entries[lease.entries.length - 1];
    if (leaf !== undefined) {
      this.leaves.set(lease.program, leaf);
    }
  }

  /** Keeps a program's memory for a time; 0 gives back what no other program shares. */
  hold(program: ProgramId, milliseconds: number): void {
    this.endHold(program);
    const leaf = this.leaves.get(program);
    if (leaf === undefined) {
      return;
    }
    if (milliseconds <= 0) {
      this.leaves.delete(program);
      this.drop(leaf);
      return;
    }
    forEachAncestor(leaf, (entry) => {
      entry.holds += 1;
    });
    this.programHolds.set(program, { leaf, until: this.now() + milliseconds });
  }

  /** Gives back the memory of holds that have lapsed. */
  expireHolds(): void {
    const now = this.now();
    for (const [program, hold] of [...this.programHolds]) {
      if (hold.until <= now) {
        this.hold(program, 0);
      }
    }
  }

  /** Programs with memory held on request. */
  listHeld(): HeldProgram[] {
    return [...this.programHolds].map(([program, hold]) => {
      let tokens = 0;
      forEachAncestor(hold.leaf, (entry) => {
        tokens += entry.tokens;
      });
      return { program, tokens };
    });
  }

  /** Programs whose memory was pushed out since the last call. */
  takeEvicted(): ProgramId[] {
    const evicted = this.evicted;
    this.evicted = [];
    return evicted;
  }

  /** Idle memory so far, counting what is idle now as if the run ended. */
  measureUse(): CacheUse {
    const total = { ...this.useSoFar };
    for (const entry of this.entries.values()) {
      const stretch = entry.users > 0 ? 0 : (this.now() - entry.idleSince) * entry.tokens;
      total.idle += entry.idleTotal + stretch;
      total.neverReused += entry.reused ? 0 : entry.idleTotal + stretch;
      total.unusedStretches += stretch;
    }
    return total;
  }

  /** Loses everything, as a crash does. */
  clear(): void {
    for (const entry of [...this.entries.values()]) {
      entry.users = 0;
      entry.children = 0;
      this.remove(entry);
    }
    this.programHolds.clear();
    this.leaves.clear();
    this.usedTokens = 0;
  }

  private findPrefix(chain: readonly PrefixLink[]): CacheEntry[] {
    const found: CacheEntry[] = [];
    for (const link of chain) {
      const entry = this.entries.get(link.digest);
      if (entry === undefined) {
        break;
      }
      found.push(entry);
    }
    return found;
  }

  private append(lease: CacheLease, link: PrefixLink): void {
    const now = this.now();
    const parent = lease.entries[lease.entries.length - 1];
    const entry: CacheEntry = {
      digest: link.digest,
      tokens: link.tokens,
      parent,
      firstProgram: lease.program,
      shared: false,
      children: 0,
      users: 1,
      holds: 0,
      lastUsedAt: now,
      idleSince: now,
      idleTotal: 0,
      reused: false,
    };
    if (parent !== undefined) {
      parent.children += 1;
    }
    this.entries.set(link.digest, entry);
    this.usedTokens += link.tokens;
    lease.entries.push(entry);
  }

  private use(entry: CacheEntry, program: ProgramId): void {
    const now = this.now();
    if (entry.users === 0) {
      entry.idleTotal += (now - entry.idleSince) * entry.tokens;
    }
    entry.users += 1;
    entry.reused = true;
    entry.shared ||= entry.firstProgram !== program;
    entry.lastUsedAt = now;
  }

  private leave(entry: CacheEntry): void {
    entry.users -= 1;
    entry.lastUsedAt = this.now();
    if (entry.users === 0) {
      entry.idleSince = this.now();
    }
  }

  private makeRoom(needed: number): boolean {
    while (this.usedTokens + needed > this.capacityTokens) {
      const victim = this.findVictim();
      if (victim === undefined) {
        return false;
      }
      this.evicted.push(victim.firstProgram);
      this.dropHoldsOn(victim);
      this.remove(victim);
    }
    return true;
  }

  /** Least recently used leaf that is not in use; held ones only when nothing else is left. */
  private findVictim(): CacheEntry | undefined {
    let best: CacheEntry | undefined;
    for (const entry of this.entries.values()) {
      if (entry.children > 0 || entry.users > 0) {
        continue;
      }
      if (best === undefined || isWorthLess(entry, best)) {
        best = entry;
      }
    }
    return best;
  }

  private dropHoldsOn(victim: CacheEntry): void {
    if (victim.holds === 0) {
      return;
    }
    for (const [program, hold] of [...this.programHolds]) {
      if (hold.leaf === victim) {
        this.endHold(program);
      }
    }
  }

  private endHold(program: ProgramId): void {
    const hold = this.programHolds.get(program);
    if (hold !== undefined) {
      this.programHolds.delete(program);
      forEachAncestor(hold.leaf, (entry) => {
        entry.holds -= 1;
      });
    }
  }

  private drop(leaf: CacheEntry): void {
    let entry: CacheEntry | undefined = leaf;
    while (entry !== undefined && this.entries.get(entry.digest) === entry) {
      const inUse = entry.children > 0 || entry.users > 0 || entry.holds > 0;
      if (inUse || entry.shared) {
        return;
      }
      const parent: CacheEntry | undefined = entry.parent;
      this.remove(entry);
      entry = parent;
    }
  }

  private remove(entry: CacheEntry): void {
    const stretch = (this.now() - entry.idleSince) * entry.tokens;
    const idle = entry.idleTotal + stretch;
    this.useSoFar.idle += idle;
    this.useSoFar.unusedStretches += stretch;
    this.useSoFar.neverReused += entry.reused ? 0 : idle;
    this.entries.delete(entry.digest);
    this.usedTokens -= entry.tokens;
    if (entry.parent !== undefined) {
      entry.parent.children -= 1;
    }
  }
}

function isWorthLess(left: CacheEntry, right: CacheEntry): boolean {
  const leftHeld = left.holds > 0;
  const rightHeld = right.holds > 0;
  if (leftHeld !== rightHeld) {
    return rightHeld;
  }
  return left.lastUsedAt < right.lastUsedAt;
}

function forEachAncestor(leaf: CacheEntry, visit: (entry: CacheEntry) => void): void {
  for (let entry: CacheEntry | undefined = leaf; entry !== undefined; entry = entry.parent) {
    visit(entry);
  }
}
