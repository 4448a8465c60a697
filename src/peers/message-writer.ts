/** Puts together what this gateway tells others of its load, of sums of loads, and of the store. */
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

/** What this gateway has to tell of itself. */
export interface OwnState {
  readonly runtime: Runtime;
  /** Requests of this gateway by runner. */
  readonly ownLoads: () => ReadonlyMap<string, number>;
  /** Revision of the store up to which nothing is missing here. */
  readonly ownRevision: () => number;
  /** Newest proof of the store's revision; undefined while none is known. */
  readonly proof: () => StoreProof | undefined;
  /** Whether this gateway reaches a majority of the replicas. */
  readonly reachesReplicas: () => boolean;
  /** What this gateway's requests have put into runners' memory within the last milliseconds. */
  readonly ownPlaces: (milliseconds: number) => readonly PromptPlace[];
  /** This gateway's own figures, to be added up over all. */
  readonly ownAggregates: () => readonly Aggregate[];
}

/** Time within which a peer was heard that is named to others, in milliseconds. */
export const NAMED_PEER_MILLISECONDS = 1_000;
/** Peers named in a message. */
const NAMED_PEERS = 4;
/** Lives that are told apart: of so many two hardly ever fall together. */
const LIFE_COUNT = 2 ** 31 - 1;

/** See the head of this file. */
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

  /** This gateway's own requests, and what they put into memory within the last milliseconds. */
  report(placesMilliseconds: number): LoadMessage {
    const places = this.ownState.ownPlaces(placesMilliseconds);
    const aggregates = this.ownState.ownAggregates();
    const counted = { gateways: 1, loads: this.hashedLoads(), places, aggregates };
    return { ...this.header('gateway', this.namedPeers()), ...counted };
  }

  /** What a message counts and what others told beside it. */
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

  /** Names to a gateway who comes first in its zone, and counts nothing. */
  answer(host: string, zoneHash: number): LoadMessage {
    const first = this.table.aliveInZone(zoneHash).slice(0, NAMED_PEERS);
    const peers = first.filter((peer) => peer.host !== host);
    return { ...this.header('answer', peers), gateways: 0, loads: [], places: [], aggregates: [] };
  }

  /** What every message says of its sender. */
  private header(
    scope: LoadScope,
    peers: readonly NamedPeer[],
  ): Omit<LoadMessage, 'gateways' | 'loads' | 'places' | 'aggregates'> {
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

  /** The first of the own zone among those heard lately, so that all agree on who they are. */
  private namedPeers(): NamedPeer[] {
    const heard = this.table.heardWithin(NAMED_PEER_MILLISECONDS);
    const zonePeers = heard.filter((peer) => peer.zoneHash === this.zoneHash);
    const first = zonePeers.sort((left, right) => left.hash - right.hash).slice(0, NAMED_PEERS - 1);
    const anyPeer = heard.length > 0 ? [this.ownState.runtime.random.pick(heard)] : [];
    return [...new Set([...first, ...anyPeer])];
  }

  private hashedLoads(): RunnerLoad[] {
    return [...this.ownState.ownLoads()].map(([runner, inFlight]) => ({
      runnerHash: hashToNumber(runner),
      inFlight,
    }));
  }
}
