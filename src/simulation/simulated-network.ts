/** The network in virtual time: seeded delays, loss, partitions; an order may be overtaken. */
import type { ZoneName } from '../model/identifiers.js';
import type { RandomSource } from '../runtime/random.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { VirtualClock } from './virtual-clock.js';

/** One end of the network. */
export interface NetworkEndpoint {
  readonly process: SimulatedProcess;
  readonly zone: ZoneName;
}

/** How the network behaves. */
export interface NetworkOptions {
  /** One-way milliseconds inside a zone. @default 0.2 */
  readonly intraZoneMilliseconds?: number;
  /** One-way milliseconds between zones. */
  readonly interZoneMilliseconds: number;
}

/** Keeps the order of one direction of a connection. */
export interface ConnectionOrder {
  /** Virtual milliseconds at which the newest message arrives. */
  lastArrival: number;
}

/** Jitter as a part of the usual delay. */
const JITTER = 0.3;

/** See the head of this file. */
export class SimulatedNetwork {
  /** Probability that a message is lost. */
  loss = 0;
  /** Most milliseconds added at random to each message. */
  extraDelay = 0;
  private readonly cutLinks = new Set<string>();
  private delivered = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Messages delivered so far. */
  get messageCount(): number {
    return this.delivered;
  }

  /** Cuts both directions between two ends. */
  cutLink(left: string, right: string): void {
    this.cutLinks.add(`${left}>${right}`);
    this.cutLinks.add(`${right}>${left}`);
  }

  /** Cuts one direction. */
  cutOneWay(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  /** Heals every cut. */
  heal(): void {
    this.cutLinks.clear();
  }

  /** True when messages pass from one end to another. */
  isConnected(from: NetworkEndpoint, to: NetworkEndpoint): boolean {
    return !this.cutLinks.has(`${from.process.name}>${to.process.name}`);
  }

  /** Delivers a datagram, or loses it. */
  deliver(from: NetworkEndpoint, to: NetworkEndpoint, receive: () => void): void {
    if (!this.isConnected(from, to) || this.random.uniform() < this.loss) {
      return;
    }
    this.clock.schedule(this.delay(from, to), () => {
      this.delivered += 1;
      to.process.execute(receive);
    });
  }

  /** Delivers over a connection: in order, never lost while the link is up, told when it is not. */
  deliverInOrder(
    connection: ConnectionOrder,
    from: NetworkEndpoint,
    to: NetworkEndpoint,
    receive: () => void,
    onBroken: () => void,
  ): void {
    const { now } = this.clock;
    connection.lastArrival = Math.max(connection.lastArrival, now + this.delay(from, to));
    this.clock.schedule(connection.lastArrival - now, () => {
      if (this.isConnected(from, to) && to.process.isAlive) {
        this.delivered += 1;
        to.process.execute(receive);
      } else {
        from.process.execute(onBroken);
      }
    });
  }

  private delay(from: NetworkEndpoint, to: NetworkEndpoint): number {
    const { intraZoneMilliseconds = 0.2, interZoneMilliseconds } = this.options;
    const base = from.zone === to.zone ? intraZoneMilliseconds : interZoneMilliseconds;
    return base * (1 + this.random.uniform() * JITTER) + this.random.uniform() * this.extraDelay;
  }
}
