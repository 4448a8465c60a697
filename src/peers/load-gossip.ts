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
import { GossipPace, PERIOD_MILLISECONDS } from './gossip-pace.js';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  NO_PROOF,
  readsTail,
  withTail,
} from './load-message.js';
import type { LoadMessage, LoadScope, RunnerLoad } from './load-message.js';
import { sumLoads, ToldLoads } from './load-sums.js';
import { MessageWriter, NAMED_MILLISECONDS } from './message-writer.js';
import type { OwnNews } from './message-writer.js';
import { PeerTable } from './peer-table.js';
import { PlaceRelay } from './recent-places.js';
import type { PromptPlace } from './recent-places.js';
import { sumTallies } from './tallies.js';
import { NO_AMOUNTS } from './tally-board.js';
import type { Tally, TallyAmounts, TallySums, TallyTopic } from './tallies.js';

/** What the gossip is made with. */
export interface LoadGossipOptions extends OwnNews {
  readonly runtime: Runtime;
  readonly host: string;
  readonly zone: string;
  readonly datagrams: DatagramPort;
  /** Hosts to begin with. */
  readonly seeds: () => readonly string[];
  /** A peer told what it knows of the store. */
  readonly onStoreNews: (news: StoreNews) => void;
  /** A peer told what runners have begun to keep. */
  readonly onPlaces: (places: readonly PromptPlace[]) => void;
}

/** What a peer knows of the store. */
export interface StoreNews {
  /** Host of the peer. */
  readonly from: string;
  /** Revision up to which it misses nothing. */
  readonly revision: number;
  /** Newest proof of the store's revision that it knows; undefined when it knows none. */
  readonly proof: StoreProof | undefined;
}

/** Gateways up to which each tells others directly: beyond, sums by zone cost fewer messages. */
const DIRECT_GATEWAYS = 16;
/** Most peers told directly in a period. */
const FAN_OUT = 8;
/** Gateways of a zone that collect what it tells: the first announces the sum, the next stands in. */
const COLLECTORS = 2;
/** Periods between two direct messages to any peer where sums are told: they join parted groups. */
const GREETING_PERIODS = 3;
/** Least time after which what a silent peer told is forgotten, in milliseconds. */
const STALE_MILLISECONDS = 500;
/** The same for what is told each period to the same gateway: two lost messages of a busy one, none of a quiet one. */
const STALE_REPORT_MILLISECONDS = 350;
/** The same in mean times between two direct messages of a peer: with more peers these are longer. */
const STALE_MESSAGES = 2.5;
/** Silence of the first of a zone after which the next announces, in milliseconds. */
const STAND_IN_MILLISECONDS = 300;
/** Times that each place is told to the same gateway, since datagrams are lost now and then. */
const PLACE_REPEATS = 3;
/** Periods until a request counts in a sum of all. */
const SUM_PERIODS = 3;
/** Periods until this gateway's own requests come back to it in a sum of all. */
const ECHO_PERIODS = 2;

/** What this gateway told of itself in one period. */
interface OwnPeriod {
  readonly loads: readonly RunnerLoad[];
  readonly tallies: readonly Tally[];
}

/** A sum holds this gateway's own requests as they were when it reported them. */
function withoutOwn(sums: Map<number, number>, own: readonly RunnerLoad[]): Map<number, number> {
  for (const { runnerHash, inFlight } of own) {
    sums.set(runnerHash, Math.max(0, (sums.get(runnerHash) ?? 0) - inFlight));
  }
  return sums;
}

/** See the head of this file. */
export class LoadGossip {
  private readonly table: PeerTable;
  private readonly told: Readonly<Record<LoadScope, ToldLoads>> = {
    gateway: new ToldLoads(),
    zone: new ToldLoads(),
    all: new ToldLoads(),
    answer: new ToldLoads(),
  };
  private readonly zoneHash: number;
  private readonly pace: GossipPace;
  private readonly writer: MessageWriter;
  private readonly zonePlaces: PlaceRelay;
  private readonly otherPlaces: PlaceRelay;
  private period = 0;
  private announcing = false;
  /** What was told of itself in the last periods, the newest last. */
  private ownHistory: OwnPeriod[] = [];
  /** Requests of all other gateways by the hash of their runner. */
  private totals = new Map<number, number>();
  /** Figures of all other gateways. */
  private tallies: TallySums = new Map();

  constructor(private readonly options: LoadGossipOptions) {
    const { runtime, host, zone, datagrams } = options;
    this.zoneHash = hashToNumber(zone);
    this.table = new PeerTable({ runtime, host, zoneHash: this.zoneHash });
    this.writer = new MessageWriter(options, this.table, this.zoneHash);
    this.zonePlaces = new PlaceRelay(runtime);
    this.otherPlaces = new PlaceRelay(runtime);
    datagrams.onDatagram((bytes, from) => this.take(bytes, from));
    this.pace = new GossipPace({
      runtime,
      isReliedOn: () => this.announcing || !this.usesSums,
      tell: () => this.tell(),
    });
  }

  /** Requests of other gateways that are believed to be at a runner, by the hash of its life, see `lifeHash`. */
  inFlightOfOthers(runnerHash: number): number {
    return this.totals.get(runnerHash) ?? 0;
  }

  /** Figures of all other gateways under a topic, added up by key. */
  talliesOfOthers(topic: TallyTopic): TallyAmounts {
    return this.tallies.get(topic) ?? NO_AMOUNTS;
  }

  /** Age of what is known of other gateways' requests, in milliseconds: reports, sums of zones, sums of all. */
  get loadAgeMilliseconds(): number {
    return this.usesSums ? SUM_PERIODS * PERIOD_MILLISECONDS : this.messageMilliseconds;
  }

  /** Whether a gateway that was heard or counted lately reaches the replicas. */
  get somePeerReachesReplicas(): boolean {
    const { gateway, zone, all } = this.told;
    const heard = [
      ...gateway.since(this.since(this.staleMilliseconds)),
      ...zone.since(this.since(STALE_MILLISECONDS)),
      ...all.since(this.since(STALE_MILLISECONDS)),
    ];
    return heard.some((message) => message.reachesReplicas);
  }

  /** Other gateways, as far as they are known or counted. */
  get peerCount(): number {
    const counted = this.newestSum()?.gateways ?? 0;
    return Math.max(this.table.size, counted - 1);
  }

  /** Gateways of this zone that come before this one; none while all tell one another directly. */
  get rank(): number {
    return this.usesSums ? this.table.rank() : 0;
  }

  /** Where this gateway stands among those of all zones that may read the store. */
  get proofRank(): ProofRank {
    const alive = this.usesSums ? this.peerCount : this.table.aliveCount;
    return { rank: this.table.rankOfAll(), gateways: alive + 1 };
  }

  /** Hosts of the gateways of this zone that come first. */
  firstOfZone(count: number): string[] {
    const peers = this.table.aliveIn(this.zoneHash);
    return peers.slice(0, count).map(({ host }) => host);
  }

  /** Hosts of some gateways, drawn anew each time. */
  somePeers(count: number): string[] {
    return [...this.withSeed(this.randomHosts(count))];
  }

  /** Ends. */
  close(): void {
    this.pace.close();
    this.options.datagrams.close();
  }

  private get usesSums(): boolean {
    return this.peerCount + 1 > DIRECT_GATEWAYS;
  }

  private since(milliseconds: number): number {
    return this.options.runtime.now() - milliseconds;
  }

  /** True when there was something of its own to tell. */
  private tell(): boolean {
    this.table.forgetSilent();
    this.period += 1;
    const own = this.writer.own(PLACE_REPEATS * this.messageMilliseconds);
    const { loads, tallies } = own;
    this.ownHistory = [...this.ownHistory, { loads, tallies }].slice(-1 - ECHO_PERIODS);
    if (this.usesSums) {
      this.reportTo(own);
      this.sumUpZone(own);
    } else {
      this.send(own, this.withSeed(this.randomHosts(FAN_OUT)));
      this.takeTotals(this.directlyTold());
    }
    return loads.length + tallies.length + own.places.length > 0;
  }

  private takeTotals(messages: readonly LoadMessage[], own?: OwnPeriod): void {
    const sums = sumLoads(messages.map(({ loads }) => loads));
    this.totals = own === undefined ? sums : withoutOwn(sums, own.loads);
    this.tallies = sumTallies(
      messages.map(({ tallies }) => tallies),
      own?.tallies,
    );
  }

  /** Tells the collectors of the zone, and now and then any other gateway. */
  private reportTo(own: LoadMessage): void {
    const collectors = new Set(this.firstOfZone(COLLECTORS));
    const greets = this.period % GREETING_PERIODS === 0;
    const others = greets ? this.withSeed(this.randomHosts(1)) : [];
    this.send(own, new Set([...collectors, ...others]));
  }

  /** Announces the sums if that falls to this gateway, and takes what is told of all load. */
  private sumUpZone(own: LoadMessage): void {
    this.noteAnnouncing(this.announces());
    if (!this.announcing) {
      const sum = this.newestSum();
      if (sum === undefined) {
        this.takeTotals(this.directlyTold());
      } else {
        this.takeTotals([sum], this.ownHistory[0]);
      }
      return;
    }
    const reports = this.reports();
    const zones = this.otherZones();
    this.takeTotals([...reports, ...zones]);
    const ofZone = this.writer.sum('zone', own, reports, this.zonePlaces.take());
    this.send(ofZone, this.firstOfOtherZones());
    const ofAll = this.writer.sum('all', ofZone, zones, this.otherPlaces.take());
    this.send(ofAll, this.reporters());
  }

  private noteAnnouncing(announcing: boolean): void {
    if (announcing === this.announcing) {
      return;
    }
    this.announcing = announcing;
    const { log } = this.options.runtime;
    const inputs = {
      rank: this.table.rank(),
      reporters: this.reporters().length,
      gateways: this.peerCount + 1,
    };
    if (announcing) {
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
  private withSeed(hosts: Set<string>): Set<string> {
    const { seeds, host, runtime } = this.options;
    const silent = seeds().filter((seed) => seed !== host && !this.table.has(seed));
    return silent.length > 0 ? hosts.add(runtime.random.pick(silent)) : hosts;
  }

  private send(message: LoadMessage, hosts: Iterable<string>): void {
    const plain = encodeLoadMessage(message);
    const whole = withTail(plain, message);
    for (const host of hosts) {
      this.options.datagrams.send(this.table.readsTail(host) ? whole : plain, host);
    }
  }

  private take(bytes: Uint8Array, from: string): void {
    const message = decodeLoadMessage(bytes);
    if (message === undefined || from === this.options.host) {
      return;
    }
    const { scope, zoneHash, revision } = message;
    const proof = message.proof.life === NO_PROOF.life ? undefined : message.proof;
    const now = this.options.runtime.now();
    if (!this.told[scope].take(from, message, now)) {
      return;
    }
    this.table.noteHeard({ host: from, zoneHash }, readsTail(message));
    message.peers.forEach((peer) => this.table.noteNamed(peer));
    this.options.onStoreNews({ from, revision, proof });
    this.options.onPlaces(message.places);
    if (scope === 'gateway' && this.usesSums && !this.collectsFor(zoneHash)) {
      this.answer(from, zoneHash);
    }
    if (scope === 'gateway' || scope === 'zone') {
      const relay = zoneHash === this.zoneHash ? this.zonePlaces : this.otherPlaces;
      relay.note(message.places);
    }
  }

  private collectsFor(zoneHash: number): boolean {
    return zoneHash === this.zoneHash && this.table.rank() < COLLECTORS;
  }

  /** Names to a gateway who comes first in its zone: it greets, or does not know whom to report to. */
  private answer(host: string, zoneHash: number): void {
    this.send(this.writer.answer(host, zoneHash), [host]);
  }

  /** Whether this gateway tells its zone the sums: it comes first, or stands in for who does. */
  private announces(): boolean {
    const rank = this.table.rank();
    const heard = this.told.all.since(this.since(STAND_IN_MILLISECONDS));
    return rank === 0 || (rank < COLLECTORS && heard.length === 0);
  }

  /** What the gateways of the zone reported to this one as a collector. */
  private reports(): LoadMessage[] {
    return this.told.gateway
      .since(this.since(STALE_REPORT_MILLISECONDS))
      .filter((message) => message.zoneHash === this.zoneHash);
  }

  private reporters(): string[] {
    return this.table
      .heardWithin(NAMED_MILLISECONDS)
      .flatMap(({ host, zoneHash }) => (zoneHash === this.zoneHash ? [host] : []));
  }

  /** The newest sum of each other zone. */
  private otherZones(): LoadMessage[] {
    const newest = new Map<number, LoadMessage>();
    for (const message of this.told.zone.since(this.since(STALE_REPORT_MILLISECONDS))) {
      if (message.zoneHash !== this.zoneHash) {
        newest.set(message.zoneHash, message);
      }
    }
    return [...newest.values()];
  }

  private firstOfOtherZones(): string[] {
    const zones = [...this.table.zones()].filter((zoneHash) => zoneHash !== this.zoneHash);
    return zones.flatMap((zoneHash) =>
      this.table
        .aliveIn(zoneHash)
        .slice(0, COLLECTORS)
        .map(({ host }) => host),
    );
  }

  /** The newest sum of all that was told here. */
  private newestSum(): LoadMessage | undefined {
    return this.told.all.since(this.since(STALE_MILLISECONDS)).at(-1);
  }

  private directlyTold(): LoadMessage[] {
    return this.told.gateway.since(this.since(this.staleMilliseconds));
  }

  /** Time after which what a silent peer told directly is forgotten, in milliseconds. */
  private get staleMilliseconds(): number {
    return Math.max(STALE_MILLISECONDS, STALE_MESSAGES * this.messageMilliseconds);
  }

  /** Mean time between two messages to the same gateway, in milliseconds. */
  private get messageMilliseconds(): number {
    const told = this.usesSums ? 1 : this.table.size / FAN_OUT;
    return PERIOD_MILLISECONDS * Math.max(1, told);
  }
}
