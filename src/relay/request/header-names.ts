/** Names of the headers that the relay reads and writes; an adapter gives them. */

/** All names in lower case. */
export interface HeaderNames {
  /** Identifier of the client's request. */
  readonly requestId: string;
  /** Milliseconds the client will wait. */
  readonly timeout: string;
  /** Key of the object a request is about. */
  readonly affinity: string;
  /** Parts of the prompt, `ID:TOKENS` split by commas. */
  readonly promptParts: string;
  /** Tokens of the prompt and the most tokens out, `IN,OUT`. */
  readonly tokenUsage: string;
  /** Last event that the client has of a broken stream. */
  readonly lastEventId: string;
  /** Runner that alone may run the request. */
  readonly expectedRunner: string;
  /** Rank of the request at the runner. */
  readonly priority: string;
  /** Signature of the runner's answer. */
  readonly signature: string;
  /** Tells that a runner has not run the request. */
  readonly notExecuted: string;
  readonly program: string;
  readonly session: string;
  /** Milliseconds until the program should be over. */
  readonly programDeadline: string;
  readonly tokenBudget: string;
  readonly previousTurn: string;
  /** Key by which a client shows whose its requests are. */
  readonly key: string;
  /** Name of the tenant, told to runners. */
  readonly tenant: string;
  /** Headers of clients that are never passed on, since only the relay may set them. */
  readonly reserved: ReadonlySet<string>;
}
