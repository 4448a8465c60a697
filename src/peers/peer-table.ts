/**
 * The gateways known to this one, with their zones. Within a zone, gateways are ranked by the hash
 * of their host; the first-ranked gateway does the work that is done once for the zone. There is no
 * election: ranks follow from which gateways are alive, and if two gateways both consider
 * themselves first, some work is done twice.
 */
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';

/** A gateway as listed in messages. */
export interface NamedPeer {
  readonly host: string;
  /** Hash of the name of the gateway's zone. */
  readonly zoneHash: number;
}

/** What is known of a gateway. */
export interface Peer extends NamedPeer {
  /** Whether the gateway accepts messages with extensions, according to its own messages. */
  supportsExtensions: boolean;
  /** Hash of the host; lower hashes rank first. */
  readonly hash: number;
  /** Local time of the last message received from the gateway, in milliseconds. */
  heardAt: number;
  /**
   * Local time of its last sign of life, in milliseconds: a message, or a message of another
   * gateway that lists it.
   */
  aliveAt: number;
}

export interface PeerTableOptions {
  readonly runtime: Runtime;
  readonly host: string;
  readonly zoneHash: number;
}

/**
 * Time without a sign of life after which a gateway no longer counts in the ranking, in
 * milliseconds.
 */
const ALIVE_TIMEOUT_MILLISECONDS = 1_500;
/** Time without a sign of life after which a gateway is removed from the table, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;

/** Keeps the known gateways and ranks them. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  private readonly ownHash: number;

  constructor(private readonly options: PeerTableOptions) {
    this.ownHash = hashToNumber(options.host);
  }

  get size(): number {
    return this.peers.size;
  }

  hosts(): string[] {
    return [...this.peers.keys()];
  }

  has(host: string): boolean {
    return this.peers.has(host);
  }

  /** Whether a gateway is known to accept messages with extensions. */
  supportsExtensions(host: string): boolean {
    return this.peers.get(host)?.supportsExtensions ?? false;
  }

  /** Records a message received from a gateway. */
  noteHeard(named: NamedPeer, supportsExtensions: boolean): void {
    const now = this.options.runtime.now();
    this.upsert(named, now, now).supportsExtensions = supportsExtensions;
  }

  /** Records that another gateway lists this one as recently heard from. */
  noteNamed(named: NamedPeer): void {
    if (named.host !== this.options.host) {
      const heardAt = this.peers.get(named.host)?.heardAt ?? -Infinity;
      this.upsert(named, heardAt, this.options.runtime.now());
    }
  }

  /** Returns the other gateways of a zone that are alive, first-ranked first. */
  aliveInZone(zoneHash: number): Peer[] {
    const since = this.options.runtime.now() - ALIVE_TIMEOUT_MILLISECONDS;
    return [...this.peers.values()]
      .filter((peer) => peer.zoneHash === zoneHash && peer.aliveAt >= since)
      .sort((left, right) => left.hash - right.hash);
  }

  /** Returns the gateways from which a message was received within the last `milliseconds`. */
  heardWithin(milliseconds: number): Peer[] {
    const since = this.options.runtime.now() - milliseconds;
    return [...this.peers.values()].filter((peer) => peer.heardAt >= since);
  }

  /** Returns the hash of a gateway's zone; undefined if the gateway is not known. */
  zoneOf(host: string): number | undefined {
    return this.peers.get(host)?.zoneHash;
  }

  /** Returns the lowest of some zones in which a gateway is alive, this one included. */
  firstLiveZone(isConsidered: (zoneHash: number) => boolean): number | undefined {
    const zones = [...this.zones()].filter(isConsidered).sort((left, right) => left - right);
    return zones.find(
      (zone) => zone === this.options.zoneHash || this.aliveInZone(zone).length > 0,
    );
  }

  /** Returns the hashes of all known zones, including this gateway's own. */
  zones(): Set<number> {
    const hashes = [...this.peers.values()].map((peer) => peer.zoneHash);
    return new Set([this.options.zoneHash, ...hashes]);
  }

  /** Number of live gateways of this zone that rank before this one. */
  rankInZone(): number {
    return this.aliveInZone(this.options.zoneHash).filter((peer) => peer.hash < this.ownHash)
      .length;
  }

  /**
   * Rank among the live gateways of all zones, or of some: the first of each zone comes before the
   * second of any.
   */
  globalRank(isRanked: (zoneHash: number) => boolean = () => true): number {
    const zones = [...this.zones()].filter(isRanked).sort((left, right) => left - right);
    return this.rankInZone() * zones.length + zones.indexOf(this.options.zoneHash);
  }

  /** Number of other gateways that are alive. */
  get aliveCount(): number {
    const since = this.options.runtime.now() - ALIVE_TIMEOUT_MILLISECONDS;
    let count = 0;
    for (const { aliveAt } of this.peers.values()) {
      count += aliveAt >= since ? 1 : 0;
    }
    return count;
  }

  /** Removes gateways that have been silent for too long. */
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
