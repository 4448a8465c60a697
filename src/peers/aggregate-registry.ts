/** Where the parts of a gateway put what they tell of a topic, and read what all other gateways tell of it. */
import { largestRows } from './aggregates.js';
import type { Aggregate, AmountsByKey, AggregateRow, AggregateTopic } from './aggregates.js';

/** What nobody tells. */
export const NO_AMOUNTS: AmountsByKey = new Map();

/** See the head of this file. */
export class AggregateRegistry {
  private readonly sources = new Map<AggregateTopic, () => readonly AggregateRow[]>();

  /** Figures of all other gateways under a topic, added up by key; none until gossip is there. */
  ofOthers: (topic: AggregateTopic) => AmountsByKey = () => NO_AMOUNTS;

  /** Tells a topic from now on: the rows are asked for each time that something is told. */
  register(topic: AggregateTopic, rows: () => readonly AggregateRow[]): void {
    this.sources.set(topic, rows);
  }

  /** What this gateway tells now. */
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
