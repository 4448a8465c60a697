/**
 * Puts together how gateways follow the store as one: a copy, proofs that it is fresh, few followers,
 * and gossip by which the others learn what changed.
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
import { FOLLOWERS_PER_ZONE, StoreFollowers } from './store-followers.js';

/** A watch that hangs is shown by proofs and by cheap lists, so it may wait long. */
const WATCH_TIMEOUT_MILLISECONDS = 5_000;
const VERIFY_INTERVAL_MILLISECONDS = 2_500;

/** What a gateway gives to follow the store beside others. */
export interface StoreSyncOptions {
  readonly runtime: Runtime;
  readonly port: KeySpacePort;
  readonly timings: FreshnessTimings;
  /** The key that is read as a proof. */
  readonly proofKey: string;
  /** An item is new or changed. */
  readonly onPut: (item: StoredItem) => void;
  /** An item is gone; its owner may write it again within the milliseconds if these are not 0. */
  readonly onRemoved: (key: string, expiryGraceMilliseconds: number) => void;
  /** What the gossip needs beside what is known of the store. */
  readonly gossip: Omit<
    LoadGossipOptions,
    'runtime' | 'ownRevision' | 'proof' | 'onPeerStoreState'
  >;
  /** Gives the copy what a host has and it lacks; undefined where nobody can be asked. */
  readonly fetch: ((host: string, done: () => void) => void) | undefined;
  /** Time after the start in which others may follow the store first, in milliseconds. */
  readonly startDelayMilliseconds: number;
}

/** The parts, running. */
export interface StoreSync {
  readonly mirror: KeySpaceMirror;
  readonly freshness: StoreFreshness;
  /** As of when the item of the key that is read as a proof is surely the newest. */
  readonly proof: ConfigurationProof;
  readonly gossip: LoadGossip;
  readonly followers: StoreFollowers;
  /** Stops all of them. */
  close(): void;
}

/** Starts all parts. */
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
    onRemoved: (key) => options.onRemoved(key, freshness.expiryGraceMilliseconds),
    onReachable: () => undefined,
    onListed: (revision, sentAt) => {
      proof.noteRead(sentAt);
      freshness.noteRead(revision, sentAt);
    },
  });
  const proof = new ConfigurationProof(runtime, () => mirror.get(options.proofKey)?.revision ?? 0);
  const catchUp = new StoreCatchUp({
    runtime,
    mirror,
    otherSources: () => gossip.firstInZone(FOLLOWERS_PER_ZONE),
    fetch: fetch ?? ((_host, done) => done()),
  });
  const handleStoreState = (state: PeerStoreState): void => {
    if (state.proof !== undefined) {
      freshness.receiveProof(state.proof);
      catchUp.noteStoreRevision(state.proof.revision);
    }
    catchUp.handlePeerState(state);
  };
  const gossip: LoadGossip = new LoadGossip({
    ...options.gossip,
    runtime,
    ownRevision: () => mirror.completeRevision,
    proof: () => freshness.proof,
    onPeerStoreState: handleStoreState,
  });
  const freshness: StoreFreshness = new StoreFreshness({
    runtime,
    port,
    key: options.proofKey,
    mirror,
    timings,
    rank: () => gossip.proofRank,
    startDelayMilliseconds,
    onRead: (sentAt) => proof.noteRead(sentAt),
  });
  const followers = new StoreFollowers({
    runtime,
    // Where nobody can be asked for changes, each follows the store itself.
    rank: () => (fetch === undefined ? 0 : gossip.rank),
    proofAgeMilliseconds: () => freshness.proofAgeMilliseconds,
    lagMilliseconds: () => catchUp.lagMilliseconds,
    mirror,
    startDelayMilliseconds,
  });
  const close = (): void => [mirror, freshness, gossip, followers].forEach((part) => part.close());
  return { mirror, freshness, proof, gossip, followers, close };
}
