/**
 * The gateways that this one knows, with their zones. Within a zone they are ranked by the hash of
 * their host: whoever comes first takes on what one gateway does for the zone. Nobody elects it; ranks
 * follow from who is heard, and two that both believe themselves first do some work twice.
 */
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';

/** A gateway as others name it. */
export interface NamedPeer {
  readonly host: string;
  /** Hash of its zone's name. */
  readonly zoneHash: number;
}

/** What is known of a gateway. */
export interface Peer extends NamedPeer {
  /** Whether its process reads messages with a tail, as its own messages tell. */
  supportsExtensions: boolean;
  /** Rank of the host: lower ones come first. */
  readonly hash: number;
  /** Local time of its last message here, in milliseconds. */
  heardAt: number;
  /** Local time at which it was last heard here or by who collects for its zone, in milliseconds. */
  aliveAt: number;
}

/** What the table is made with. */
export interface PeerTableOptions {
  readonly runtime: Runtime;
  readonly host: string;
  readonly zoneHash: number;
}

/** Time after which a gateway that nobody hears counts as gone from its rank, in milliseconds. */
const ALIVE_TIMEOUT_MILLISECONDS = 1_500;
/** Time after which it is no longer sent to, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;

/** See the head of this file. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  private readonly ownHash: number;

  constructor(private readonly options: PeerTableOptions) {
    this.ownHash = hashToNumber(options.host);
  }

  /** Gateways known. */
  get size(): number {
    return this.peers.size;
  }

  /** Hosts of all known. */
  hosts(): string[] {
    return [...this.peers.keys()];
  }

  has(host: string): boolean {
    return this.peers.has(host);
  }

  /** Whether a gateway is known to read messages with a tail. */
  supportsExtensions(host: string): boolean {
    return this.peers.get(host)?.supportsExtensions ?? false;
  }

  /** Notes a message of a gateway. */
  noteHeard(named: NamedPeer, supportsExtensions: boolean): void {
    const now = this.options.runtime.now();
    this.upsert(named, now, now).supportsExtensions = supportsExtensions;
  }

  /** Notes that another gateway named one that it had heard just now. */
  noteNamed(named: NamedPeer): void {
    if (named.host !== this.options.host) {
      const heardAt = this.peers.get(named.host)?.heardAt ?? -Infinity;
      this.upsert(named, heardAt, this.options.runtime.now());
    }
  }

  /** Gateways of a zone that are alive, without this one, the first ranked first. */
  aliveInZone(zoneHash: number): Peer[] {
    const since = this.options.runtime.now() - ALIVE_TIMEOUT_MILLISECONDS;
    return [...this.peers.values()]
      .filter((peer) => peer.zoneHash === zoneHash && peer.aliveAt >= since)
      .sort((left, right) => left.hash - right.hash);
  }

  /** Gateways heard here within the last milliseconds. */
  heardWithin(milliseconds: number): Peer[] {
    const since = this.options.runtime.now() - milliseconds;
    return [...this.peers.values()].filter((peer) => peer.heardAt >= since);
  }

  /** Hashes of all zones of which gateways are known, this one's own among them. */
  zones(): Set<number> {
    const hashes = [...this.peers.values()].map((peer) => peer.zoneHash);
    return new Set([this.options.zoneHash, ...hashes]);
  }

  /** Gateways alive in the own zone that come before this one. */
  rankInZone(): number {
    return this.aliveInZone(this.options.zoneHash).filter((peer) => peer.hash < this.ownHash)
      .length;
  }

  /** Gateways of all zones that are alive and come before this one: the first of each zone, then the next. */
  globalRank(): number {
    const zones = [...this.zones()].sort((left, right) => left - right);
    return this.rankInZone() * zones.length + zones.indexOf(this.options.zoneHash);
  }

  /** Gateways that are alive, as far as they are known, without this one. */
  get aliveCount(): number {
    const since = this.options.runtime.now() - ALIVE_TIMEOUT_MILLISECONDS;
    let count = 0;
    for (const { aliveAt } of this.peers.values()) {
      count += aliveAt >= since ? 1 : 0;
    }
    return count;
  }

  /** Drops those that nobody has heard for long. */
  forgetSilent(): void {
    const since = this.options.runtime.now() - RETENTION_MILLISECONDS;
    for (const [host, { aliveAt }] of this.peers) {
      if (aliveAt < since) {
        this.peers.delete(host);
      }
    }
  }

  private upsert({ host, zoneHash }: NamedPeer, heardAt: number, aliveAt: number): Peer {
    const known = this.peers.get(host);
    if (known === undefined || known.zoneHash !== zoneHash) {
      const hash = hashToNumber(host);
      const peer: Peer = { host, zoneHash, supportsExtensions: false, hash, heardAt, aliveAt };
      this.peers.set(host, peer);
      return peer;
    }
    known.heardAt = heardAt;
    known.aliveAt = aliveAt;
    return known;
  }
}
