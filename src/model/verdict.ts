/** Errors of calls. Each has a tag and a verdict that says whether the request may have run. */

/** Whether a refused or failed request may have reached a back end. */
export type Verdict = 'NotRun' | 'MayHaveRun' | 'Ran';

/** Reasons for which a call or a command ends without an answer. */
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

/** The failure of a call or a command. */
export interface CallError {
  readonly tag: CallErrorTag;
  readonly verdict: Verdict;
  /** Human-readable sentence: what happened and what to do. */
  readonly detail: string;
  /** Seconds after which to retry; 0 when a retry is pointless. */
  readonly retryAfterSeconds: number;
}

/** All tags in the order of the wire format; append only. */
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

/** All verdicts in the order of the wire format; append only. */
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

/** HTTP status with which an error is reported. */
export function httpStatusOf(error: CallError): number {
  return HTTP_STATUS[error.tag];
}

/** Creates an error for a request that certainly did not reach a back end. */
export function notRun(tag: CallErrorTag, detail: string, retryAfterSeconds = 0): CallError {
  return { tag, verdict: 'NotRun', detail, retryAfterSeconds };
}

/** Creates an error for a request of which it is unknown whether it ran. */
export function mayHaveRun(tag: CallErrorTag, detail: string): CallError {
  return { tag, verdict: 'MayHaveRun', detail, retryAfterSeconds: 0 };
}
