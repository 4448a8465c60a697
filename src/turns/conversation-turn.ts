/** One turn of a conversation, stored so that later turns can continue from it. */

/** An immutable turn, identified by the id of its request. */
export interface ConversationTurn {
  /** Request id of the turn. */
  readonly id: string;
  /** Id of the turn that this one continues; empty for the first turn of a conversation. */
  readonly previous: string;
  /** The input that the client sent with this turn, without that of earlier turns. */
  readonly input: Buffer;
  /** The data of each event of the answer, each followed by a line feed. */
  readonly output: Buffer;
  /** How long this turn and its predecessors are retained after the turn ends, in milliseconds. */
  readonly retentionMilliseconds: number;
}

/**
 * Returns the same turn with the chain of its predecessors as part of its input, so that it needs none of them.
 * @param prompt the chain of the predecessors, followed by the input of the turn
 */
export function withoutPredecessors(turn: ConversationTurn, prompt: Buffer): ConversationTurn {
  return { ...turn, previous: '', input: prompt };
}
