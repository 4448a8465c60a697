/**
 * Gateways tell one another several times a second how many of their requests are at each runner, so
 * that each can weigh all load and not its own alone. A few gateways tell some others directly. Where
 * there are many, each tells the two that come first in its zone; the first adds up what its zone told,
 * exchanges sums with the first of the other zones, and sends all of its zone the sum of all: what a
 * gateway sends and receives does not grow with their number. Datagrams may be lost; what a silent
 * sender told is forgotten soon. Peers are found through seeds and through one another.
 */
import type { ProofRank, StoreProof } from '../mirror/store-freshness.js';
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import type { DatagramPort } from './datagram-port.js';
import { GossipPace, GOSSIP_PERIOD_MILLISECONDS } from './gossip-pace.js';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  NO_PROOF,
  supportsExtensions,
  withExtensions,
} from './load-message.js';
import type { LoadMessage, LoadScope, RunnerLoad } from './load-message.js';
import { sumLoads, LatestMessages } from './load-sums.js';
import { MessageWriter, NAMED_PEER_MILLISECONDS } from './message-writer.js';
import type { OwnState } from './message-writer.js';
import { PeerTable } from './peer-table.js';
import { PlaceRelay } from './recent-places.js';
import type { PromptPlace } from './recent-places.js';
import { sumAggregates } from './aggregates.js';
import { NO_AMOUNTS } from './aggregate-registry.js';
import type { Aggregate, AmountsByKey, AmountsByTopic, AggregateTopic } from './aggregates.js';

/** What the gossip is made with. */
export interface LoadGossipOptions extends OwnState {
  readonly runtime: Runtime;
  readonly host: string;
  readonly zone: string;
  readonly datagrams: DatagramPort;
  /** Hosts to begin with. */
  readonly seeds: () => readonly string[];
  /** A peer told what it knows of the store. */
  readonly onPeerStoreState: (state: PeerStoreState) => void;
  /** A peer told what runners have begun to keep. */
  readonly onPlaces: (places: readonly PromptPlace[]) => void;
}

/** What a peer knows of the store. */
export interface PeerStoreState {
  /** Host of the peer. */
  readonly from: string;
  /** Revision up to which it misses nothing. */
  readonly revision: number;
  /** Newest proof of the store's revision that it knows; undefined when it knows none. */
  readonly proof: StoreProof | undefined;
}

/** Gateways up to which each tells others directly: beyond, sums by zone cost fewer messages. */
const MAXIMUM_DIRECT_GATEWAYS = 16;
/** Most peers told directly in a period. */
const FAN_OUT = 8;
/** Gateways of a zone that collect what it tells: the first announces the sum, the next stands in. */
const AGGREGATORS_PER_ZONE = 2;
/** Periods between two direct messages to any peer where sums are told: they join parted groups. */
const DISCOVERY_PERIODS = 3;
/** Least time after which what a silent peer told is forgotten, in milliseconds. */
const STALE_MILLISECONDS = 500;
/** The same for what is told each period to the same gateway: two lost messages of a busy one, none of a quiet one. */
const STALE_REPORT_MILLISECONDS = 350;
/** The same in mean times between two direct messages of a peer: with more peers these are longer. */
const STALE_MESSAGE_INTERVALS = 2.5;
/** Silence of the first of a zone after which the next announces, in milliseconds. */
const TAKEOVER_MILLISECONDS = 300;
/** Times that each place is told to the same gateway, since datagrams are lost now and then. */
const PLACE_REPEATS = 3;
/** Periods until a request counts in a sum of all. */
const SUM_DELAY_PERIODS = 3;
/** Periods until this gateway's own requests come back to it in a sum of all. */
const OWN_ECHO_PERIODS = 2;

/** What this gateway told of itself in one period. */
interface OwnReport {
  readonly loads: readonly RunnerLoad[];
  readonly aggregates: readonly Aggregate[];
}

/** A sum holds this gateway's own requests as they were when it reported them. */
function subtractOwn(sums: Map<number, number>, own: readonly RunnerLoad[]): Map<number, number> {
  for (const { runnerHash, inFlight } of own) {
    sums.set(runnerHash, Math.max(0, (sums.get(runnerHash) ?? 0) - inFlight));
  }
  return sums;
}

/** See the head of this file. */
export class LoadGossip {
  private readonly table: PeerTable;
  private readonly received: Readonly<Record<LoadScope, LatestMessages>> = {
    gateway: new LatestMessages(),
    zone: new LatestMessages(),
    all: new LatestMessages(),
    answer: new LatestMessages(),
  };
  private readonly zoneHash: number;
  private readonly pace: GossipPace;
  private readonly writer: MessageWriter;
  private readonly zonePlaces: PlaceRelay;
  private readonly otherPlaces: PlaceRelay;
  private period = 0;
  private isAggregating = false;
  /** What was told of itself in the last periods, the newest last. */
  private ownHistory: OwnReport[] = [];
  /** Requests of all other gateways by the hash of their runner. */
  private totals = new Map<number, number>();
  /** Figures of all other gateways. */
  private aggregateSums: AmountsByTopic = new Map();

  constructor(private readonly options: LoadGossipOptions) {
    const { runtime, host, zone, datagrams } = options;
    this.zoneHash = hashToNumber(zone);
    this.table = new PeerTable({ runtime, host, zoneHash: this.zoneHash });
    this.writer = new MessageWriter(options, this.table, this.zoneHash);
    this.zonePlaces = new PlaceRelay(runtime);
    this.otherPlaces = new PlaceRelay(runtime);
    datagrams.onDatagram((bytes, from) => this.receive(bytes, from));
    this.pace = new GossipPace({
      runtime,
      needsFullRate: () => this.isAggregating || !this.usesAggregation,
      send: () => this.sendRound(),
    });
  }

  /** Requests of other gateways that are believed to be at a runner, by the hash of its life, see `lifeHash`. */
  inFlightOfOthers(runnerHash: number): number {
    return this.totals.get(runnerHash) ?? 0;
  }

  /** Figures of all other gateways under a topic, added up by key. */
  aggregatesOfOthers(topic: AggregateTopic): AmountsByKey {
    return this.aggregateSums.get(topic) ?? NO_AMOUNTS;
  }

  /** Age of what is known of other gateways' requests, in milliseconds: reports, sums of zones, sums of all. */
  get loadAgeMilliseconds(): number {
    return this.usesAggregation
      ? SUM_DELAY_PERIODS * GOSSIP_PERIOD_MILLISECONDS
      : this.messageMilliseconds;
  }

  /** Whether a gateway that was heard or counted lately reaches the replicas. */
  get somePeerReachesReplicas(): boolean {
    const { gateway, zone, all } = this.received;
    const heard = [
      ...gateway.since(this.since(this.staleMilliseconds)),
      ...zone.since(this.since(STALE_MILLISECONDS)),
      ...all.since(this.since(STALE_MILLISECONDS)),
    ];
    return heard.some((message) => message.reachesReplicas);
  }

  /** Other gateways, as far as they are known or counted. */
  get peerCount(): number {
    const counted = this.newestGlobalSum()?.gateways ?? 0;
    return Math.max(this.table.size, counted - 1);
  }

  /** Gateways of this zone that come before this one; none while all tell one another directly. */
  get rank(): number {
    return this.usesAggregation ? this.table.rankInZone() : 0;
  }

  /** Where this gateway stands among those of all zones that may read the store. */
  get proofRank(): ProofRank {
    const alive = this.usesAggregation ? this.peerCount : this.table.aliveCount;
    return { rank: this.table.globalRank(), gateways: alive + 1 };
  }

  /** Hosts of the gateways of this zone that come first. */
  firstInZone(count: number): string[] {
    const peers = this.table.aliveInZone(this.zoneHash);
    return peers.slice(0, count).map(({ host }) => host);
  }

  /** Hosts of some gateways, drawn anew each time. */
  randomPeers(count: number): string[] {
    return [...this.withSilentSeed(this.randomHosts(count))];
  }

  /** Ends. */
  close(): void {
    this.pace.close();
    this.options.datagrams.close();
  }

  private get usesAggregation(): boolean {
    return this.peerCount + 1 > MAXIMUM_DIRECT_GATEWAYS;
  }

  private since(milliseconds: number): number {
    return this.options.runtime.now() - milliseconds;
  }

  /** True when there was something of its own to tell. */
  private sendRound(): boolean {
    this.table.forgetSilent();
    this.period += 1;
    const own = this.writer.report(PLACE_REPEATS * this.messageMilliseconds);
    const { loads, aggregates } = own;
    this.ownHistory = [...this.ownHistory, { loads, aggregates }].slice(-1 - OWN_ECHO_PERIODS);
    if (this.usesAggregation) {
      this.sendReport(own);
      this.exchangeSums(own);
    } else {
      this.send(own, this.withSilentSeed(this.randomHosts(FAN_OUT)));
      this.updateTotals(this.directMessages());
    }
    return loads.length + aggregates.length + own.places.length > 0;
  }

  private updateTotals(messages: readonly LoadMessage[], own?: OwnReport): void {
    const sums = sumLoads(messages.map(({ loads }) => loads));
    this.totals = own === undefined ? sums : subtractOwn(sums, own.loads);
    this.aggregateSums = sumAggregates(
      messages.map(({ aggregates }) => aggregates),
      own?.aggregates,
    );
  }

  /** Tells the collectors of the zone, and now and then any other gateway. */
  private sendReport(own: LoadMessage): void {
    const aggregators = new Set(this.firstInZone(AGGREGATORS_PER_ZONE));
    const isDiscoveryPeriod = this.period % DISCOVERY_PERIODS === 0;
    const others = isDiscoveryPeriod ? this.withSilentSeed(this.randomHosts(1)) : [];
    this.send(own, new Set([...aggregators, ...others]));
  }

  /** Announces the sums if that falls to this gateway, and takes what is told of all load. */
  private exchangeSums(own: LoadMessage): void {
    this.setAggregating(this.shouldAggregate());
    if (!this.isAggregating) {
      const sum = this.newestGlobalSum();
      if (sum === undefined) {
        this.updateTotals(this.directMessages());
      } else {
        this.updateTotals([sum], this.ownHistory[0]);
      }
      return;
    }
    const reports = this.reports();
    const zones = this.otherZoneSums();
    this.updateTotals([...reports, ...zones]);
    const ofZone = this.writer.sum('zone', own, reports, this.zonePlaces.take());
    this.send(ofZone, this.aggregatorsOfOtherZones());
    const ofAll = this.writer.sum('all', ofZone, zones, this.otherPlaces.take());
    this.send(ofAll, this.reporters());
  }

  private setAggregating(isAggregating: boolean): void {
    if (isAggregating === this.isAggregating) {
      return;
    }
    this.isAggregating = isAggregating;
    const { log } = this.options.runtime;
    const inputs = {
      rank: this.table.rankInZone(),
      reporters: this.reporters().length,
      gateways: this.peerCount + 1,
    };
    if (isAggregating) {
      log('info', 'tells its zone the sums', { event: 'sums.announced', ...inputs });
    } else {
      log('info', 'leaves the sums to another', { event: 'sums.left', ...inputs });
    }
  }

  private randomHosts(count: number): Set<string> {
    const { random } = this.options.runtime;
    const known = this.table.hosts();
    const hosts = new Set<string>();
    while (hosts.size < Math.min(count, known.length)) {
      hosts.add(random.pick(known));
    }
    return hosts;
  }

  /** With one seed that was not heard, so that parted groups find one another again. */
  private withSilentSeed(hosts: Set<string>): Set<string> {
    const { seeds, host, runtime } = this.options;
    const silent = seeds().filter((seed) => seed !== host && !this.table.has(seed));
    return silent.length > 0 ? hosts.add(runtime.random.pick(silent)) : hosts;
  }

  private send(message: LoadMessage, hosts: Iterable<string>): void {
    const base = encodeLoadMessage(message);
    const extended = withExtensions(base, message);
    for (const host of hosts) {
      this.options.datagrams.send(this.table.supportsExtensions(host) ? extended : base, host);
    }
  }

  private receive(bytes: Uint8Array, from: string): void {
    const message = decodeLoadMessage(bytes);
    if (message === undefined || from === this.options.host) {
      return;
    }
    const { scope, zoneHash, revision } = message;
    const proof = message.proof.life === NO_PROOF.life ? undefined : message.proof;
    const now = this.options.runtime.now();
    if (!this.received[scope].accept(from, message, now)) {
      return;
    }
    this.table.noteHeard({ host: from, zoneHash }, supportsExtensions(message));
    message.peers.forEach((peer) => this.table.noteNamed(peer));
    this.options.onPeerStoreState({ from, revision, proof });
    this.options.onPlaces(message.places);
    if (scope === 'gateway' && this.usesAggregation && !this.aggregatesFor(zoneHash)) {
      this.answer(from, zoneHash);
    }
    if (scope === 'gateway' || scope === 'zone') {
      const relay = zoneHash === this.zoneHash ? this.zonePlaces : this.otherPlaces;
      relay.note(message.places);
    }
  }

  private aggregatesFor(zoneHash: number): boolean {
    return zoneHash === this.zoneHash && this.table.rankInZone() < AGGREGATORS_PER_ZONE;
  }

  /** Names to a gateway who comes first in its zone: it greets, or does not know whom to report to. */
  private answer(host: string, zoneHash: number): void {
    this.send(this.writer.answer(host, zoneHash), [host]);
  }

  /** Whether this gateway tells its zone the sums: it comes first, or stands in for who does. */
  private shouldAggregate(): boolean {
    const rank = this.table.rankInZone();
    const heard = this.received.all.since(this.since(TAKEOVER_MILLISECONDS));
    return rank === 0 || (rank < AGGREGATORS_PER_ZONE && heard.length === 0);
  }

  /** What the gateways of the zone reported to this one as a collector. */
  private reports(): LoadMessage[] {
    return this.received.gateway
      .since(this.since(STALE_REPORT_MILLISECONDS))
      .filter((message) => message.zoneHash === this.zoneHash);
  }

  private reporters(): string[] {
    return this.table
      .heardWithin(NAMED_PEER_MILLISECONDS)
      .flatMap(({ host, zoneHash }) => (zoneHash === this.zoneHash ? [host] : []));
  }

  /** The newest sum of each other zone. */
  private otherZoneSums(): LoadMessage[] {
    const newest = new Map<number, LoadMessage>();
    for (const message of this.received.zone.since(this.since(STALE_REPORT_MILLISECONDS))) {
      if (message.zoneHash !== this.zoneHash) {
        newest.set(message.zoneHash, message);
      }
    }
    return [...newest.values()];
  }

  private aggregatorsOfOtherZones(): string[] {
    const zones = [...this.table.zones()].filter((zoneHash) => zoneHash !== this.zoneHash);
    return zones.flatMap((zoneHash) =>
      this.table
        .aliveInZone(zoneHash)
        .slice(0, AGGREGATORS_PER_ZONE)
        .map(({ host }) => host),
    );
  }

  /** The newest sum of all that was told here. */
  private newestGlobalSum(): LoadMessage | undefined {
    return this.received.all.since(this.since(STALE_MILLISECONDS)).at(-1);
  }

  private directMessages(): LoadMessage[] {
    return this.received.gateway.since(this.since(this.staleMilliseconds));
  }

  /** Time after which what a silent peer told directly is forgotten, in milliseconds. */
  private get staleMilliseconds(): number {
    return Math.max(STALE_MILLISECONDS, STALE_MESSAGE_INTERVALS * this.messageMilliseconds);
  }

  /** Mean time between two messages to the same gateway, in milliseconds. */
  private get messageMilliseconds(): number {
    const told = this.usesAggregation ? 1 : this.table.size / FAN_OUT;
    return GOSSIP_PERIOD_MILLISECONDS * Math.max(1, told);
  }
}
