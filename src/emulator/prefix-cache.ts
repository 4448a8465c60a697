/**
 * An engine's prompt cache: a tree of message prefixes with bounded capacity, LRU eviction and
 * holds. It also measures how much memory was kept without being reused.
 */
import type { ProgramId } from '../model/identifiers.js';
import type { HeldProgram } from '../platform/back-end-port.js';

/** One message of a prompt: the digest of the prefix that ends with it, and its own tokens. */
export interface PrefixLink {
  readonly digest: string;
  readonly tokens: number;
}

/** Memory that was cached but not in use, in token-milliseconds. */
export interface IdleMemory {
  /** All idle memory. */
  idle: number;
  /** Idle memory of entries that were never reused. */
  neverReused: number;
  /** Idle memory since the last use of each entry, up to its removal or now. */
  unusedStretches: number;
}

interface CacheEntry {
  readonly digest: string;
  readonly tokens: number;
  readonly parent: CacheEntry | undefined;
  readonly firstProgram: ProgramId;
  shared: boolean;
  childCount: number;
  /** Number of leases that use the entry. */
  leaseCount: number;
  /** Number of programs whose hold covers the entry. */
  holdCount: number;
  lastUsedAt: number;
  idleSince: number;
  idleTotal: number;
  reused: boolean;
}

interface ProgramHold {
  readonly leaf: CacheEntry;
  readonly expiresAt: number;
}

/** The entries that a running sequence uses; they aren't evicted until the lease is released. */
export interface CacheLease {
  readonly program: ProgramId;
  /** Number of prompt tokens found in the cache. */
  readonly cachedTokens: number;
  readonly entries: CacheEntry[];
}

/** A prefix cache with leases for running sequences and holds for programs between calls. */
export class PrefixCache {
  private readonly entries = new Map<string, CacheEntry>();
  private readonly programHolds = new Map<ProgramId, ProgramHold>();
  private readonly leaves = new Map<ProgramId, CacheEntry>();
  private readonly idleMemory: IdleMemory = { idle: 0, neverReused: 0, unusedStretches: 0 };
  private usedTokens = 0;
  private evicted: ProgramId[] = [];

  constructor(
    private readonly capacityTokens: number,
    private readonly now: () => number,
  ) {}

  /** Number of tokens in the cache. */
  get tokens(): number {
    return this.usedTokens;
  }

  /**
   * Leases the longest cached prefix and allocates the rest of the chain, evicting unused entries.
   * Returns undefined when there isn't enough capacity.
   */
  acquire(program: ProgramId, chain: readonly PrefixLink[]): CacheLease | undefined {
    const cachedEntries = this.findPrefix(chain);
    cachedEntries.forEach((entry) => this.acquireEntry(entry, program));
    const missing = chain.slice(cachedEntries.length);
    const needed = missing.reduce((sum, link) => sum + link.tokens, 0);
    if (!this.ensureCapacity(needed)) {
      cachedEntries.forEach((entry) => this.releaseEntry(entry));
      return undefined;
    }
    const cachedTokens = cachedEntries.reduce((sum, entry) => sum + entry.tokens, 0);
    const lease: CacheLease = { program, cachedTokens, entries: cachedEntries };
    missing.forEach((link) => this.append(lease, link));
    return lease;
  }

  /** Appends a generated message to a lease; returns false when there isn't enough capacity. */
  extend(lease: CacheLease, link: PrefixLink): boolean {
    if (this.entries.has(link.digest)) {
      return true;
    }
    if (!this.ensureCapacity(link.tokens)) {
      return false;
    }
    this.append(lease, link);
    return true;
  }

  /** Ends a lease; its entries stay cached until they are evicted or removed. */
  release(lease: CacheLease): void {
    lease.entries.forEach((entry) => this.releaseEntry(entry));
    const leaf = lease.entries[lease.entries.length - 1];
    if (leaf !== undefined) {
      this.leaves.set(lease.program, leaf);
    }
  }

  /** Holds a program's entries for a time; 0 ends the hold and removes its unshared entries. */
  hold(program: ProgramId, milliseconds: number): void {
    this.endHold(program);
    const leaf = this.leaves.get(program);
    if (leaf === undefined) {
      return;
    }
    if (milliseconds <= 0) {
      this.leaves.delete(program);
      this.removeUnshared(leaf);
      return;
    }
    forEachAncestor(leaf, (entry) => {
      entry.holdCount += 1;
    });
    this.programHolds.set(program, { leaf, expiresAt: this.now() + milliseconds });
  }

  /** Ends expired holds and removes the entries that no other program uses. */
  expireHolds(): void {
    const now = this.now();
    for (const [program, hold] of [...this.programHolds]) {
      if (hold.expiresAt <= now) {
        this.hold(program, 0);
      }
    }
  }

  /** Programs with a hold, and the number of tokens held for each. */
  listHeld(): HeldProgram[] {
    return [...this.programHolds].map(([program, hold]) => {
      let tokens = 0;
      forEachAncestor(hold.leaf, (entry) => {
        tokens += entry.tokens;
      });
      return { program, tokens };
    });
  }

  /** Returns the programs with entries evicted since the last call. */
  drainEvicted(): ProgramId[] {
    const evicted = this.evicted;
    this.evicted = [];
    return evicted;
  }

  /** Idle memory up to now, including entries that are idle at present. */
  measureIdleMemory(): IdleMemory {
    const total = { ...this.idleMemory };
    for (const entry of this.entries.values()) {
      const idleTokenTime =
        entry.leaseCount > 0 ? 0 : (this.now() - entry.idleSince) * entry.tokens;
      total.idle += entry.idleTotal + idleTokenTime;
      total.neverReused += entry.reused ? 0 : entry.idleTotal + idleTokenTime;
      total.unusedStretches += idleTokenTime;
    }
    return total;
  }

  /** Removes all entries and holds. */
  clear(): void {
    for (const entry of [...this.entries.values()]) {
      entry.leaseCount = 0;
      entry.childCount = 0;
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
      childCount: 0,
      leaseCount: 1,
      holdCount: 0,
      lastUsedAt: now,
      idleSince: now,
      idleTotal: 0,
      reused: false,
    };
    if (parent !== undefined) {
      parent.childCount += 1;
    }
    this.entries.set(link.digest, entry);
    this.usedTokens += link.tokens;
    lease.entries.push(entry);
  }

  private acquireEntry(entry: CacheEntry, program: ProgramId): void {
    const now = this.now();
    if (entry.leaseCount === 0) {
      entry.idleTotal += (now - entry.idleSince) * entry.tokens;
    }
    entry.leaseCount += 1;
    entry.reused = true;
    entry.shared ||= entry.firstProgram !== program;
    entry.lastUsedAt = now;
  }

  private releaseEntry(entry: CacheEntry): void {
    entry.leaseCount -= 1;
    entry.lastUsedAt = this.now();
    if (entry.leaseCount === 0) {
      entry.idleSince = this.now();
    }
  }

  private ensureCapacity(needed: number): boolean {
    while (this.usedTokens + needed > this.capacityTokens) {
      const victim = this.findVictim();
      if (victim === undefined) {
        return false;
      }
      this.evicted.push(victim.firstProgram);
      this.endHoldsOn(victim);
      this.remove(victim);
    }
    return true;
  }

  /** Finds the least recently used leaf without a lease; held leaves come last. */
  private findVictim(): CacheEntry | undefined {
    let best: CacheEntry | undefined;
    for (const entry of this.entries.values()) {
      if (entry.childCount > 0 || entry.leaseCount > 0) {
        continue;
      }
      if (best === undefined || isEvictedBefore(entry, best)) {
        best = entry;
      }
    }
    return best;
  }

  private endHoldsOn(victim: CacheEntry): void {
    if (victim.holdCount === 0) {
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
        entry.holdCount -= 1;
      });
    }
  }

  private removeUnshared(leaf: CacheEntry): void {
    let entry: CacheEntry | undefined = leaf;
    while (entry !== undefined && this.entries.get(entry.digest) === entry) {
      const inUse = entry.childCount > 0 || entry.leaseCount > 0 || entry.holdCount > 0;
      if (inUse || entry.shared) {
        return;
      }
      const parent: CacheEntry | undefined = entry.parent;
      this.remove(entry);
      entry = parent;
    }
  }

  private remove(entry: CacheEntry): void {
    const idleTokenTime = (this.now() - entry.idleSince) * entry.tokens;
    const idle = entry.idleTotal + idleTokenTime;
    this.idleMemory.idle += idle;
    this.idleMemory.unusedStretches += idleTokenTime;
    this.idleMemory.neverReused += entry.reused ? 0 : idle;
    this.entries.delete(entry.digest);
    this.usedTokens -= entry.tokens;
    if (entry.parent !== undefined) {
      entry.parent.childCount -= 1;
    }
  }
}

function isEvictedBefore(left: CacheEntry, right: CacheEntry): boolean {
  const leftHeld = left.holdCount > 0;
  const rightHeld = right.holdCount > 0;
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
