/**
 * A day on which some members are cut off from the others, while gateways reach all of them: for some seconds
 * two parts of the members go on, until the smaller one is taken out. Each turn is read, by a gateway that knows
 * nothing of it, as soon as it was kept: nobody may say that there is no such turn.
 */
import { ReplicaScenario } from './replica-scenario.js';
import type { ReplicaScenarioOptions } from './replica-scenario.js';

/** What such a day showed. */
export interface PartitionScenarioResult {
  readonly seed: number;
  readonly kept: number;
  /** Changes of the members while they were split. */
  readonly epochs: number;
  readonly violations: readonly string[];
}

const PARTITION_MILLISECONDS = 9_000;
const READ_TIMEOUT_MILLISECONDS = 150;
/** Reads of one turn after it was kept, and the pause between them, in milliseconds. */
const READ_COUNT = 3;
const READ_INTERVAL_MILLISECONDS = 20;

/** See the head of this file. */
class PartitionScenario extends ReplicaScenario {
  private readCount = 0;

  constructor(
    seed: number,
    options: ReplicaScenarioOptions,
    private readonly cutOffCount: number,
  ) {
    super(seed, 'split day', options);
  }

  run(): PartitionScenarioResult {
    this.startMachines();
    const members = this.replicas.recordedMembers();
    const cutOff = Array.from(
      { length: this.cutOffCount },
      () => members.splice(this.random.integer(0, members.length - 1), 1)[0]!,
    );
    const epoch = this.replicas.store.epoch;
    const others = this.names.filter((name) => !cutOff.includes(name));
    cutOff.forEach((left) => others.forEach((right) => this.replicas.cut(left, right)));
    cutOff.forEach((left) => this.replicas.cut(left, 'store'));
    this.wait(PARTITION_MILLISECONDS);
    const { seed, storedTurns, violations } = this;
    const epochs = this.replicas.store.epoch - epoch;
    return { seed, kept: storedTurns.length, epochs, violations };
  }

  protected override onTurnStored(id: string): void {
    for (let read = 0; read < READ_COUNT; read += 1) {
      this.clock.schedule(read * READ_INTERVAL_MILLISECONDS, () => this.read(id));
    }
  }

  private read(id: string): void {
    this.readCount += 1;
    const client = this.client(`reader-${this.readCount}`, `z${this.readCount % 4}`);
    client.readChain(id, READ_TIMEOUT_MILLISECONDS, (chain) => {
      if (chain.tag === 'missing') {
        this.violations.push(`${id} was kept and is denied`);
      }
    });
  }
}

/** Plays one day. */
export function runPartitionScenario(
  seed: number,
  options: ReplicaScenarioOptions,
  cutOffCount: number,
): PartitionScenarioResult {
  return new PartitionScenario(seed, options, cutOffCount).run();
}
