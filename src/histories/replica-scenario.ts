/**
 * Base of scenarios with replicas in virtual time: machines that are added and removed, a writer that
 * stores turns throughout, and a final loss of all power. After that, service is checked each second, since
 * it may return and be lost again.
 */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import { SimulatedReplicas } from '../simulation/simulated-replicas.js';
import type { SimulatedReplicasOptions } from '../simulation/simulated-replicas.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import type { TurnClient } from '../turns/turn-client.js';
import { pickDistinct } from './pick-distinct.js';
import { emptiestZone } from './zone-spread.js';

/** Options of a scenario. */
export interface ReplicaScenarioOptions extends SimulatedReplicasOptions {
  /** Number of machines at the start. */
  readonly replicaCount: number;
  /** Number of members that the membership record shall name. */
  readonly wantedMembers: number;
  /** Number of disks that are lost at once. */
  readonly lossesAtOnce: number;
}

/** Time after which all machines have started and discovered one another. */
const STARTUP_MILLISECONDS = 8_000;
const TURN_INTERVAL_MILLISECONDS = 25;
const OPERATION_TIMEOUT_MILLISECONDS = 700;
const RETENTION_MILLISECONDS = 600_000;
/** Time for which machines without power are down. */
const DOWN_MILLISECONDS = 1_200;
/** Time after the return of power from which on service must be available. */
const RECOVERY_DEADLINE_MILLISECONDS = 5_000;
const CHECK_COUNT = 15;
const CHECK_INTERVAL_MILLISECONDS = 1_000;
const ZONE_COUNT = 4;

/** Machines, a writer of turns, faults and checks for a scenario. */
export abstract class ReplicaScenario {
  protected readonly clock = new VirtualClock();
  protected readonly random: RandomSource;
  protected readonly replicas: SimulatedReplicas;
  /** Names of the active machines: neither removed nor retired. */
  protected readonly names: string[] = [];
  private readonly zoneByName = new Map<string, string>();
  protected readonly storedTurns: string[] = [];
  protected readonly violations: string[] = [];
  /** Time after the return of power from which on all checks succeeded, in milliseconds. */
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

  /** Starts all machines and the writer of turns. */
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

  /** Waits for the delay, then adds an empty machine; returns its name. */
  protected addMachine(startDelayMilliseconds = 0): string {
    this.machineCount += 1;
    const name = `m${this.machineCount}`;
    this.wait(startDelayMilliseconds);
    const { spread } = this.options;
    const activeZones = new Map(this.names.map((each) => [each, this.zoneByName.get(each)!]));
    const zone =
      spread === undefined
        ? `z${this.machineCount % ZONE_COUNT}`
        : emptiestZone(spread, activeZones);
    this.names.push(name);
    this.zoneByName.set(name, zone);
    this.replicas.add(name, zone);
    return name;
  }

  /** Draws an active machine and removes it from the active ones. */
  protected removeRandomMachine(): string {
    return this.names.splice(this.random.integer(0, this.names.length - 1), 1)[0]!;
  }

  /** Draws the machines whose disks are lost at once: half of the time all in a zone, where one may be lost. */
  protected pickLostDisks(): string[] {
    const lost = pickDistinct(this.random, this.names, this.options.lossesAtOnce);
    if (this.options.spread === undefined || this.random.uniform() < 1 / 2) {
      return lost;
    }
    const zone = this.zoneByName.get(lost[0]!);
    return this.names.filter((name) => this.zoneByName.get(name) === zone);
  }

  /** Some machines lose power and their disks and return empty after a while. */
  protected loseDisks(): void {
    const lost = this.pickLostDisks();
    this.losePower(lost, lost);
  }

  /** All machines lose power and some their disks; the writer stops. */
  protected loseAllPower(): void {
    this.isStopped = true;
    this.losePower(this.names, this.pickLostDisks());
  }

  /**
   * Requests a reservation each second after the return of power. One that is not granted is a violation
   * from RECOVERY_DEADLINE_MILLISECONDS on.
   */
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

  /** Checks that every stored turn is found. */
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

  /** Creates a client that knows nothing but the members. */
  protected client(name: string, zone = 'z1'): TurnClient {
    const knownTo = this.replicas.activeNames()[0] ?? this.names[0]!;
    return this.replicas.client(name, zone, knownTo).client;
  }

  /** Called for each stored turn. */
  protected onTurnStored(_id: string): void {
    // Subclasses that check turns as soon as they are stored override this.
  }

  /** Stores turns one after another until the scenario stops. */
  private storeNextTurn(client: TurnClient): void {
    if (this.isStopped) {
      return;
    }
    this.turnCount += 1;
    const id = `t${this.turnCount}`;
    const bytes = Buffer.from(id);
    const turn = { id, previous: '', input: bytes, output: bytes };
    const turnToStore = { ...turn, retentionMilliseconds: RETENTION_MILLISECONDS };
    client.storeTurn(turnToStore, OPERATION_TIMEOUT_MILLISECONDS, (done) => {
      if (done) {
        this.storedTurns.push(id);
        this.onTurnStored(id);
      }
      this.clock.schedule(TURN_INTERVAL_MILLISECONDS, () => this.storeNextTurn(client));
    });
  }

  private losePower(unpowered: readonly string[], wiped: readonly string[]): void {
    unpowered.forEach((name) => this.replicas.kill(name));
    wiped.forEach((name) => this.replicas.wipe(name));
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
