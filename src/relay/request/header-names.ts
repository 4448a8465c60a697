/** Names of the headers that the relay reads and writes, provided by an adapter. */

/** Header names, all in lower case. */
export interface HeaderNames {
  /** Identifier of the client's request. */
  readonly requestId: string;
  /** Timeout of the client, in milliseconds. */
  readonly timeout: string;
  /** Affinity key of the object that the request is about. */
  readonly affinity: string;
  /** Parts of the prompt, `ID:TOKENS` separated by commas. */
  readonly promptParts: string;
  /** Tokens of the prompt and the maximum number of output tokens, `IN,OUT`. */
  readonly tokenUsage: string;
  /** Identifier of the last event that the client received of a broken stream. */
  readonly lastEventId: string;
  /** Identifier of the request whose answer brought the first event of the stream that the client resumes. */
  readonly resumes: string;
  /** The only runner that may run the request. */
  readonly expectedRunner: string;
  /** Identifier of the runner that answers a health check. */
  readonly runnerId: string;
  /** Rank of the request at the runner. */
  readonly priority: string;
  /** Signature of the runner's answer. */
  readonly signature: string;
  /** Marks the answer of a runner that has not run the request. */
  readonly notExecuted: string;
  readonly program: string;
  readonly session: string;
  /** Time until the program's deadline, in milliseconds. */
  readonly programDeadline: string;
  readonly tokenBudget: string;
  readonly previousTurn: string;
  /** API key of the client. */
  readonly key: string;
  /** Name of the tenant, sent to runners. */
  readonly tenant: string;
  /** Headers that are never forwarded from clients, since only the relay may set them. */
  readonly reserved: ReadonlySet<string>;
}
