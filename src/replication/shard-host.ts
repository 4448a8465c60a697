/** One replica of a shard with the state machine that applies its log to the shard state. */
import type { NodeId, ShardId } from '../model/identifiers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Message, ReplicationMessage } from '../wire/messages.js';
import { applyCommand } from '../program/apply-command.js';
import type { CommandOutcome } from '../program/apply-command.js';
import type { Command } from '../program/commands.js';
import { deserializeShard, emptyShardState, serializeShard } from '../program/shard-state.js';
import type { ShardState } from '../program/shard-state.js';
import type { PersistedReplica, ReplicaStorage } from './log-entry.js';
import { RaftReplica } from './raft-replica.js';
import type { ReplicaRole } from './raft-replica.js';
import type { ProposalListener } from './proposals.js';

/** Identity, dependencies and initial state of a shard host. */
export interface ShardHostOptions {
  readonly shard: ShardId;
  readonly self: NodeId;
  readonly runtime: Runtime;
  readonly storage: ReplicaStorage;
  readonly persisted: PersistedReplica;
  readonly send: (to: NodeId, message: Message) => void;
  readonly onLeadership: (leading: boolean) => void;
}

/** Gives a shard's roles access to its state, its leadership and its log. */
export class ShardHost {
  readonly shard: ShardId;
  private current: ShardState = emptyShardState();
  private readonly replica: RaftReplica<CommandOutcome>;

  constructor(options: ShardHostOptions) {
    this.shard = options.shard;
    this.replica = new RaftReplica<CommandOutcome>({
      ...options,
      stateMachine: {
        apply: (command) => applyCommand(this.current, command),
        save: () => serializeShard(this.current),
        restore: (text) => {
          this.current = deserializeShard(text);
        },
      },
    });
  }

  /** State after the entries applied so far; certain to be current only while `canServe()` is true. */
  get state(): ShardState {
    return this.current;
  }

  /** Current term of the replica. */
  get term(): number {
    return this.replica.currentTerm;
  }

  /** The node believed to lead the shard; empty when unknown. */
  get leaderHint(): NodeId {
    return this.replica.leaderHint;
  }

  /** Current role of the replica. */
  get role(): ReplicaRole {
    return this.replica.currentRole;
  }

  /** Highest index that the replica knows to be committed. */
  get committedIndex(): number {
    return this.replica.committedIndex;
  }

  /** True when this node is certain to lead the shard. */
  canServe(): boolean {
    return this.replica.canServe();
  }

  /** Proposes a command; the listener is called exactly once. */
  propose(command: Command, listener: ProposalListener<CommandOutcome>): void {
    this.replica.propose(command, listener);
  }

  /** Drives elections and heartbeats; must be called several times per heartbeat interval. */
  tick(): void {
    this.replica.tick();
  }

  /** Handles a message from another replica of this shard. */
  receive(from: NodeId, message: ReplicationMessage): void {
    this.replica.receive(from, message);
  }

  /** Transfers leadership and keeps this replica from becoming a candidate again. */
  transferLeadership(): boolean {
    this.replica.disableCandidacy();
    return this.replica.transferLeadership();
  }

  /** Stops all activity and reports pending proposals as `unknown`. */
  stop(): void {
    this.replica.stop();
  }
}
