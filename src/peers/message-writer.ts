/** Builds the load messages of this gateway: its own report, sums, and answers. */
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import type { StoreProof } from '../mirror/store-freshness.js';
import {
  FIRST_LIFE_WITH_EXTENSIONS,
  MAXIMUM_PROOF_AGE_MILLISECONDS,
  NO_PROOF,
} from './load-message.js';
import type { LoadMessage, LoadScope, RunnerLoad } from './load-message.js';
import { toRunnerLoads, sumLoads } from './load-sums.js';
import type { NamedPeer, PeerTable } from './peer-table.js';
import type { PromptPlace } from './recent-places.js';
import { sumAggregates, toAggregates } from './aggregates.js';
import type { Aggregate } from './aggregates.js';
import type { SuspectNews } from '../suspects/suspect-news.js';

/** What a gateway reports of itself. */
export interface OwnState {
  readonly runtime: Runtime;
  /** Requests of this gateway by runner incarnation. */
  readonly ownLoads: () => ReadonlyMap<string, number>;
  /** Revision of the store up to which this gateway has all changes. */
  readonly ownRevision: () => number;
  /** Newest proof of the store's revision; undefined while none is known. */
  readonly proof: () => StoreProof | undefined;
  /** Whether this gateway reaches a majority of the replicas. */
  readonly reachesReplicas: () => boolean;
  /**
   * Prompt parts that this gateway's requests have put into runners' caches within the last
   * `milliseconds`.
   */
  readonly ownPlaces: (milliseconds: number) => readonly PromptPlace[];
  /** This gateway's amounts, to be summed over all gateways. */
  readonly ownAggregates: () => readonly Aggregate[];
  /** What the next regular message tells of requests under which runners ended. @default nothing */
  readonly suspects?: () => readonly SuspectNews[];
}

/** Peers heard from within this time are listed in messages, in milliseconds. */
export const NAMED_PEER_MILLISECONDS = 1_000;
/** Maximum number of peers listed in a message. */
const NAMED_PEERS = 4;
/** Number of possible lives; large enough that two processes hardly ever draw the same one. */
const LIFE_COUNT = 2 ** 31 - 1;

/** Fields of a message that counts no requests. */
const NOTHING_COUNTED = { gateways: 0, loads: [], places: [], aggregates: [] } as const;

/** Builds load messages and numbers them. */
export class MessageWriter {
  private readonly life: number;
  private sequence = 0;

  constructor(
    private readonly ownState: OwnState,
    private readonly table: PeerTable,
    private readonly zoneHash: number,
  ) {
    this.life = FIRST_LIFE_WITH_EXTENSIONS + ownState.runtime.random.integer(0, LIFE_COUNT - 1);
  }

  /** Builds the report of this gateway's own requests, with the places of the last milliseconds. */
  report(placesMilliseconds: number): LoadMessage {
    const places = this.ownState.ownPlaces(placesMilliseconds);
    const aggregates = this.ownState.ownAggregates();
    const suspects = this.ownState.suspects?.() ?? [];
    const counted = { gateways: 1, loads: this.hashedLoads(), places, aggregates, suspects };
    return { ...this.header('gateway', this.namedPeers()), ...counted };
  }

  /** Builds the sum of a message and of other gateways' messages. */
  sum(
    scope: LoadScope,
    base: LoadMessage,
    parts: readonly LoadMessage[],
    places: readonly PromptPlace[],
  ): LoadMessage {
    return {
      ...base,
      scope,
      sequence: this.nextSequence(),
      gateways: parts.reduce((sum, part) => sum + part.gateways, base.gateways),
      loads: toRunnerLoads(sumLoads([base.loads, ...parts.map(({ loads }) => loads)])),
      places: [...base.places, ...places],
      aggregates: toAggregates(
        sumAggregates([base.aggregates, ...parts.map(({ aggregates }) => aggregates)]),
      ),
      reachesReplicas: base.reachesReplicas || parts.some((part) => part.reachesReplicas),
    };
  }

  /**
   * Builds an answer: it lists the first-ranked gateways of the receiver's zone and counts no
   * requests.
   */
  answer(host: string, zoneHash: number): LoadMessage {
    const first = this.table.aliveInZone(zoneHash).slice(0, NAMED_PEERS);
    const peers = first.filter((peer) => peer.host !== host);
    return { ...this.header('answer', peers), ...NOTHING_COUNTED };
  }

  /** Builds a message that only tells of requests under which runners ended. */
  notice(suspects: readonly SuspectNews[]): LoadMessage {
    return { ...this.header('answer', []), ...NOTHING_COUNTED, suspects };
  }

  /** Builds the fields that are common to all messages of this gateway. */
  private header(
    scope: LoadScope,
    peers: readonly NamedPeer[],
  ): Omit<LoadMessage, 'gateways' | 'loads' | 'places' | 'aggregates' | 'suspects'> {
    const { ownRevision, reachesReplicas } = this.ownState;
    return {
      sequence: this.nextSequence(),
      life: this.life,
      scope,
      zoneHash: this.zoneHash,
      peers: peers.map(({ host, zoneHash }) => ({ host, zoneHash })),
      revision: ownRevision(),
      reachesReplicas: reachesReplicas(),
      proof: this.boundedProof(),
    };
  }

  private boundedProof(): StoreProof {
    const proof = this.ownState.proof();
    if (proof === undefined || proof.ageMilliseconds > MAXIMUM_PROOF_AGE_MILLISECONDS) {
      return NO_PROOF;
    }
    return { ...proof, ageMilliseconds: Math.ceil(proof.ageMilliseconds) };
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  /**
   * Returns the first-ranked peers of this zone that were heard from recently, so that all gateways
   * agree on the ranking, and one random peer.
   */
  private namedPeers(): NamedPeer[] {
    const recentPeers = this.table.heardWithin(NAMED_PEER_MILLISECONDS);
    const zonePeers = recentPeers.filter((peer) => peer.zoneHash === this.zoneHash);
    const first = zonePeers.sort((left, right) => left.hash - right.hash).slice(0, NAMED_PEERS - 1);
    const anyPeer = recentPeers.length > 0 ? [this.ownState.runtime.random.pick(recentPeers)] : [];
    return [...new Set([...first, ...anyPeer])];
  }

  private hashedLoads(): RunnerLoad[] {
    return [...this.ownState.ownLoads()].map(([runner, inFlight]) => ({
      runnerHash: hashToNumber(runner),
      inFlight,
    }));
  }
}
