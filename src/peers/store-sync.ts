/**
 * Assembles the components by which the gateways follow the store together: a mirror of the store,
 * proofs of its freshness, the choice of a few followers, and gossip through which the other
 * gateways learn of changes.
 */
import { ConfigurationProof } from '../mirror/configuration-proof.js';
import type { FreshnessTimings } from '../mirror/freshness-timings.js';
import { KeySpaceMirror } from '../mirror/key-space-mirror.js';
import type { KeySpacePort, StoredItem } from '../mirror/key-space-port.js';
import { StoreFreshness } from '../mirror/store-freshness.js';
import type { Runtime } from '../runtime/runtime.js';
import { LoadGossip } from './load-gossip.js';
import type { LoadGossipOptions, PeerStoreState } from './load-gossip.js';
import { StoreCatchUp } from './store-catch-up.js';
import type { StoreCatchUpOptions } from './store-catch-up.js';
import { FOLLOWERS_PER_ZONE, StoreFollowers } from './store-followers.js';

/**
 * Maximum wait of one watch call, in milliseconds. May be long, since proofs and stale lists reveal
 * a stalled watch.
 */
const WATCH_TIMEOUT_MILLISECONDS = 5_000;
const VERIFY_INTERVAL_MILLISECONDS = 2_500;

export interface StoreSyncOptions {
  readonly runtime: Runtime;
  readonly port: KeySpacePort;
  readonly timings: FreshnessTimings;
  /** Key that is read to obtain proofs. */
  readonly proofKey: string;
  /** Revision of that key's item that is in force. @default the one of the copy */
  readonly appliedRevision?: () => number;
  /** Called with each new or changed item. */
  readonly onPut: (item: StoredItem) => void;
  /**
   * Called when an item is removed, as of a revision. If the milliseconds are not 0, its owner may
   * still write it again within that time.
   */
  readonly onRemoved: (key: string, expiryGraceMilliseconds: number, revision: number) => void;
  /** Options of the gossip that do not concern the store. */
  readonly gossip: Omit<
    LoadGossipOptions,
    'runtime' | 'ownRevision' | 'proof' | 'onPeerStoreState'
  >;
  /**
   * Fetches the missing changes from a host into the mirror; undefined if peers cannot be asked.
   */
  readonly fetch: ((host: string, done: () => void) => void) | undefined;
  /**
   * Delay after the start during which other gateways may follow the store first, in milliseconds.
   */
  readonly startDelayMilliseconds: number;
}

/** The running components. */
export interface StoreSync {
  readonly mirror: KeySpaceMirror;
  readonly freshness: StoreFreshness;
  /** Age of the newest proof that the item of `proofKey` is up to date. */
  readonly proof: ConfigurationProof;
  readonly gossip: LoadGossip;
  readonly followers: StoreFollowers;
  /** Stops all components. */
  close(): void;
}

/** Where changes are fetched from: the first-ranked gateways of the zone, and others of the own region first. */
function catchUpSources(
  gossip: () => LoadGossip,
): Pick<StoreCatchUpOptions, 'otherSources' | 'isInOwnRegion'> {
  return {
    otherSources: () => gossip().firstInZone(FOLLOWERS_PER_ZONE),
    isInOwnRegion: (host) => gossip().isInOwnRegion(host),
  };
}

function receiveStoreState(
  state: PeerStoreState,
  freshness: StoreFreshness,
  catchUp: StoreCatchUp,
): void {
  if (state.proof !== undefined) {
    freshness.receiveProof(state.proof);
    catchUp.noteStoreRevision(state.proof.revision);
  }
  catchUp.handlePeerState(state);
}

/** Creates and starts all components. */
export function startStoreSync(options: StoreSyncOptions): StoreSync {
  const { runtime, port, timings, fetch, startDelayMilliseconds } = options;
  const mirror = new KeySpaceMirror({
    runtime,
    port,
    prefix: '',
    timings,
    awaitsProof: true,
    verifyIntervalMilliseconds: VERIFY_INTERVAL_MILLISECONDS,
    watchTimeoutMilliseconds: WATCH_TIMEOUT_MILLISECONDS,
    onPut: options.onPut,
    onRemoved: (key, at) => options.onRemoved(key, freshness.expiryGraceMilliseconds, at),
    onReachable: () => undefined,
    onListed: (revision, sentAt) => {
      proof.noteRead(copiedRevision(), sentAt);
      freshness.noteRead(revision, sentAt);
    },
  });
  const copiedRevision = (): number => mirror.get(options.proofKey)?.revision ?? 0;
  const proof = new ConfigurationProof(runtime, options.appliedRevision ?? copiedRevision);
  const catchUp = new StoreCatchUp({
    runtime,
    mirror,
    ...catchUpSources(() => gossip),
    fetch: fetch ?? ((_host, done) => done()),
  });
  const gossip: LoadGossip = new LoadGossip({
    ...options.gossip,
    runtime,
    ownRevision: () => mirror.completeRevision,
    proof: () => freshness.proof,
    onPeerStoreState: (state) => receiveStoreState(state, freshness, catchUp),
  });
  const freshness: StoreFreshness = new StoreFreshness({
    runtime,
    port,
    key: options.proofKey,
    mirror,
    timings,
    rank: () => gossip.proofRank,
    startDelayMilliseconds,
    onRead: (sentAt) => proof.noteRead(copiedRevision(), sentAt),
  });
  const followers = new StoreFollowers({
    runtime,
    // Without peers to fetch from, every gateway follows the store itself.
    rank: () => (fetch === undefined ? 0 : gossip.rank),
    proofAgeMilliseconds: () => freshness.proofAgeMilliseconds,
    lagMilliseconds: () => catchUp.lagMilliseconds,
    mirror,
    startDelayMilliseconds,
  });
  const close = (): void => [mirror, freshness, gossip, followers].forEach((part) => part.close());
  return { mirror, freshness, proof, gossip, followers, close };
}
