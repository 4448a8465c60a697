/**
 * Registry through which the components of a gateway publish rows of a topic and read the sums of
 * all other gateways.
 */
import { largestRows } from './aggregates.js';
import type { Aggregate, AmountsByKey, AggregateRow, AggregateTopic } from './aggregates.js';

/** The empty result for a topic that no other gateway reports. */
export const NO_AMOUNTS: AmountsByKey = new Map();

/** Holds one source of rows for each topic that this gateway publishes. */
export class AggregateRegistry {
  private readonly sources = new Map<AggregateTopic, () => readonly AggregateRow[]>();

  /**
   * Returns the amounts of all other gateways under a topic, summed by key. Empty until the gossip
   * is connected.
   */
  ofOthers: (topic: AggregateTopic) => AmountsByKey = () => NO_AMOUNTS;

  /** Publishes a topic. `rows` is called each time the gateway sends a load message. */
  register(topic: AggregateTopic, rows: () => readonly AggregateRow[]): void {
    this.sources.set(topic, rows);
  }

  /** Returns the current rows of all registered topics, bounded to the size of a message. */
  collectOwn(): Aggregate[] {
    const aggregates: Aggregate[] = [];
    for (const [topic, rows] of this.sources) {
      const largest = largestRows(rows());
      if (largest.length > 0) {
        aggregates.push({ topic, rows: largest });
      }
    }
    return aggregates;
  }
}
