/**
 * Gateways tell one another several times a second how many of their requests are at each runner,
 * so that each can weigh all load and not its own alone. Datagrams may be lost; what a silent peer
 * told is forgotten soon. Peers are found through seeds and through one another.
 */
import { hashToNumber } from '../runtime/hashing.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { DatagramPort } from './datagram-port.js';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  LARGEST_STORE_AGE_MILLISECONDS,
} from './load-message.js';
import type { LoadMessage, RunnerLoad } from './load-message.js';
import type { PromptPlace } from './recent-places.js';

/** What the gossip is made with. */
export interface LoadGossipOptions {
  readonly runtime: Runtime;
  readonly host: string;
  readonly datagrams: DatagramPort;
  /** Hosts to begin with. */
  readonly seeds: () => readonly string[];
  /** Requests of this gateway by runner. */
  readonly ownLoads: () => ReadonlyMap<string, number>;
  /** Revision of the store up to which nothing is missing here. */
  readonly ownRevision: () => number;
  /** Time since a gateway known here heard from the store, in milliseconds. */
  readonly storeAgeMilliseconds: () => number;
  /** A peer told what it knows of the store. */
  readonly onStoreNews: (news: StoreNews) => void;
  /** Whether this gateway reaches a majority of the replicas. */
  readonly reachesReplicas: () => boolean;
  /** What this gateway's requests have put into runners' memory within the last milliseconds. */
  readonly ownPlaces: (milliseconds: number) => readonly PromptPlace[];
  /** A peer told what runners have begun to keep. */
  readonly onPlaces: (places: readonly PromptPlace[]) => void;
}

/** What a peer knows of the store. */
export interface StoreNews {
  /** Host of the peer. */
  readonly from: string;
  /** Revision up to which it misses nothing. */
  readonly revision: number;
  /** Time since a gateway known to it heard from the store, in milliseconds. */
  readonly ageMilliseconds: number;
}

const PERIOD_MILLISECONDS = 100;
/** Least time after which what a silent peer told is forgotten, in milliseconds. */
const STALE_MILLISECONDS = 500;
/** The same in mean times between two messages of a peer: with many peers these are longer. */
const STALE_MESSAGES = 2.5;
/** Time after which a silent peer is no longer sent to, in milliseconds. */
const FORGET_MILLISECONDS = 10_000;
/** Most peers told in a period. */
const FAN_OUT = 8;
/** Times that each peer is told a place, since datagrams are lost now and then. */
const PLACE_REPEATS = 3;
/** Peers named in a message. */
const NAMED_PEERS = 3;
const LARGEST_LIFE = 2 ** 31;
/** Life of a peer that others have named and that was not heard itself. */
const UNKNOWN_LIFE = -1;

interface PeerLoad {
  life: number;
  sequence: number;
  heardAt: number;
  loads: readonly RunnerLoad[];
  reachesReplicas: boolean;
}

/** See the head of this file. */
export class LoadGossip {
  private readonly peers = new Map<string, PeerLoad>();
  private readonly cancelTimer: CancelTimer;
  private readonly life: number;
  private sequence = 0;
  /** Requests of all other gateways by the hash of their runner. */
  private totals = new Map<number, number>();

  constructor(private readonly options: LoadGossipOptions) {
    const { runtime, datagrams } = options;
    this.life = runtime.random.integer(0, LARGEST_LIFE);
    datagrams.onDatagram((bytes, from) => this.take(bytes, from));
    this.cancelTimer = setRepeatingTimer(runtime, PERIOD_MILLISECONDS, () => this.tell());
  }

  /** Requests of other gateways that are believed to be at a runner. */
  inFlightOfOthers(runner: string): number {
    return this.totals.get(hashToNumber(runner)) ?? 0;
  }

  /** Whether a gateway that was heard lately reaches the replicas. */
  get somePeerReachesReplicas(): boolean {
    const since = this.options.runtime.now() - this.staleMilliseconds;
    return [...this.peers.values()].some((peer) => peer.reachesReplicas && peer.heardAt >= since);
  }

  /** Gateways heard lately. */
  get peerCount(): number {
    return this.peers.size;
  }

  /** Hosts of the gateways that were heard themselves lately. */
  get heardPeers(): string[] {
    return [...this.peers].flatMap(([host, { life }]) => (life === UNKNOWN_LIFE ? [] : [host]));
  }

  /** Ends. */
  close(): void {
    this.cancelTimer();
    this.options.datagrams.close();
  }

  private tell(): void {
    this.forgetSilent();
    const { random } = this.options.runtime;
    const known = [...this.peers.keys()];
    const targets = new Set<string>();
    while (targets.size < Math.min(FAN_OUT, known.length)) {
      targets.add(random.pick(known));
    }
    this.addSeed(targets);
    this.sequence += 1;
    const message: LoadMessage = {
      sequence: this.sequence,
      life: this.life,
      loads: this.hashedLoads(),
      peers: known.slice(-NAMED_PEERS),
      revision: this.options.ownRevision(),
      reachesReplicas: this.options.reachesReplicas(),
      storeAgeMilliseconds: Math.min(
        LARGEST_STORE_AGE_MILLISECONDS,
        Math.round(this.options.storeAgeMilliseconds()),
      ),
      places: this.options.ownPlaces(PLACE_REPEATS * this.messageMilliseconds),
    };
    const bytes = encodeLoadMessage(message);
    for (const target of targets) {
      this.options.datagrams.send(bytes, target);
    }
    this.sumUp();
  }

  private hashedLoads(): RunnerLoad[] {
    return [...this.options.ownLoads()].map(([runner, inFlight]) => ({
      runnerHash: hashToNumber(runner),
      inFlight,
    }));
  }

  /** Greets one seed that was not heard, so that parted groups find one another again. */
  private addSeed(targets: Set<string>): void {
    const { seeds, host, runtime } = this.options;
    const silent = seeds().filter((seed) => seed !== host && !this.peers.has(seed));
    if (silent.length > 0) {
      targets.add(runtime.random.pick(silent));
    }
  }

  private take(bytes: Uint8Array, from: string): void {
    const message = decodeLoadMessage(bytes);
    if (message === undefined || from === this.options.host) {
      return;
    }
    const known = this.peers.get(from);
    if (known?.life === message.life && message.sequence <= known.sequence) {
      return;
    }
    const { life, sequence, loads, reachesReplicas } = message;
    const heardAt = this.options.runtime.now();
    this.peers.set(from, { life, sequence, loads, reachesReplicas, heardAt });
    message.peers.forEach((peer) => this.learn(peer));
    const { revision, storeAgeMilliseconds: ageMilliseconds } = message;
    this.options.onStoreNews({ from, revision, ageMilliseconds });
    this.options.onPlaces(message.places);
  }

  private learn(peer: string): void {
    if (peer !== this.options.host && !this.peers.has(peer)) {
      const heardAt = this.options.runtime.now();
      this.peers.set(peer, {
        life: UNKNOWN_LIFE,
        sequence: 0,
        loads: [],
        reachesReplicas: false,
        heardAt,
      });
    }
  }

  private forgetSilent(): void {
    const now = this.options.runtime.now();
    for (const [peer, state] of this.peers) {
      if (now - state.heardAt > FORGET_MILLISECONDS) {
        this.peers.delete(peer);
      }
    }
  }

  /** Time after which what a silent peer told is forgotten, in milliseconds. */
  private get staleMilliseconds(): number {
    return Math.max(STALE_MILLISECONDS, STALE_MESSAGES * this.messageMilliseconds);
  }

  /** Mean time between two messages to the same peer, in milliseconds. */
  private get messageMilliseconds(): number {
    return PERIOD_MILLISECONDS * Math.max(1, this.peers.size / FAN_OUT);
  }

  private sumUp(): void {
    const now = this.options.runtime.now();
    const totals = new Map<number, number>();
    const stale = this.staleMilliseconds;
    for (const state of this.peers.values()) {
      if (now - state.heardAt <= stale) {
        for (const { runnerHash, inFlight } of state.loads) {
          totals.set(runnerHash, (totals.get(runnerHash) ?? 0) + inFlight);
        }
      }
    }
    this.totals = totals;
  }
}
