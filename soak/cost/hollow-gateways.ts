/** Gateways of which nothing stands but what they tell one another: they let one process know many. */
import { hashToNumber } from '../../src/runtime/hashing.js';
import type { StoreProof } from '../../src/mirror/store-freshness.js';
import { ConfigurationProof } from '../../src/mirror/configuration-proof.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { setRepeatingTimer } from '../../src/runtime/runtime.js';
import { openUdpPort } from '../../src/peers/datagram-port.js';
import { LoadGossip } from '../../src/peers/load-gossip.js';
import { ProofExchange } from '../../src/peers/proof-exchange.js';

/** What hollow gateways are made with. */
export interface HollowGatewayOptions {
  readonly runtime: Runtime;
  /** Ports of the loads and of the proofs. */
  readonly ports: { readonly peer: number; readonly proof: number };
  /** Hosts and zones of the hollow gateways. */
  readonly places: readonly HollowPlace[];
  readonly seeds: readonly string[];
  /** Revision of the store; the first of them tells it as proved. */
  readonly revision: () => number;
  /** Revision of the configuration, which stays what it is. */
  readonly configurationRevision: number;
}

/** Time between two proofs that the configuration is the newest, in milliseconds. */
const PROOF_MILLISECONDS = 200;

/** Where a hollow gateway stands. */
export interface HollowPlace {
  readonly host: string;
  readonly zone: string;
}

/** Answers those that ask how new the configuration is; returns how to end. */
function answerProofs(options: HollowGatewayOptions): () => void {
  const { runtime, ports, places, configurationRevision } = options;
  const proof = new ConfigurationProof(runtime, () => configurationRevision);
  proof.noteRead(runtime.now());
  const endProofs = setRepeatingTimer(runtime, PROOF_MILLISECONDS, () =>
    proof.noteRead(runtime.now()),
  );
  const exchanges = places.map(
    ({ host }) =>
      new ProofExchange({
        runtime,
        datagrams: openUdpPort(host, ports.proof),
        proof,
        hostsToAsk: () => [],
        isNeeded: () => false,
      }),
  );
  return () => {
    endProofs();
    exchanges.forEach((exchange) => exchange.close());
  };
}

/** Starts hollow gateways; returns how to end them. */
export function startHollowGateways(options: HollowGatewayOptions): () => void {
  const { runtime, ports, places, seeds, revision } = options;
  let proofs = 0;
  const proofOf = (host: string): StoreProof => {
    proofs += 1;
    const life = hashToNumber(host);
    return { life, number: proofs, revision: revision(), ageMilliseconds: 0 };
  };
  const gossips = places.map(
    ({ host, zone }, index) =>
      new LoadGossip({
        runtime,
        host,
        zone,
        datagrams: openUdpPort(host, ports.peer),
        seeds: () => seeds,
        onPeerStoreState: () => undefined,
        onPlaces: () => undefined,
        ownLoads: () => new Map(),
        ownRevision: revision,
        proof: () => (index === 0 ? proofOf(host) : undefined),
        reachesReplicas: () => true,
        ownPlaces: () => [],
        ownAggregates: () => [],
      }),
  );
  const endProofs = answerProofs(options);
  return () => {
    endProofs();
    gossips.forEach((gossip) => gossip.close());
  };
}
