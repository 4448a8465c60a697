/** Errors of calls: a tagged union, each carrying a verdict on whether the request may have run. */

/** Whether the refused or failed request may have reached a back end. */
export type Verdict = 'NotRun' | 'MayHaveRun' | 'Ran';

/** Every reason for which a call or a command can end without its answer. */
export type CallErrorTag =
  | 'Malformed'
  | 'Unauthorised'
  | 'Forbidden'
  | 'NotFound'
  | 'Conflict'
  | 'TooLarge'
  | 'LimitReached'
  | 'BudgetSpent'
  | 'Overloaded'
  | 'Unavailable'
  | 'BackEndFailed'
  | 'DeadlinePassed'
  | 'Stopped';

/** A call's failure, as callers and checkers see it. */
export interface CallError {
  readonly tag: CallErrorTag;
  readonly verdict: Verdict;
  /** One sentence for people: what happened and what to do. */
  readonly detail: string;
  /** Seconds after which a new try makes sense; 0 when none does. */
  readonly retryAfterSeconds: number;
}

/** Every tag, in the order of the wire format; append only. */
export const CALL_ERROR_TAGS: readonly CallErrorTag[] = [
  'Malformed',
  'Unauthorised',
  'Forbidden',
  'NotFound',
  'Conflict',
  'TooLarge',
  'LimitReached',
  'BudgetSpent',
  'Overloaded',
  'Unavailable',
  'BackEndFailed',
  'DeadlinePassed',
  'Stopped',
];

/** Every verdict, in the order of the wire format; append only. */
export const VERDICTS: readonly Verdict[] = ['NotRun', 'MayHaveRun', 'Ran'];

const HTTP_STATUS: Readonly<Record<CallErrorTag, number>> = {
  Malformed: 422,
  Unauthorised: 401,
  Forbidden: 403,
  NotFound: 404,
  Conflict: 409,
  TooLarge: 413,
  LimitReached: 429,
  BudgetSpent: 429,
  Overloaded: 429,
  Unavailable: 503,
  BackEndFailed: 502,
  DeadlinePassed: 504,
  Stopped: 409,
};

/** HTTP status of an error, by its tag. */
export function httpStatusOf(error: CallError): number {
  return HTTP_STATUS[error.tag];
}

/** A refusal of something that provably never reached a back end. */
export function notRun(tag: CallErrorTag, detail: string, retryAfterSeconds = 0): CallError {
  return { tag, verdict: 'NotRun', detail, retryAfterSeconds };
}

/** A failure after which nobody can tell whether the request ran. */
export function mayHaveRun(tag: CallErrorTag, detail: string): CallError {
  return { tag, verdict: 'MayHaveRun', detail, retryAfterSeconds: 0 };
}
