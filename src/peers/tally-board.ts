/** Where the parts of a gateway put what they tell of a topic, and read what all other gateways tell of it. */
import { boundedRows } from './tallies.js';
import type { Tally, TallyAmounts, TallyRow, TallyTopic } from './tallies.js';

/** What nobody tells. */
export const NO_AMOUNTS: TallyAmounts = new Map();

/** See the head of this file. */
export class TallyBoard {
  private readonly sources = new Map<TallyTopic, () => readonly TallyRow[]>();

  /** Figures of all other gateways under a topic, added up by key; none until gossip is there. */
  ofOthers: (topic: TallyTopic) => TallyAmounts = () => NO_AMOUNTS;

  /** Tells a topic from now on: the rows are asked for each time that something is told. */
  tell(topic: TallyTopic, rows: () => readonly TallyRow[]): void {
    this.sources.set(topic, rows);
  }

  /** What this gateway tells now. */
  own(): Tally[] {
    const told: Tally[] = [];
    for (const [topic, rows] of this.sources) {
      const bounded = boundedRows(rows());
      if (bounded.length > 0) {
        told.push({ topic, rows: bounded });
      }
    }
    return told;
  }
}
