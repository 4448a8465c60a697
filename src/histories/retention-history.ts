/**
 * Simulates one seeded history of turns that take long, come late, branch, and have different retention times, while replicas are
 * killed, wiped, paused and out of memory one at a time. Once a turn is stored, a majority of the members must hold it with all its
 * predecessors until its retention time is over.
 */
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import { SimulatedReplicas } from '../simulation/simulated-replicas.js';
import { VirtualClock } from '../simulation/virtual-clock.js';
import type { TurnClient } from '../turns/turn-client.js';

/** Result of a retention history. */
export interface RetentionHistoryResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Number of turns that were stored. */
  readonly stored: number;
  /** Number of stored turns during which the retention time of their predecessor ended. */
  readonly outlasting: number;
}

/** A turn that was stored. */
interface StoredTurn {
  readonly id: string;
  readonly body: string;
  /** Virtual time until which the turn is retained, in milliseconds. */
  readonly retainedUntil: number;
}

const STARTUP_MILLISECONDS = 6_000;
const HISTORY_MILLISECONDS = 240_000;
/** Virtual time after which a replica must be complete again. */
const RECOVERY_MILLISECONDS = 8_000;
const CHECK_INTERVAL_MILLISECONDS = 1_000;
const FAULT_INTERVAL_MILLISECONDS = 30_000;
const CONVERSATION_COUNT = 4;
const OPERATION_TIMEOUT_MILLISECONDS = 1_500;
const RETENTION_CHOICES_MILLISECONDS = [3_000, 8_000, 20_000, 60_000];
const LONGEST_TURN_MILLISECONDS = 60_000;
/** Share of turns that continue the newest turn of their conversation; the others continue any that is retained. */
const NEWEST_SHARE = 0.7;
const FAULTS = ['kill', 'wipe', 'pause', 'memory'] as const;

/** Runs conversations against simulated replicas and checks what the members hold. */
class RetentionHistory {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly replicas: SimulatedReplicas;
  private readonly names: string[];
  private clients: TurnClient[] = [];
  private readonly violations: string[] = [];
  private stored: StoredTurn[] = [];
  private storedCount = 0;
  private outlastingCount = 0;
  private turnCount = 0;
  /** Virtual time from which all members must be complete. */
  private completeFrom = 0;

  constructor(private readonly seed: number) {
    this.random = createRandom(seed, 'retention history');
    this.replicas = new SimulatedReplicas(this.clock, createRandom(seed, 'links'));
    this.names = Array.from({ length: this.random.pick([3, 5]) }, (_, index) => `m${index}`);
  }

  run(): RetentionHistoryResult {
    this.names.forEach((name) => this.replicas.add(name, name));
    this.wait(STARTUP_MILLISECONDS);
    this.clients = ['g1', 'g2', 'g3'].map((name) => this.newClient(name));
    for (let index = 0; index < CONVERSATION_COUNT; index += 1) {
      this.nextTurn([]);
    }
    this.check();
    const end = this.clock.now + HISTORY_MILLISECONDS;
    while (this.clock.now < end) {
      this.wait(this.random.integer(RECOVERY_MILLISECONDS, FAULT_INTERVAL_MILLISECONDS));
      this.injectFault();
    }
    return {
      seed: this.seed,
      violations: this.violations,
      stored: this.storedCount,
      outlasting: this.outlastingCount,
    };
  }

  private wait(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }

  private newClient(name: string): TurnClient {
    const knownTo = this.replicas.activeNames()[0] ?? this.names[0]!;
    return this.replicas.client(name, this.names[0]!, knownTo).client;
  }

  private get isDisturbed(): boolean {
    return this.clock.now < this.completeFrom;
  }

  /** Continues a conversation, at a time at which the turn that it continues is retained. */
  private nextTurn(conversation: readonly StoredTurn[]): void {
    const { clock, random } = this;
    const retained = conversation.filter(({ retainedUntil }) => retainedUntil > clock.now);
    const isNewest = random.uniform() < NEWEST_SHARE;
    const previous = isNewest || retained.length === 0 ? retained.at(-1) : random.pick(retained);
    const latest = previous === undefined ? 1_000 : previous.retainedUntil - clock.now - 1;
    clock.schedule(random.integer(0, Math.floor(latest)), () => {
      if (previous === undefined) {
        this.runTurn(conversation, undefined, random.pick(this.clients));
      } else {
        this.readThenRun(conversation, previous);
      }
    });
  }

  private readThenRun(conversation: readonly StoredTurn[], previous: StoredTurn): void {
    const client = this.random.pick(this.clients);
    client.readChain(previous.id, OPERATION_TIMEOUT_MILLISECONDS, (chain) => {
      if (chain.tag === 'found' && chain.body.toString() === previous.body) {
        this.runTurn(conversation, previous, client);
        return;
      }
      if (chain.tag !== 'unsure' || !this.isDisturbed) {
        this.violations.push(`${previous.id} is retained, and reading it gives ${chain.tag}`);
      }
      this.nextTurn(conversation);
    });
  }

  private runTurn(
    conversation: readonly StoredTurn[],
    previous: StoredTurn | undefined,
    client: TurnClient,
  ): void {
    const { clock, random } = this;
    this.turnCount += 1;
    const id = `t${this.turnCount}`;
    const input = `in ${id};`;
    const output = `out ${id};`;
    const retentionMilliseconds = random.pick(RETENTION_CHOICES_MILLISECONDS);
    const turn = {
      id,
      previous: previous?.id ?? '',
      input: Buffer.from(input),
      output: Buffer.from(output),
      retentionMilliseconds,
    };
    clock.schedule(random.integer(100, LONGEST_TURN_MILLISECONDS), () => {
      const prompt = (previous?.body ?? '') + input;
      const handleStored = (isStored: boolean): void => {
        if (!isStored) {
          if (!this.isDisturbed) {
            this.violations.push(`${id} was not stored`);
          }
          this.nextTurn(conversation);
          return;
        }
        const body = prompt + output;
        const retainedUntil = clock.now + retentionMilliseconds;
        const storedTurn = { id, body, retainedUntil };
        this.stored.push(storedTurn);
        this.storedCount += 1;
        this.outlastingCount += (previous?.retainedUntil ?? Infinity) < clock.now ? 1 : 0;
        this.nextTurn([...conversation, storedTurn]);
      };
      client.storeTurn(turn, OPERATION_TIMEOUT_MILLISECONDS, handleStored, Buffer.from(prompt));
    });
  }

  /** Checks at an interval that a majority of the members holds each retained turn with its predecessors. */
  private check(): void {
    const { clock, replicas } = this;
    this.stored = this.stored.filter(({ retainedUntil }) => retainedUntil > clock.now);
    if (!this.isDisturbed) {
      const members = replicas.recordedMembers();
      for (const { id, body } of this.stored) {
        const holders = members.filter((name) => replicas.chainAt(name, id) === body);
        if (holders.length <= members.length / 2) {
          this.violations.push(`${id} is retained whole by ${holders.length} of ${members.length}`);
        }
      }
    }
    clock.schedule(CHECK_INTERVAL_MILLISECONDS, () => this.check());
  }

  private injectFault(): void {
    const { replicas, random } = this;
    const name = random.pick(this.names);
    const fault = random.pick(FAULTS);
    const pause = random.integer(200, 3_000);
    this.completeFrom = Infinity;
    if (fault === 'pause') {
      replicas.pause(name);
      this.wait(pause);
      replicas.resume(name);
    } else if (fault === 'memory') {
      replicas.useUpMemory(name, true);
      this.wait(pause);
      replicas.useUpMemory(name, false);
    } else {
      replicas.kill(name);
      if (fault === 'wipe') {
        replicas.wipe(name);
      }
      this.wait(pause);
      replicas.start(name);
    }
    this.completeFrom = this.clock.now + RECOVERY_MILLISECONDS;
  }
}

/** Runs the retention history of a seed. */
export function runRetentionHistory(seed: number): RetentionHistoryResult {
  return new RetentionHistory(seed).run();
}
