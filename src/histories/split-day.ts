/**
 * A day on which some members are cut off from the others, while gateways reach all of them: for some seconds
 * two parts of the members go on, until the smaller one is taken out. Each turn is read, by a gateway that knows
 * nothing of it, as soon as it was kept: nobody may say that there is no such turn.
 */
import { ReplicaDay } from './replica-day.js';
import type { ReplicaDayOptions } from './replica-day.js';

/** What such a day showed. */
export interface SplitDayResult {
  readonly seed: number;
  readonly kept: number;
  /** Changes of the members while they were split. */
  readonly epochs: number;
  readonly violations: readonly string[];
}

const SPLIT_MILLISECONDS = 9_000;
const READ_MILLISECONDS = 150;
/** Reads of one turn after it was kept, and the pause between them, in milliseconds. */
const READS = 3;
const READ_PAUSE_MILLISECONDS = 20;

/** See the head of this file. */
class SplitDay extends ReplicaDay {
  private reads = 0;

  constructor(
    seed: number,
    options: ReplicaDayOptions,
    private readonly cutOffCount: number,
  ) {
    super(seed, 'split day', options);
  }

  run(): SplitDayResult {
    this.begin();
    const members = this.replicas.recordedMembers();
    const cutOff = Array.from(
      { length: this.cutOffCount },
      () => members.splice(this.random.integer(0, members.length - 1), 1)[0]!,
    );
    const epoch = this.replicas.store.epoch;
    const others = this.names.filter((name) => !cutOff.includes(name));
    cutOff.forEach((left) => others.forEach((right) => this.replicas.cut(left, right)));
    cutOff.forEach((left) => this.replicas.cut(left, 'store'));
    this.wait(SPLIT_MILLISECONDS);
    const { seed, kept, violations } = this;
    const epochs = this.replicas.store.epoch - epoch;
    return { seed, kept: kept.length, epochs, violations };
  }

  protected override onKept(id: string): void {
    for (let read = 0; read < READS; read += 1) {
      this.clock.schedule(read * READ_PAUSE_MILLISECONDS, () => this.read(id));
    }
  }

  private read(id: string): void {
    this.reads += 1;
    const client = this.client(`reader-${this.reads}`, `z${this.reads % 4}`);
    client.readChain(id, READ_MILLISECONDS, (chain) => {
      if (chain.tag === 'missing') {
        this.violations.push(`${id} was kept and is denied`);
      }
    });
  }
}

/** Plays one day. */
export function playSplitDay(
  seed: number,
  options: ReplicaDayOptions,
  cutOffCount: number,
): SplitDayResult {
  return new SplitDay(seed, options, cutOffCount).run();
}
