/** Replicas and gateways in several regions, and how long requests of gateways to the replicas take, in virtual time. */
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { Topology } from '../../src/topology/topology.js';
import type { QuotaClient } from '../../src/turns/quota-client.js';
import type { TurnClient } from '../../src/turns/turn-client.js';

/** One-way latencies of the deployment with three regions, in milliseconds. */
const ZONE_LINK_MILLISECONDS = 1.4;
const REGION_LINK_MILLISECONDS = 12;
const LOCAL_LINK_MILLISECONDS = 0.2;
const DISK_SYNC_MILLISECONDS = 5;
const TIMEOUT_MILLISECONDS = 700;
const KEYS = 30;
const GATEWAYS_IN_ZONE = 2;

/** Two zones in each of three regions: the region is the first letter of the zone. */
export const THREE_REGIONS = new Topology(
  new Map(['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((zone) => [zone, zone[0]!])),
);

/** One-way latency between two zones, in milliseconds. */
export function linkMilliseconds(fromZone: string, toZone: string): number {
  if (fromZone === toZone) {
    return LOCAL_LINK_MILLISECONDS;
  }
  return THREE_REGIONS.isSameRegion(fromZone, toZone)
    ? ZONE_LINK_MILLISECONDS
    : REGION_LINK_MILLISECONDS;
}

/** Mean time that gateways of a region wait for each hop, in milliseconds. */
export interface HopTimes {
  readonly quota: number;
  readonly read: number;
  readonly reserve: number;
  readonly store: number;
}

interface RegionGateway {
  readonly turns: TurnClient;
  readonly quotas: QuotaClient;
}

function meanOf(samples: readonly number[]): number {
  return samples.reduce((sum, each) => sum + each, 0) / samples.length;
}

/** Members in the given zones, and two gateways in each zone of three regions. */
export class RegionState {
  readonly clock = new VirtualClock();
  readonly replicas: SimulatedReplicas;
  private readonly gateways = new Map<string, RegionGateway[]>();

  /** @param knowsRegions whether gateways know the regions */
  constructor(memberZones: readonly string[], knowsRegions: boolean) {
    this.replicas = new SimulatedReplicas(this.clock, createRandom(5), {
      linkMilliseconds,
      writeMilliseconds: DISK_SYNC_MILLISECONDS,
      quotaAllowance: { overshoot: 0.1, slack: 20 },
      ...(knowsRegions ? { topology: THREE_REGIONS } : {}),
    });
    memberZones.forEach((zone, index) => this.replicas.add(`m${index}`, zone));
    const areActive = (): boolean => this.replicas.activeNames().length === memberZones.length;
    if (!this.clock.runUntil(30_000, areActive)) {
      throw new Error('the members are not active');
    }
    this.clock.runUntil(this.clock.now + 2_000);
    for (const zone of THREE_REGIONS.zones) {
      const ofZone = Array.from({ length: GATEWAYS_IN_ZONE }, (_, index) => {
        const name = `g ${zone} ${index}`;
        return {
          turns: this.replicas.client(name, zone, 'm0').client,
          quotas: this.replicas.quotaClient(name, 'm0', zone),
        };
      });
      this.gateways.set(zone, ofZone);
    }
  }

  /** Measures each hop of a turn that continues one stored through another gateway of the zone. */
  measure(region: string): HopTimes {
    const zones = THREE_REGIONS.zones.filter((zone) => THREE_REGIONS.regionOf(zone) === region);
    const samples = { quota: [], read: [], reserve: [], store: [] } as Record<
      keyof HopTimes,
      number[]
    >;
    for (const zone of zones) {
      const [first, second] = this.gateways.get(zone)!;
      for (let key = 0; key < KEYS; key += 1) {
        const id = `${zone} ${key}`;
        samples.store.push(this.timeOf((done) => this.store(first!, id, done)));
        samples.quota.push(this.timeOf((done) => this.spend(second!, done)));
        samples.read.push(
          this.timeOf((done) =>
            second!.turns.readChain(id, TIMEOUT_MILLISECONDS, ({ tag }) => done(tag === 'found')),
          ),
        );
        samples.reserve.push(this.timeOf((done) => this.reserve(second!, id, done)));
      }
    }
    const { quota, read, reserve, store } = samples;
    return {
      quota: meanOf(quota),
      read: meanOf(read),
      reserve: meanOf(reserve),
      store: meanOf(store),
    };
  }

  private timeOf(start: (done: (succeeded: boolean) => void) => void): number {
    const startedAt = this.clock.now;
    let endedAt: number | undefined;
    start((succeeded) => {
      if (!succeeded) {
        throw new Error('a request to the replicas failed');
      }
      endedAt = this.clock.now;
    });
    this.clock.runUntil(startedAt + TIMEOUT_MILLISECONDS, () => endedAt !== undefined);
    return endedAt! - startedAt;
  }

  private store({ turns }: RegionGateway, id: string, done: (stored: boolean) => void): void {
    const bytes = Buffer.from(id);
    const turn = { id, previous: '', input: bytes, output: bytes, retentionMilliseconds: 60_000 };
    turns.storeTurn(turn, TIMEOUT_MILLISECONDS, done);
  }

  private reserve({ turns }: RegionGateway, id: string, done: (granted: boolean) => void): void {
    const request = { program: `p ${id}`, turn: id, mostTokens: 10, budgetTokens: 1_000 };
    turns.reserve(request, TIMEOUT_MILLISECONDS, (outcome) => done(outcome === 'granted'));
  }

  private spend({ quotas }: RegionGateway, done: (granted: boolean) => void): void {
    const quota = { tenant: 't', version: 1, ratePerSecond: 1_000, burst: 1_000 };
    const request = { quota, beginsRequests: 0, patienceMilliseconds: 0 };
    quotas.spend(request, TIMEOUT_MILLISECONDS, ({ tag }) => done(tag === 'Granted'));
  }
}
