/** Names by which the system's parts refer to one another. Every one is opaque text or a number. */

/** One running process of the daemon; a restarted diskless process takes a new one. */
export type NodeId = string;
/** Failure domain of a machine, such as `hall-erie`. */
export type ZoneName = string;
/** Index of a replicated log inside a region, `0 <= shard < shardCount`. */
export type ShardId = number;
/** A chain of dependent calls, named by its caller or by the system. */
export type ProgramId = string;
/** One call, unique in the whole system. */
export type CallId = string;
/** An accounting group: the owner of a share and a budget. */
export type GroupName = string;
/** A set of interchangeable back ends: one model, or one tool. */
export type ServiceName = string;
/** One back end: a model engine or one runner of a tool service. */
export type EngineId = string;
