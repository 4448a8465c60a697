/**
 * Budgets by escrow: a ledger shard grants slices of a group's budget to program shards, which
 * reserve from them. Both sides are replicated, so no slice is lost with a process; grants and
 * returns carry numbers, so that a repeated message changes nothing.
 */
import type { GroupName, ShardId } from '../model/identifiers.js';

/** A program shard's part of one group's budget. All amounts in tokens. */
export interface SliceState {
  /** Granted and neither spent nor reserved nor returned. */
  available: number;
  /** Set aside for calls under way. */
  reserved: number;
  /** Used by calls that have ended. */
  spent: number;
  /** Number of the newest slice asked for. */
  requestNumber: number;
  /** Amount asked for under that number; 0 when it has been answered. */
  requestAmount: number;
  /** Granted amount of the newest answer; 0 tells that the budget is used up. */
  lastGranted: number;
  /** Number of the newest return. */
  returnNumber: number;
  /** Amount on its way back to the ledger; 0 when settled. */
  returnAmount: number;
}

/** What a ledger remembers of one holder of slices. */
export interface HolderState {
  grantNumber: number;
  lastGranted: number;
  returnNumber: number;
}

/** A ledger shard's account of one group, in tokens. */
export interface LedgerState {
  /** Sum of all grants less all returns; never above the budget. */
  outstanding: number;
  readonly holders: Map<ShardId, HolderState>;
}

/** A slice nobody has asked for yet. */
export function emptySlice(): SliceState {
  return {
    available: 0,
    reserved: 0,
    spent: 0,
    requestNumber: 0,
    requestAmount: 0,
    lastGranted: 0,
    returnNumber: 0,
    returnAmount: 0,
  };
}

/** An account without grants. */
export function emptyLedger(): LedgerState {
  return { outstanding: 0, holders: new Map() };
}

function holderOf(ledger: LedgerState, holder: ShardId): HolderState {
  let state = ledger.holders.get(holder);
  if (state === undefined) {
    state = { grantNumber: 0, lastGranted: 0, returnNumber: 0 };
    ledger.holders.set(holder, state);
  }
  return state;
}

/** Grants slice `number` to a holder; a repeat returns what was granted the first time. */
export function grantSlice(
  ledger: LedgerState,
  holder: ShardId,
  number: number,
  amount: number,
  budget: number,
): number {
  const state = holderOf(ledger, holder);
  if (number <= state.grantNumber) {
    return number === state.grantNumber ? state.lastGranted : 0;
  }
  const unallocated = Math.max(0, budget - ledger.outstanding);
  const granted = Math.min(amount, unallocated);
  state.grantNumber = number;
  state.lastGranted = granted;
  ledger.outstanding += granted;
  return granted;
}

/** Books return `number` of a holder, once. */
export function bookReturn(
  ledger: LedgerState,
  holder: ShardId,
  number: number,
  amount: number,
): void {
  const state = holderOf(ledger, holder);
  if (number <= state.returnNumber) {
    return;
  }
  state.returnNumber = number;
  ledger.outstanding -= amount;
}

/** Reserves a call's worst cost; false when the slice does not hold it. */
export function reserveTokens(slice: SliceState, amount: number): boolean {
  if (slice.available < amount) {
    return false;
  }
  slice.available -= amount;
  slice.reserved += amount;
  return true;
}

/** Ends a reservation: what was used is spent, the rest is available again. */
export function settleReservation(slice: SliceState, reserved: number, used: number): void {
  const spent = Math.min(reserved, used);
  slice.reserved -= reserved;
  slice.spent += spent;
  slice.available += reserved - spent;
}

/** Least tokens asked for at once, so that small calls do not each need a grant. */
export const MINIMUM_SLICE_TOKENS = 20_000;
/** Part of the budget one shard may ask for at once. */
const SLICE_BUDGET_FRACTION = 1 / 64;

/**
 * How much to ask for when `needed` tokens are missing: enough for a while, little enough that the
 * last part of a budget can be used by any shard.
 */
export function chooseSliceAmount(needed: number, budget: number): number {
  const defaultAmount = Math.max(MINIMUM_SLICE_TOKENS, Math.floor(budget * SLICE_BUDGET_FRACTION));
  return Math.max(needed, defaultAmount);
}

/** Group names with their slices, as one shard holds them. */
export type SliceTable = Map<GroupName, SliceState>;
/** Group names with their ledgers, as one shard holds them. */
export type LedgerTable = Map<GroupName, LedgerState>;
