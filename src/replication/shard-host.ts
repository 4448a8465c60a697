/** The part of a shard that the roles above it use: its state, its leadership and its log. */
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

/** Everything a shard host is made with. */
export interface ShardHostOptions {
  readonly shard: ShardId;
  readonly self: NodeId;
  readonly runtime: Runtime;
  readonly storage: ReplicaStorage;
  readonly persisted: PersistedReplica;
  readonly send: (to: NodeId, message: Message) => void;
  readonly onLeadership: (leading: boolean) => void;
}

/** One replica with its state. */
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

  /** The state as applied here; proven current only while `canServe`. */
  get state(): ShardState {
    return this.current;
  }

  /** Term of the replica. */
  get term(): number {
    return this.replica.currentTerm;
  }

  /** The node believed to lead. */
  get leaderHint(): NodeId {
    return this.replica.leaderHint;
  }

  /** What this replica is. */
  get role(): ReplicaRole {
    return this.replica.currentRole;
  }

  /** Newest committed index known here. */
  get committedIndex(): number {
    return this.replica.committedIndex;
  }

  /** True when this node provably leads the shard now. */
  canServe(): boolean {
    return this.replica.canServe();
  }

  /** Proposes a command. */
  propose(command: Command, listener: ProposalListener<CommandOutcome>): void {
    this.replica.propose(command, listener);
  }

  /** Drives elections and heartbeats. */
  tick(): void {
    this.replica.tick();
  }

  /** Handles a replica's message. */
  receive(from: NodeId, message: ReplicationMessage): void {
    this.replica.receive(from, message);
  }

  /** Hands leadership over and does not take it again. */
  transferLeadership(): boolean {
    this.replica.disableCandidacy();
    return this.replica.transferLeadership();
  }

  /** Ends all activity. */
  stop(): void {
    this.replica.stop();
  }
}
