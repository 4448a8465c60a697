/**
 * Gossip between gateways about load: each gateway reports several times a second how many of its
 * requests are at each runner, so that all gateways can balance on the total load. In small
 * clusters a gateway reports directly to some of its peers. In large ones it reports to the two
 * first-ranked gateways of its zone, the aggregators. The acting aggregator sums the reports of its
 * zone, exchanges sums with the aggregators of the other zones, and sends the global sum to its
 * zone, so that the traffic of a gateway does not grow with the number of gateways. Datagrams may
 * be lost; the reports of a silent sender expire soon. Gateways discover one another through seeds
 * and through their peers. Where there are several regions, all of this happens within each region,
 * and the acting aggregator of one zone of a region exchanges sums with the other regions.
 */
import type { ProofRank, StoreProof } from '../mirror/store-freshness.js';
import { hashToNumber } from '../runtime/hashing.js';
import type { Runtime } from '../runtime/runtime.js';
import { UNKNOWN_TOPOLOGY } from '../topology/topology.js';
import type { Topology } from '../topology/topology.js';
import type { RegionTraffic } from '../topology/region-traffic.js';
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
import { ZoneRegions } from './zone-regions.js';
import type { PromptPlace } from './recent-places.js';
import { sumAggregates } from './aggregates.js';
import { NO_AMOUNTS } from './aggregate-registry.js';
import type { Aggregate, AmountsByKey, AmountsByTopic, AggregateTopic } from './aggregates.js';
import type { SuspectNews } from '../suspects/suspect-news.js';

export interface LoadGossipOptions extends OwnState {
  readonly runtime: Runtime;
  readonly host: string;
  readonly zone: string;
  readonly datagrams: DatagramPort;
  /** Hosts to contact first. */
  readonly seeds: () => readonly string[];
  /** Called with what a peer knows of the store, for each of its messages. */
  readonly onPeerStoreState: (state: PeerStoreState) => void;
  /**
   * Called with the prompt parts that runners have recently begun to cache, as a peer reports them.
   */
  readonly onPlaces: (places: readonly PromptPlace[]) => void;
  /** What is to be told at once of requests under which runners ended; called until it is empty. @default nothing */
  readonly urgentSuspects?: () => readonly SuspectNews[];
  /**
   * Called with what a peer tells of such requests; returns whether any of it is news.
   * @param forwards whether this gateway passes news on at once
   */
  readonly onSuspects?: (suspects: readonly SuspectNews[], forwards: boolean) => boolean;
  /** Zones and regions of the deployment. @default one region */
  readonly topology?: Topology;
  /** Counts the bytes sent to each region. @default not counted */
  readonly traffic?: RegionTraffic;
}

/** What a peer knows of the store. */
export interface PeerStoreState {
  /** Host of the peer. */
  readonly from: string;
  /** Revision up to which the peer has all changes. */
  readonly revision: number;
  /** Newest proof of the store's revision known to the peer; undefined when it knows none. */
  readonly proof: StoreProof | undefined;
}

/**
 * Cluster size up to which gateways report directly to peers; beyond it, sums by zone take fewer
 * messages.
 */
const MAXIMUM_DIRECT_GATEWAYS = 16;
/** Peers to which a gateway reports directly in a period. */
const FAN_OUT = 8;
/**
 * Gateways of a zone that receive its reports: the first one sends the sums, the second one takes
 * over when the first is silent.
 */
const AGGREGATORS_PER_ZONE = 2;
/** Periods between two sums sent to the other regions. */
const REGION_PERIODS = 5;
/**
 * Time after which the sum of another region is no longer added up, in milliseconds. Covers two lost
 * messages.
 */
const STALE_REGION_MILLISECONDS = 1_600;
/**
 * Share of the random gateways that are drawn from all regions instead of the own one, so that
 * regions that lost sight of each other meet again.
 */
const ANY_REGION_SHARE = 0.1;
/**
 * Periods between two reports to a random gateway while aggregation is in use; these reunite groups
 * of gateways that lost sight of each other.
 */
const DISCOVERY_PERIODS = 3;
/**
 * Time after which a global sum expires, and minimum time after which the direct report of a silent
 * peer does, in milliseconds.
 */
const STALE_MILLISECONDS = 500;
/**
 * Time after which an aggregator no longer adds up a report or a zone's sum, in milliseconds. Covers
 * two lost messages of a busy sender and none of an idle one.
 */
const STALE_REPORT_MILLISECONDS = 350;
/**
 * Expiry of direct reports as a multiple of the mean interval between two messages of a peer, which
 * grows with the number of peers.
 */
const STALE_MESSAGE_INTERVALS = 2.5;
/** Silence of the first aggregator after which the second one takes over, in milliseconds. */
const TAKEOVER_MILLISECONDS = 300;
/**
 * Number of times that each place (a prompt part cached at a runner) is sent to the same gateway, to
 * make up for lost datagrams.
 */
const PLACE_REPEATS = 3;
/** Periods until a request is counted in the global sum. */
const SUM_DELAY_PERIODS = 3;
/** Periods until this gateway's own requests return in the global sum. */
const OWN_ECHO_PERIODS = 2;

/** Shortest time between two messages that tell something at once, in milliseconds. */
const NOTICE_INTERVAL_MILLISECONDS = 5;

/** What this gateway reported of itself in one period. */
interface OwnReport {
  readonly loads: readonly RunnerLoad[];
  readonly aggregates: readonly Aggregate[];
}

/** Subtracts this gateway's own requests, as it reported them, from a sum that includes them. */
function subtractOwn(sums: Map<number, number>, own: readonly RunnerLoad[]): Map<number, number> {
  for (const { runnerHash, inFlight } of own) {
    sums.set(runnerHash, Math.max(0, (sums.get(runnerHash) ?? 0) - inFlight));
  }
  return sums;
}

/** Returns a message without what is of no use in other regions. */
function withoutDetails(message: LoadMessage): LoadMessage {
  return { ...message, loads: [], places: [], aggregates: [] };
}

/** Encodes a message without extensions, as every build reads it, and with them. */
function encodeForBuilds(message: LoadMessage): {
  readonly base: Uint8Array;
  readonly extended: Uint8Array;
} {
  const base = encodeLoadMessage(message);
  return { base, extended: withExtensions(base, message) };
}

/** Exchanges load messages with other gateways and keeps the resulting totals. */
export class LoadGossip {
  private readonly table: PeerTable;
  private readonly received: Readonly<Record<LoadScope, LatestMessages>> = {
    gateway: new LatestMessages(),
    zone: new LatestMessages(),
    all: new LatestMessages(),
    answer: new LatestMessages(),
    region: new LatestMessages(),
  };
  private readonly regions: ZoneRegions;
  private readonly zoneHash: number;
  private readonly pace: GossipPace;
  private readonly writer: MessageWriter;
  /** Places reported in this zone, to be relayed to the other zones. */
  private readonly zonePlaces: PlaceRelay;
  /** Places reported by other zones, to be relayed within this zone. */
  private readonly otherPlaces: PlaceRelay;
  private period = 0;
  private isAggregating = false;
  /** Number of gateways in the sum of all regions that this gateway last sent; undefined if it sends none. */
  private gatewaysInOwnSum: number | undefined;
  /** Reports of the last periods, newest last. */
  private ownHistory: OwnReport[] = [];
  /** Requests of all other gateways by the hash of their runner. */
  private totals = new Map<number, number>();
  /** Sums of the aggregates of all other gateways. */
  private aggregateSums: AmountsByTopic = new Map();
  private isNoticeScheduled = false;
  /** Local time of the last message that told something at once, in milliseconds. */
  private noticedAt = -Infinity;

  constructor(private readonly options: LoadGossipOptions) {
    const { runtime, host, zone, datagrams } = options;
    this.zoneHash = hashToNumber(zone);
    this.regions = new ZoneRegions(options.topology ?? UNKNOWN_TOPOLOGY, zone);
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

  /**
   * Returns the estimated number of other gateways' requests at a runner, given the hash of its
   * incarnation; see `incarnationHash`.
   */
  inFlightOfOthers(runnerHash: number): number {
    return this.totals.get(runnerHash) ?? 0;
  }

  /** Returns the amounts of all other gateways under a topic, summed by key. */
  aggregatesOfOthers(topic: AggregateTopic): AmountsByKey {
    return this.aggregateSums.get(topic) ?? NO_AMOUNTS;
  }

  /**
   * Typical age of the known requests of other gateways, in milliseconds. Each stage of aggregation
   * (report, zone sum, global sum) adds one period.
   */
  get loadAgeMilliseconds(): number {
    return this.usesAggregation
      ? SUM_DELAY_PERIODS * GOSSIP_PERIOD_MILLISECONDS
      : this.messageMilliseconds;
  }

  /** Whether a gateway heard from recently, or one counted in its sums, reaches the replicas. */
  get somePeerReachesReplicas(): boolean {
    const { gateway, zone, all, region } = this.received;
    const recent = [
      ...gateway.since(this.since(this.staleMilliseconds)),
      ...zone.since(this.since(STALE_MILLISECONDS)),
      ...all.since(this.since(STALE_MILLISECONDS)),
      ...region.since(this.since(STALE_REGION_MILLISECONDS)),
    ];
    return recent.some((message) => message.reachesReplicas);
  }

  /** Number of other gateways, whether known directly or counted in the global sum. */
  get peerCount(): number {
    const counted = this.gatewaysInOwnSum ?? this.newestGlobalSum()?.gateways ?? 0;
    return Math.max(this.table.size, counted - 1);
  }

  /**
   * Number of gateways of this zone that rank before this one; 0 in small clusters.
   */
  get rank(): number {
    return this.isLarge ? this.table.rankInZone() : 0;
  }

  /** Rank of this gateway among those of all zones of its region that may read the store for a proof. */
  get proofRank(): ProofRank {
    const alive = this.usesAggregation ? this.peerCount : this.table.aliveCount;
    const rank = this.table.globalRank((zoneHash) => this.regions.isOwn(zoneHash));
    return { rank, gateways: alive + 1 };
  }

  /** Returns the region of a gateway; undefined if it is not known. */
  regionOf(host: string): string | undefined {
    const zoneHash = this.table.zoneOf(host);
    return zoneHash === undefined ? undefined : this.regions.regionOf(zoneHash);
  }

  /** Whether a gateway is known to be in this one's region; true for all in deployments of one region. */
  isInOwnRegion(host: string): boolean {
    const zoneHash = this.table.zoneOf(host);
    return !this.regions.hasSeveral || (zoneHash !== undefined && this.regions.isOwn(zoneHash));
  }

  /** Returns the hosts of the first-ranked gateways of this zone. */
  firstInZone(count: number): string[] {
    const peers = this.table.aliveInZone(this.zoneHash);
    return peers.slice(0, count).map(({ host }) => host);
  }

  /** Returns the hosts of randomly chosen gateways and, if some seed is silent, one such seed. */
  randomPeers(count: number): string[] {
    return [...this.withSilentSeed(this.randomHosts(count))];
  }

  /** Tells other gateways soon what is to be told at once. */
  notify(): void {
    if (this.isNoticeScheduled) {
      return;
    }
    this.isNoticeScheduled = true;
    const { runtime } = this.options;
    const wait = this.noticedAt + NOTICE_INTERVAL_MILLISECONDS - runtime.now();
    runtime.setTimer(Math.max(0, wait), () => {
      this.isNoticeScheduled = false;
      this.sendNotice();
    });
  }

  private sendNotice(): void {
    const suspects = this.options.urgentSuspects?.() ?? [];
    if (suspects.length > 0) {
      this.noticedAt = this.options.runtime.now();
      this.send(this.writer.notice(suspects), this.noticeHosts());
      this.notify();
    }
  }

  /** Hosts that are told at once: all that this gateway reports to or that report to it. */
  private noticeHosts(): Set<string> {
    if (!this.usesAggregation) {
      return new Set(this.table.hosts());
    }
    const hosts = this.firstInZone(AGGREGATORS_PER_ZONE);
    if (!this.isAggregating) {
      return new Set(hosts);
    }
    const others = this.speaksForRegion() ? this.speakersOfOtherRegions() : [];
    return new Set([...hosts, ...this.reporters(), ...this.aggregatorsOfOtherZones(), ...others]);
  }

  /** Stops sending and receiving. */
  close(): void {
    this.pace.close();
    this.options.datagrams.close();
  }

  private get isLarge(): boolean {
    return this.peerCount + 1 > MAXIMUM_DIRECT_GATEWAYS;
  }

  private get usesAggregation(): boolean {
    return this.regions.hasSeveral || this.isLarge;
  }

  private since(milliseconds: number): number {
    return this.options.runtime.now() - milliseconds;
  }

  /** Sends the messages of one period; returns whether there was anything to report. */
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
    const suspects = own.suspects?.length ?? 0;
    return loads.length + aggregates.length + own.places.length + suspects > 0;
  }

  private updateTotals(messages: readonly LoadMessage[], own?: OwnReport): void {
    const sums = sumLoads(messages.map(({ loads }) => loads));
    this.totals = own === undefined ? sums : subtractOwn(sums, own.loads);
    this.aggregateSums = sumAggregates(
      messages.map(({ aggregates }) => aggregates),
      own?.aggregates,
    );
  }

  /** Reports to the zone's aggregators and, now and then, to a random gateway. */
  private sendReport(own: LoadMessage): void {
    const aggregators = new Set(this.firstInZone(AGGREGATORS_PER_ZONE));
    const isDiscoveryPeriod = this.period % DISCOVERY_PERIODS === 0;
    const others = isDiscoveryPeriod ? this.withSilentSeed(this.randomHosts(1)) : [];
    this.send(own, new Set([...aggregators, ...others]));
  }

  /** Sends the sums if this gateway is the acting aggregator, and updates the totals. */
  private exchangeSums(own: LoadMessage): void {
    this.setAggregating(this.shouldAggregate());
    if (!this.isAggregating) {
      this.gatewaysInOwnSum = undefined;
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
    const speaksForRegion = this.speaksForRegion();
    const regions = speaksForRegion ? this.otherRegionSums() : [];
    this.updateTotals([...reports, ...zones, ...regions]);
    const ofZone = this.writer.sum('zone', own, reports, this.zonePlaces.take());
    // The other zones of the region learn of the other regions as a part of this zone's sum.
    const ofZoneAndRegions =
      regions.length > 0 ? this.writer.sum('zone', ofZone, regions, []) : ofZone;
    this.send(ofZoneAndRegions, this.aggregatorsOfOtherZones());
    const ofAll = this.writer.sum('all', ofZone, [...zones, ...regions], this.otherPlaces.take());
    this.send(ofAll, this.reporters());
    this.gatewaysInOwnSum = this.regions.hasSeveral ? ofAll.gateways : undefined;
    if (speaksForRegion && this.period % REGION_PERIODS === 0) {
      const base = { ...ofZone, places: [] };
      this.send(this.writer.sum('region', base, zones, []), this.speakersOfOtherRegions());
    }
  }

  /** Whether this gateway exchanges the sums of its region with the other regions. */
  private speaksForRegion(): boolean {
    return this.regions.hasSeveral && this.isAggregating && this.speakingZone() === this.zoneHash;
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
      log('info', 'acting as load aggregator of the zone', { event: 'sums.announced', ...inputs });
    } else {
      log('info', 'leaving load aggregation to another gateway', { event: 'sums.left', ...inputs });
    }
  }

  private randomHosts(count: number): Set<string> {
    const { random } = this.options.runtime;
    const known = this.candidateHosts();
    const hosts = new Set<string>();
    while (hosts.size < Math.min(count, known.length)) {
      hosts.add(random.pick(known));
    }
    return hosts;
  }

  /** Hosts among which random ones are drawn: mostly those of the own region, where there are several. */
  private candidateHosts(): string[] {
    const all = this.table.hosts();
    if (!this.regions.hasSeveral) {
      return all;
    }
    const near = all.filter((host) => this.isInOwnRegion(host));
    const drawsAny = this.options.runtime.random.uniform() < ANY_REGION_SHARE;
    return drawsAny || near.length === 0 ? all : near;
  }

  /**
   * Adds one seed that has not been heard from, so that separated groups of gateways find each
   * other again.
   */
  private withSilentSeed(hosts: Set<string>): Set<string> {
    const { seeds, host, runtime } = this.options;
    const silent = seeds().filter((seed) => seed !== host && !this.table.has(seed));
    return silent.length > 0 ? hosts.add(runtime.random.pick(silent)) : hosts;
  }

  private send(message: LoadMessage, hosts: Iterable<string>): void {
    const full = encodeForBuilds(message);
    const isReport = message.scope === 'gateway';
    for (const host of hosts) {
      const isReduced = isReport && !this.isInOwnRegion(host);
      const { base, extended } = isReduced ? encodeForBuilds(withoutDetails(message)) : full;
      this.sendBytes(this.table.supportsExtensions(host) ? extended : base, host);
    }
  }

  private sendBytes(bytes: Uint8Array, host: string): void {
    const { datagrams, traffic } = this.options;
    datagrams.send(bytes, host);
    traffic?.record('gossip', 'sent', this.regionOf(host), bytes.length);
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
    this.receiveSuspects(message.suspects ?? []);
    if (scope === 'gateway' && this.usesAggregation && !this.aggregatesFor(zoneHash)) {
      this.answer(from, zoneHash);
    }
    if (scope === 'region' && !this.aggregatesFor(this.speakingZone())) {
      this.answer(from, this.speakingZone());
    }
    if (scope === 'gateway' || scope === 'zone') {
      const relay = zoneHash === this.zoneHash ? this.zonePlaces : this.otherPlaces;
      relay.note(message.places);
    }
  }

  private receiveSuspects(suspects: readonly SuspectNews[]): void {
    if (suspects.length > 0) {
      const isNews = this.options.onSuspects?.(suspects, this.isAggregating) ?? false;
      if (isNews && this.isAggregating) {
        this.notify();
      }
    }
  }

  private aggregatesFor(zoneHash: number): boolean {
    return zoneHash === this.zoneHash && this.table.rankInZone() < AGGREGATORS_PER_ZONE;
  }

  /**
   * Answers a gateway that reported to the wrong peer, or is discovering peers, with the
   * first-ranked gateways of the zone to report to.
   */
  private answer(host: string, zoneHash: number): void {
    this.send(this.writer.answer(host, zoneHash), [host]);
  }

  /**
   * Whether this gateway is the acting aggregator of its zone: it ranks first, or ranks second and
   * the first is silent.
   */
  private shouldAggregate(): boolean {
    const rank = this.table.rankInZone();
    const recentSums = this.received.all.since(this.since(TAKEOVER_MILLISECONDS));
    return rank === 0 || (rank < AGGREGATORS_PER_ZONE && recentSums.length === 0);
  }

  /** Reports that this gateway received as an aggregator of its zone. */
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

  /** Newest sum of each other zone. */
  private otherZoneSums(): LoadMessage[] {
    const newest = new Map<number, LoadMessage>();
    for (const message of this.received.zone.since(this.since(STALE_REPORT_MILLISECONDS))) {
      if (message.zoneHash !== this.zoneHash && this.regions.isOwn(message.zoneHash)) {
        newest.set(message.zoneHash, message);
      }
    }
    return [...newest.values()];
  }

  /** Newest sum of each other region; of a region whose builds send none, the newest sum of each zone. */
  private otherRegionSums(): LoadMessage[] {
    const { regions } = this;
    const newest = new Map<string | undefined, LoadMessage>();
    for (const message of this.received.region.since(this.since(STALE_REGION_MILLISECONDS))) {
      if (!regions.isOwn(message.zoneHash)) {
        newest.set(regions.regionOf(message.zoneHash), message);
      }
    }
    const ofZones = new Map<number, LoadMessage>();
    for (const message of this.received.zone.since(this.since(STALE_REPORT_MILLISECONDS))) {
      const { zoneHash } = message;
      if (!regions.isOwn(zoneHash) && !newest.has(regions.regionOf(zoneHash))) {
        ofZones.set(zoneHash, message);
      }
    }
    return [...newest.values(), ...ofZones.values()];
  }

  /** The aggregators of the other zones of this region. */
  private aggregatorsOfOtherZones(): string[] {
    const zones = [...this.table.zones()].filter(
      (zoneHash) => zoneHash !== this.zoneHash && this.regions.isOwn(zoneHash),
    );
    return zones.flatMap((zoneHash) => this.aggregatorsOf(zoneHash));
  }

  /** The aggregators of the zone of each other region that exchanges the region's sums. */
  private speakersOfOtherRegions(): string[] {
    const { regions, table } = this;
    const others = new Set(
      [...table.zones()]
        .filter((zone) => !regions.isOwn(zone))
        .map((zone) => regions.regionOf(zone)),
    );
    return [...others].flatMap((region) => {
      const first = table.firstLiveZone((zone) => regions.regionOf(zone) === region);
      return first === undefined ? this.anyHostIn(region) : this.aggregatorsOf(first);
    });
  }

  /** Returns a random host of a region of which no gateway seems alive; if it is, it answers who comes first. */
  private anyHostIn(region: string | undefined): string[] {
    const hosts = this.table.hosts().filter((host) => this.regionOf(host) === region);
    return hosts.length > 0 ? [this.options.runtime.random.pick(hosts)] : [];
  }

  /** Returns the zone of this region that exchanges sums with the other regions. */
  private speakingZone(): number {
    return this.table.firstLiveZone((zone) => this.regions.isOwn(zone)) ?? this.zoneHash;
  }

  private aggregatorsOf(zoneHash: number): string[] {
    const first = this.table.aliveInZone(zoneHash).slice(0, AGGREGATORS_PER_ZONE);
    return first.map(({ host }) => host);
  }

  /** Newest global sum received. */
  private newestGlobalSum(): LoadMessage | undefined {
    return this.received.all.since(this.since(STALE_MILLISECONDS)).at(-1);
  }

  private directMessages(): LoadMessage[] {
    return this.received.gateway.since(this.since(this.staleMilliseconds));
  }

  /** Time after which the direct report of a silent peer expires, in milliseconds. */
  private get staleMilliseconds(): number {
    return Math.max(STALE_MILLISECONDS, STALE_MESSAGE_INTERVALS * this.messageMilliseconds);
  }

  /** Mean interval between two messages to the same gateway, in milliseconds. */
  private get messageMilliseconds(): number {
    const periodsPerMessage = this.usesAggregation ? 1 : this.table.size / FAN_OUT;
    return GOSSIP_PERIOD_MILLISECONDS * Math.max(1, periodsPerMessage);
  }
}
