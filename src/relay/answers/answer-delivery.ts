/** How an answer was framed and how its connection ended, for logs and metrics. */
import type { AnswerFraming } from '../../http-client/answer-end.js';

/** What became of the connection by the time that the answer was over. */
export type ConnectionEnding =
  /** It was still open. */
  | 'open'
  /** The runner ended it in order. */
  | 'end'
  /** It was reset or failed in another way, or this gateway closed it. */
  | 'closed';

/** Framing of an answer and ending of its connection. */
export interface AnswerDelivery {
  readonly framing: AnswerFraming;
  readonly ending: ConnectionEnding;
}
