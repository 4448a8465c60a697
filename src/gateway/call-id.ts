/** Identifiers of calls; each contains the shard that stores the call, so that it can be looked up. */
import type { CallId, ProgramId, ShardId } from '../model/identifiers.js';
import { shardOfProgram } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';

const CALL_ID = /^c-(\d{1,5})-[0-9a-f]+$/;

/** Creates the identifier of a call of a program from a unique part. */
export function createCallId(map: ShardMap, program: ProgramId, unique: string): CallId {
  return `c-${shardOfProgram(map, program)}-${unique}`;
}

/** The shard in the identifier of a call; undefined if the identifier is invalid. */
export function shardOfCallId(map: ShardMap, call: CallId): ShardId | undefined {
  const shard = Number(CALL_ID.exec(call)?.[1] ?? Number.NaN);
  return shard < map.shardCount ? shard : undefined;
}
