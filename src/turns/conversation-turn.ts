/** A turn that is kept so that later ones can go on from it. */

/** Written once under the id of its request, never changed. */
export interface ConversationTurn {
  /** Request id of the turn. */
  readonly id: string;
  /** Turn that it went on from; empty at the start of a line. */
  readonly previous: string;
  /** What the client sent: the new input only. */
  readonly input: Buffer;
  /** The data of each event of the answer with a line feed behind. */
  readonly output: Buffer;
  /** How long it and the turns before it are kept from its end on, in milliseconds. */
  readonly retentionMilliseconds: number;
}
