/**
 * Scenario in which some members are partitioned from the others while gateways reach all of them: both
 * sides serve for some seconds, until the smaller one is removed from the membership. A gateway that does not
 * know a turn reads it as soon as it was stored: no reply may say that the turn does not exist.
 */
import { ReplicaScenario } from './replica-scenario.js';
import type { ReplicaScenarioOptions } from './replica-scenario.js';

/** Result of a partition scenario. */
export interface PartitionScenarioResult {
  readonly seed: number;
  /** Number of turns whose storage was acknowledged. */
  readonly kept: number;
  /** Changes of the membership during the partition. */
  readonly epochs: number;
  readonly violations: readonly string[];
}

const PARTITION_MILLISECONDS = 9_000;
const READ_TIMEOUT_MILLISECONDS = 150;
/** Number of reads of each turn after it was stored. */
const READ_COUNT = 3;
const READ_INTERVAL_MILLISECONDS = 20;

/** Partitions the members and reads each turn as it is stored. */
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

/** Runs the scenario of a seed with `cutOffCount` members partitioned from the others. */
export function runPartitionScenario(
  seed: number,
  options: ReplicaScenarioOptions,
  cutOffCount: number,
): PartitionScenarioResult {
  return new PartitionScenario(seed, options, cutOffCount).run();
}
