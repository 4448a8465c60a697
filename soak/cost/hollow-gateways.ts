/** Simulated peer gateways that only gossip and answer proof requests, so that one real gateway has many peers. */
import { hashToNumber } from '../../src/runtime/hashing.js';
import type { StoreProof } from '../../src/mirror/store-freshness.js';
import { ConfigurationProof } from '../../src/mirror/configuration-proof.js';
import type { Runtime } from '../../src/runtime/runtime.js';
import { setRepeatingTimer } from '../../src/runtime/runtime.js';
import { openUdpPort } from '../../src/peers/datagram-port.js';
import { Listeners } from '../../src/runtime/listeners.js';
import { ExceptionLog } from '../../src/telemetry/exception-log.js';
import { LoadGossip } from '../../src/peers/load-gossip.js';
import { ProofExchange } from '../../src/peers/proof-exchange.js';

/** Options of the hollow gateways. */
export interface HollowGatewayOptions {
  readonly runtime: Runtime;
  /** UDP ports of load gossip and of configuration proofs. */
  readonly ports: { readonly peer: number; readonly proof: number };
  /** Host and zone of each hollow gateway. */
  readonly addresses: readonly HollowAddress[];
  readonly seeds: readonly string[];
  /** Current revision of the store; the first hollow gateway announces it as proved. */
  readonly revision: () => number;
  /** Revision of the configuration, which does not change. */
  readonly configurationRevision: number;
}

/** Time between two proofs that the configuration is the newest, in milliseconds. */
const PROOF_MILLISECONDS = 200;

/** Host and zone of a hollow gateway. */
export interface HollowAddress {
  readonly host: string;
  readonly zone: string;
}

/** Answers requests for a proof of the configuration's revision; returns a function that stops it. */
function answerProofs(options: HollowGatewayOptions): () => void {
  const { runtime, ports, addresses, configurationRevision } = options;
  const proof = new ConfigurationProof(runtime, () => configurationRevision);
  proof.noteRead(configurationRevision, runtime.now());
  const endProofs = setRepeatingTimer(runtime, PROOF_MILLISECONDS, () =>
    proof.noteRead(configurationRevision, runtime.now()),
  );
  const exceptions = new ExceptionLog(runtime);
  const listeners = new Listeners(runtime);
  const exchanges = addresses.map(
    ({ host }) =>
      new ProofExchange({
        runtime,
        datagrams: openUdpPort(
          { purpose: 'proofs', host, port: ports.proof },
          exceptions,
          listeners,
        ),
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

/** Starts hollow gateways; returns a function that stops them. */
export function startHollowGateways(options: HollowGatewayOptions): () => void {
  const { runtime, ports, addresses, seeds, revision } = options;
  let proofs = 0;
  const proofOf = (host: string): StoreProof => {
    proofs += 1;
    const life = hashToNumber(host);
    return { life, number: proofs, revision: revision(), ageMilliseconds: 0 };
  };
  const exceptions = new ExceptionLog(runtime);
  const listeners = new Listeners(runtime);
  const gossips = addresses.map(
    ({ host, zone }, index) =>
      new LoadGossip({
        runtime,
        host,
        zone,
        datagrams: openUdpPort(
          { purpose: 'gossip', host, port: ports.peer },
          exceptions,
          listeners,
        ),
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
