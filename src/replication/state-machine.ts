/** Interface of the state machine that a replicated log drives. */
import type { Command } from '../program/commands.js';

/** State machine of one replica; its methods are called in log order. */
export interface ReplicaStateMachine<Outcome> {
  /** Applies one committed command; the result may depend only on the state and the command. */
  apply(command: Command): Outcome;
  /** Serializes the whole state. */
  save(): string;
  /** Replaces the whole state; an empty string stands for the initial state. */
  restore(state: string): void;
}
