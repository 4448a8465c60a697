/** A fleet of gateways in virtual time that gossip and follow the store together. */
import { freshnessTimingsFor } from '../../src/mirror/freshness-timings.js';
import type { KeySpaceMirror } from '../../src/mirror/key-space-mirror.js';
import type { StoreFreshness } from '../../src/mirror/store-freshness.js';
import type { DatagramListener, DatagramPort } from '../../src/peers/datagram-port.js';
import { startStoreSync } from '../../src/peers/store-sync.js';
import type { StoreSync } from '../../src/peers/store-sync.js';
import type { LoadGossip } from '../../src/peers/load-gossip.js';
import {
  decodeLoadMessage,
  encodeLoadMessage,
  FIRST_LIFE_WITH_EXTENSIONS,
} from '../../src/peers/load-message.js';
import type { PromptPlace } from '../../src/peers/recent-places.js';
import type { Aggregate } from '../../src/peers/aggregates.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import { SimulatedKeySpace } from './simulated-key-space.js';

/** One-way latency of messages between gateways, in milliseconds. */
export const LINK_MILLISECONDS = 1;
const LOSS = 0.01;
const FIRST_START_DELAY_MILLISECONDS = 2_500;
const APPLY_MILLISECONDS = 2_000;
/** Key that tests change and that gateways read for proofs. */
export const CHANGED_KEY = 'a';
/** Number of zones; gateways are assigned to them in turn. */
export const ZONES = 4;
/** Regions by zone; gateways are assigned to the zones in turn. */
export interface FleetRegions {
  readonly regionByZone: ReadonlyMap<string, string>;
  /** Whether the gateways know the regions. */
  readonly areKnown: boolean;
  /** One-way latency between regions, in milliseconds. */
  readonly linkMilliseconds: number;
}

/** A gateway with its own link to the store. */
export interface FleetGateway {
  readonly host: string;
  readonly process: SimulatedProcess;
  readonly store: SimulatedKeySpace;
  readonly mirror: KeySpaceMirror;
  readonly gossip: LoadGossip;
  readonly freshness: StoreFreshness;
  readonly loads: Map<string, number>;
  /** Prompt parts whose places other gateways have reported to it. */
  readonly receivedPlaces: Set<number>;
  places: readonly PromptPlace[];
  aggregates: readonly Aggregate[];
  /**
   * Whether the gateway runs a build without extensions: its life is below
   * `FIRST_LIFE_WITH_EXTENSIONS`, and it rejects messages with extensions.
   */
  isOlderBuild: boolean;
  extensionsRefused: number;
  fetchesServed: number;
  messagesSent: number;
  bytesSent: number;
}

/** State of the fleet, shared by the steps. */
export interface FleetWorld {
  random: RandomSource;
  clock: VirtualClock;
  gateways: FleetGateway[];
  listeners: Map<string, DatagramListener>;
  /**
   * Current value of the key in the store; each gateway has its own simulated store, kept alike.
   */
  value: string;
  /** Additional one-way latency of messages between gateways, in milliseconds. */
  delayMilliseconds: number;
  /** While true, no gateway answers fetches. */
  fetchesFail: boolean;
  /** Revision that one gateway falsely claims to have. */
  falseRevision: { readonly host: string; readonly revision: number } | undefined;
  /** Regions of the zones; undefined for a fleet in one region. */
  regions?: FleetRegions | undefined;
  /** Bytes and messages sent from one region to another. */
  betweenRegions: { bytes: number; messages: number };
  /** Fetches from a gateway of another region. */
  fetchesBetweenRegions: number;
  /** Whether messages between regions are lost. */
  regionsAreCut?: boolean;
}

/** Returns the zone of a host. */
export function zoneOfHost(world: FleetWorld, host: string): string {
  const index = Number(host.split('.')[3]);
  const zones = [...(world.regions?.regionByZone.keys() ?? [])];
  return zones[index % zones.length] ?? `z${index % ZONES}`;
}

/** Whether two hosts are in different regions. */
export function areInDifferentRegions(world: FleetWorld, host: string, other: string): boolean {
  const regionOf = (each: string): string | undefined =>
    world.regions?.regionByZone.get(zoneOfHost(world, each));
  return regionOf(host) !== regionOf(other);
}

/** Returns the gateways that have not been killed. */
export function running(world: FleetWorld): FleetGateway[] {
  return world.gateways.filter(({ process }) => process.isAlive);
}

/** Returns the running gateways that follow the store. */
export function followersOf(world: FleetWorld): FleetGateway[] {
  return running(world).filter(({ mirror }) => mirror.isFollowing);
}

/** Returns the message with another revision, both as the sender's and in the proof. */
function withRevision(bytes: Uint8Array, revision: number): Uint8Array {
  const message = decodeLoadMessage(bytes)!;
  return encodeLoadMessage({ ...message, revision, proof: { ...message.proof, revision } });
}

/** Returns the message as a build without extensions sends it. */
function asOlderBuild(bytes: Uint8Array): Uint8Array {
  const message = decodeLoadMessage(bytes)!;
  return encodeLoadMessage({ ...message, life: message.life - FIRST_LIFE_WITH_EXTENSIONS });
}

/** Delivers a message, unless the build of its receiver rejects it. */
function deliver(world: FleetWorld, bytes: Uint8Array, from: string, target: string): void {
  const receiver = world.gateways.find((gateway) => gateway.host === target);
  if (receiver?.isOlderBuild === true && decodeLoadMessage(bytes)?.aggregates.length !== 0) {
    receiver.extensionsRefused += 1;
    return;
  }
  world.listeners.get(target)?.(bytes, from);
}

function datagramsOf(world: FleetWorld, host: string): DatagramPort {
  return {
    onDatagram: (listener) => world.listeners.set(host, listener),
    send: (encoded, target) => {
      const sender = world.gateways.find((gateway) => gateway.host === host);
      const builtBytes = sender?.isOlderBuild === true ? asOlderBuild(encoded) : encoded;
      const bytes =
        world.falseRevision?.host === host
          ? withRevision(builtBytes, world.falseRevision.revision)
          : builtBytes;
      if (sender !== undefined) {
        sender.messagesSent += 1;
        sender.bytesSent += bytes.length;
      }
      const isFar = areInDifferentRegions(world, host, target);
      if (isFar) {
        world.betweenRegions.bytes += bytes.length;
        world.betweenRegions.messages += 1;
      }
      if (world.random.uniform() >= LOSS && !(isFar && world.regionsAreCut === true)) {
        const link = isFar ? world.regions!.linkMilliseconds : LINK_MILLISECONDS;
        const delay = link + world.delayMilliseconds;
        world.clock.schedule(delay, () => deliver(world, bytes, host, target));
      }
    },
    close: () => world.listeners.delete(host),
  };
}

function fetchFrom(
  world: FleetWorld,
  own: KeySpaceMirror,
  asker: string,
  host: string,
  done: () => void,
): void {
  const peer = world.gateways.find((gateway) => gateway.host === host);
  if (peer === undefined || !peer.process.isAlive || world.fetchesFail) {
    world.clock.schedule(600, done);
    return;
  }
  peer.fetchesServed += 1;
  world.fetchesBetweenRegions += areInDifferentRegions(world, asker, host) ? 1 : 0;
  const since = own.completeRevision;
  world.clock.schedule(LINK_MILLISECONDS, () => {
    const changes = peer.mirror.changesSince(since);
    world.clock.schedule(LINK_MILLISECONDS, () => {
      own.applyChanges(changes);
      done();
    });
  });
}

function addGateway(world: FleetWorld, index: number): void {
  const host = `10.0.0.${index}`;
  const process = new SimulatedProcess(host, world.clock, world.random);
  const runtime = process.start();
  const store = new SimulatedKeySpace(world.clock);
  store.put(CHANGED_KEY, 'first');
  const loads = new Map<string, number>();
  const receivedPlaces = new Set<number>();
  const isSeed = index < 3;
  const storeSync: StoreSync = startStoreSync({
    runtime,
    port: store,
    timings: freshnessTimingsFor(APPLY_MILLISECONDS),
    proofKey: CHANGED_KEY,
    onPut: () => undefined,
    onRemoved: () => undefined,
    gossip: {
      host,
      zone: zoneOfHost(world, host),
      ...(world.regions?.areKnown === true
        ? { topology: new Topology(world.regions.regionByZone) }
        : {}),
      datagrams: datagramsOf(world, host),
      seeds: () => ['10.0.0.0', '10.0.0.1', '10.0.0.2'],
      ownLoads: () => loads,
      reachesReplicas: () => true,
      ownPlaces: () => world.gateways[index]?.places ?? [],
      ownAggregates: () => world.gateways[index]?.aggregates ?? [],
      onPlaces: (places) => places.forEach(({ part }) => receivedPlaces.add(part)),
    },
    fetch: (target, done) => fetchFrom(world, storeSync.mirror, host, target, done),
    startDelayMilliseconds: isSeed
      ? 0
      : FIRST_START_DELAY_MILLISECONDS * (1 + world.random.uniform()),
  });
  const counts = { fetchesServed: 0, messagesSent: 0, bytesSent: 0, places: [] };
  const build = { aggregates: [], isOlderBuild: false, extensionsRefused: 0 };
  const { mirror, gossip, freshness } = storeSync;
  const parts = { mirror, gossip, freshness, loads, receivedPlaces };
  world.gateways.push({ host, process, store, ...parts, ...counts, ...build });
}

/** Advances virtual time. */
export function wait(world: FleetWorld, milliseconds: number): void {
  world.clock.runUntil(world.clock.now + milliseconds);
}

export function changeKey(world: FleetWorld): void {
  world.value = `changed at ${world.clock.now}`;
  world.gateways.forEach(({ store }) => store.put(CHANGED_KEY, world.value));
}

/** Whether all running gateways know the newest value of the key. */
export function allKnow(world: FleetWorld): boolean {
  return running(world).every(({ mirror }) => mirror.get(CHANGED_KEY)?.value === world.value);
}

/** Starts a fleet in which every gateway knows the same three seeds. */
export function startFleet(world: FleetWorld, count: number, regions?: FleetRegions): void {
  world.regions = regions;
  world.betweenRegions = { bytes: 0, messages: 0 };
  world.fetchesBetweenRegions = 0;
  world.regionsAreCut = false;
  world.random = createRandom(count, 'gateways');
  world.clock = new VirtualClock();
  world.gateways = [];
  world.listeners = new Map();
  world.value = 'first';
  world.fetchesFail = false;
  world.delayMilliseconds = 0;
  for (let index = 0; index < count; index += 1) {
    addGateway(world, index);
  }
}
