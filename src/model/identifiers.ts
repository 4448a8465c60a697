/** Identifiers of nodes, programs, calls and engines; all are opaque strings or numbers. */

/** A node: one process of the daemon. A diskless process takes a new name when it restarts. */
export type NodeId = string;
/** Failure domain of a machine, such as `hall-erie`. */
export type ZoneName = string;
/** Index of a replicated log within a region, `0 <= shard < shardCount`. */
export type ShardId = number;
/** A program: a chain of dependent calls, named by its caller or by the system. */
export type ProgramId = string;
/** A call; unique in the whole system. */
export type CallId = string;
/** An accounting group: the owner of a share and a budget. */
export type GroupName = string;
/** A set of interchangeable back ends: one model, or one tool. */
export type ServiceName = string;
/** A back end: a model engine or a runner of a tool service. */
export type EngineId = string;
