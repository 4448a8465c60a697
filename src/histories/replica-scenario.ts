/**
 * What days of replicas in virtual time share: machines that come and go, turns that are kept all day long,
 * and a last loss of all power after which service is looked at each second, since it may come back and be
 * lost again.
 */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import { SimulatedReplicas } from '../simulation/simulated-replicas.js';
import type { SimulatedReplicasOptions } from '../simulation/simulated-replicas.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import type { TurnClient } from '../turns/turn-client.js';
import { pickDistinct } from './pick-distinct.js';

/** How a day is played. */
export interface ReplicaScenarioOptions extends SimulatedReplicasOptions {
  /** Machines to begin with. */
  readonly replicaCount: number;
  /** Members that the record is to name. */
  readonly wantedMembers: number;
  /** Disks that are lost at once. */
  readonly lossesAtOnce: number;
}

/** Time in which all machines have started and found one another, in milliseconds. */
const STARTUP_MILLISECONDS = 8_000;
const TURN_INTERVAL_MILLISECONDS = 25;
const OPERATION_TIMEOUT_MILLISECONDS = 700;
const RETENTION_MILLISECONDS = 600_000;
/** Time for which machines without power are down, in milliseconds. */
const DOWN_MILLISECONDS = 1_200;
/** Time from the return of power from which on service is owed, and for which it is looked at. */
const RECOVERY_DEADLINE_MILLISECONDS = 5_000;
const CHECK_COUNT = 15;
const CHECK_INTERVAL_MILLISECONDS = 1_000;
/** Zones over which machines are spread. */
const ZONE_COUNT = 4;

/** See the head of this file. */
export abstract class ReplicaScenario {
  protected readonly clock = new VirtualClock();
  protected readonly random: RandomSource;
  protected readonly replicas: SimulatedReplicas;
  /** Machines that count: those that are not gone, nor emptied. */
  protected readonly names: string[] = [];
  protected readonly storedTurns: string[] = [];
  protected readonly violations: string[] = [];
  protected servedAfter = 0;
  private machineCount = 0;
  private turnCount = 0;
  private isStopped = false;

  constructor(
    protected readonly seed: number,
    kind: string,
    protected readonly options: ReplicaScenarioOptions,
  ) {
    this.random = createRandom(seed, kind);
    this.replicas = new SimulatedReplicas(this.clock, createRandom(seed, 'links'), options);
  }

  /** Starts all machines, and the writer of turns. */
  protected startMachines(): void {
    for (let index = 0; index < this.options.replicaCount; index += 1) {
      this.addMachine();
    }
    this.wait(STARTUP_MILLISECONDS);
    this.storeNextTurn(this.client('writer'));
  }

  protected wait(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  /** Adds an empty machine; its process runs after a pause. */
  protected addMachine(startDelayMilliseconds = 0): string {
    this.machineCount += 1;
    const name = `m${this.machineCount}`;
    this.wait(startDelayMilliseconds);
    this.names.push(name);
    this.replicas.add(name, `z${this.machineCount % ZONE_COUNT}`);
    return name;
  }

  /** Draws a machine that counts, and lets it count no longer. */
  protected removeRandomMachine(): string {
    return this.names.splice(this.random.integer(0, this.names.length - 1), 1)[0]!;
  }

  protected pickLostDisks(): string[] {
    return pickDistinct(this.random, this.names, this.options.lossesAtOnce);
  }

  /** Some machines lose their disks, and are back after a while. */
  protected loseDisks(): void {
    const lost = this.pickLostDisks();
    this.losePower(lost, lost);
  }

  /** All machines lose power, and some their disks; no more turns are kept. */
  protected loseAllPower(): void {
    this.isStopped = true;
    this.losePower(this.names, this.pickLostDisks());
  }

  /** Looks at service each second from the return of power on. */
  protected checkRecovery(): void {
    const from = this.clock.now;
    for (let check = 1; check <= CHECK_COUNT; check += 1) {
      this.clock.runUntil(from + check * CHECK_INTERVAL_MILLISECONDS);
      const client = this.client(`look-${check}`);
      const at = this.clock.now - from;
      const request = { program: `p${check}`, turn: `r${check}`, mostTokens: 1, budgetTokens: 1 };
      client.reserve(request, OPERATION_TIMEOUT_MILLISECONDS, (outcome) => {
        if (outcome !== 'granted') {
          this.recordUnavailable(at, outcome);
        }
      });
    }
    this.wait(OPERATION_TIMEOUT_MILLISECONDS);
  }

  /** Whether every turn that was kept is found. */
  protected checkTurns(): void {
    const client = this.client('reader');
    for (const id of this.storedTurns) {
      client.readChain(id, OPERATION_TIMEOUT_MILLISECONDS, (chain) => {
        if (chain.tag !== 'found') {
          this.violations.push(`${id} was kept and is ${chain.tag}`);
        }
      });
    }
    this.wait(2 * OPERATION_TIMEOUT_MILLISECONDS);
  }

  /** A gateway that knows nothing but the members. */
  protected client(name: string, zone = 'z1'): TurnClient {
    const knownTo = this.replicas.activeNames()[0] ?? this.names[0]!;
    return this.replicas.client(name, zone, knownTo).client;
  }

  /** Told each turn that was kept. */
  protected onTurnStored(_id: string): void {
    // Days that look at turns as they are kept do so here.
  }

  /** Turns are kept all day long, one after another. */
  private storeNextTurn(client: TurnClient): void {
    if (this.isStopped) {
      return;
    }
    this.turnCount += 1;
    const id = `t${this.turnCount}`;
    const bytes = Buffer.from(id);
    const turn = { id, previous: '', input: bytes, output: bytes };
    const kept = { ...turn, retentionMilliseconds: RETENTION_MILLISECONDS };
    client.storeTurn(kept, OPERATION_TIMEOUT_MILLISECONDS, (done) => {
      if (done) {
        this.storedTurns.push(id);
        this.onTurnStored(id);
      }
      this.clock.schedule(TURN_INTERVAL_MILLISECONDS, () => this.storeNextTurn(client));
    });
  }

  private losePower(unpowered: readonly string[], lost: readonly string[]): void {
    unpowered.forEach((name) => this.replicas.kill(name));
    lost.forEach((name) => this.replicas.wipe(name));
    this.wait(DOWN_MILLISECONDS);
    unpowered.forEach((name) => this.replicas.start(name));
  }

  private recordUnavailable(at: number, outcome: string): void {
    this.servedAfter = at + CHECK_INTERVAL_MILLISECONDS;
    if (at >= RECOVERY_DEADLINE_MILLISECONDS) {
      this.violations.push(`a reservation is ${outcome} ${at} ms after the return of power`);
    }
  }
}
