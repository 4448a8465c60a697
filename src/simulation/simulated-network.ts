/** The network in virtual time: delays, loss, reordering of datagrams and partitions, by a seed. */
import type { ZoneName } from '../model/identifiers.js';
import type { RandomSource } from '../runtime/random.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { VirtualClock } from './virtual-clock.js';

/** A process on the network and the zone that it runs in. */
export interface NetworkEndpoint {
  readonly process: SimulatedProcess;
  readonly zone: ZoneName;
}

/** One-way delays of the network. */
export interface NetworkOptions {
  /** One-way delay within a zone. @default 0.2 */
  readonly intraZoneMilliseconds?: number;
  /** One-way delay between zones. */
  readonly interZoneMilliseconds: number;
}

/** Delivery state of one direction of a connection, which keeps its messages in order. */
export interface ConnectionOrder {
  /** Virtual time, in milliseconds, at which the newest message arrives. */
  lastArrival: number;
}

/** Maximum jitter as a fraction of the delay. */
const JITTER = 0.3;

/** Delivers messages between simulated processes, as datagrams or over ordered connections. */
export class SimulatedNetwork {
  /** Probability that a datagram is lost. */
  loss = 0;
  /** Upper bound of a random delay added to each message, in milliseconds. */
  extraDelay = 0;
  private readonly cutLinks = new Set<string>();
  private delivered = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: RandomSource,
    private readonly options: NetworkOptions,
  ) {}

  /** Number of messages delivered so far. */
  get messageCount(): number {
    return this.delivered;
  }

  /** Cuts both directions between two processes, given by name. */
  cutLink(left: string, right: string): void {
    this.cutLinks.add(`${left}>${right}`);
    this.cutLinks.add(`${right}>${left}`);
  }

  /** Cuts the direction from one process to another, given by name. */
  cutOneWay(from: string, to: string): void {
    this.cutLinks.add(`${from}>${to}`);
  }

  /** Restores all links that were cut. */
  heal(): void {
    this.cutLinks.clear();
  }

  /** Whether the link in this direction is up. */
  isConnected(from: NetworkEndpoint, to: NetworkEndpoint): boolean {
    return !this.cutLinks.has(`${from.process.name}>${to.process.name}`);
  }

  /** Delivers a datagram; it may be lost, or overtaken by a later one. */
  deliver(from: NetworkEndpoint, to: NetworkEndpoint, receive: () => void): void {
    if (!this.isConnected(from, to) || this.random.uniform() < this.loss) {
      return;
    }
    this.clock.schedule(this.delay(from, to), () => {
      this.delivered += 1;
      to.process.execute(receive);
    });
  }

  /**
   * Delivers over a connection: in order and without loss. When the link is down or the receiver's
   * process has ended at the time of arrival, the sender's callback for a broken connection runs.
   */
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
