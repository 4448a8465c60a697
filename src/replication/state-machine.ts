/** The state machine above a replicated log. */
import type { Command } from '../program/commands.js';

/** See the head of this file. Every call happens in the order of the log. */
export interface ReplicaStateMachine<Outcome> {
  /** Applies one committed command; must depend on nothing else. */
  apply(command: Command): Outcome;
  /** Serializes the whole state. */
  save(): string;
  /** Replaces the whole state; an empty text is the initial state. */
  restore(state: string): void;
}
