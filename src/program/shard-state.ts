/** The replicated state of a shard and its serialization in snapshots. */
import type { CallId, ProgramId, ShardId } from '../model/identifiers.js';
import type { HolderState, LedgerTable, SliceState, SliceTable } from '../budget/slices.js';
import type { CallRecord, ProgramRecord } from './program-record.js';

/** The state of a shard after applying its log. */
export interface ShardState {
  readonly programs: Map<ProgramId, ProgramRecord>;
  /** Locations of all recorded calls by call id. */
  readonly callIndex: Map<CallId, CallLocation>;
  readonly slices: SliceTable;
  readonly ledgers: LedgerTable;
}

/** Program and sequence under which a call is recorded. */
export interface CallLocation {
  readonly program: ProgramId;
  readonly sequence: number;
}

interface SerializedProgram extends Omit<ProgramRecord, 'calls'> {
  readonly calls: readonly CallRecord[];
}

interface SerializedLedger {
  readonly group: string;
  readonly outstanding: number;
  readonly holders: readonly (readonly [ShardId, HolderState])[];
}

interface SerializedShard {
  readonly programs: readonly SerializedProgram[];
  readonly slices: readonly (readonly [string, SliceState])[];
  readonly ledgers: readonly SerializedLedger[];
}

/** Returns the state before the first command. */
export function emptyShardState(): ShardState {
  return { programs: new Map(), callIndex: new Map(), slices: new Map(), ledgers: new Map() };
}

/** Serializes a shard's state as JSON. */
export function serializeShard(state: ShardState): string {
  const serialized: SerializedShard = {
    programs: [...state.programs.values()].map((program) => ({
      ...program,
      calls: [...program.calls.values()],
    })),
    slices: [...state.slices],
    ledgers: [...state.ledgers].map(([group, ledger]) => ({
      group,
      outstanding: ledger.outstanding,
      holders: [...ledger.holders],
    })),
  };
  return JSON.stringify(serialized);
}

/** Parses the output of `serializeShard`; an empty text yields the empty state. */
export function deserializeShard(text: string): ShardState {
  const state = emptyShardState();
  if (text === '') {
    return state;
  }
  const serialized = JSON.parse(text) as SerializedShard;
  for (const program of serialized.programs) {
    const calls = new Map(program.calls.map((record) => [record.sequence, record]));
    state.programs.set(program.program, { ...program, calls });
    for (const record of calls.values()) {
      state.callIndex.set(record.call, { program: program.program, sequence: record.sequence });
    }
  }
  for (const [group, slice] of serialized.slices) {
    state.slices.set(group, { ...slice });
  }
  for (const ledger of serialized.ledgers) {
    state.ledgers.set(ledger.group, {
      outstanding: ledger.outstanding,
      holders: new Map(ledger.holders),
    });
  }
  return state;
}
