/** Names of calls: each tells the shard that keeps the call, so that its answer can be found. */
import type { CallId, ProgramId, ShardId } from '../model/identifiers.js';
import { shardOfProgram } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';

const CALL_ID = /^c-(\d{1,5})-[0-9a-f]+$/;

/** Makes the name of a call from a unique part. */
export function createCallId(map: ShardMap, program: ProgramId, unique: string): CallId {
  return `c-${shardOfProgram(map, program)}-${unique}`;
}

/** The shard a call's name tells of; undefined when it is not one of ours. */
export function shardOfCallId(map: ShardMap, call: CallId): ShardId | undefined {
  const shard = Number(CALL_ID.exec(call)?.[1] ?? Number.NaN);
  return shard < map.shardCount ? shard : undefined;
}
