/**
 * Group budgets by escrow. A ledger shard grants slices of a group's budget to program shards,
 * which reserve tokens from them for calls. Both sides are replicated, so a crash loses no slice.
 * Grants and returns are numbered, so duplicate messages have no effect.
 */
import type { GroupName, ShardId } from '../model/identifiers.js';

/** A program shard's slice of a group's budget. All amounts are in tokens. */
export interface SliceState {
  /** Tokens granted and not yet reserved, spent or returned. */
  available: number;
  /** Tokens reserved for calls in progress. */
  reserved: number;
  /** Tokens used by calls that have ended. */
  spent: number;
  /** Number of the latest request. */
  requestNumber: number;
  /** Amount of the pending request; 0 if it has been answered. */
  requestAmount: number;
  /** Amount granted by the latest reply; 0 if the budget was used up. */
  lastGranted: number;
  /** Number of the latest return. */
  returnNumber: number;
  /** Amount of the pending return; 0 if the ledger has booked it. */
  returnAmount: number;
}

/** Latest grant and return of a holder (a program shard with a slice), for detecting duplicates. */
export interface HolderState {
  grantNumber: number;
  lastGranted: number;
  returnNumber: number;
}

/** A ledger shard's account of one group. */
export interface LedgerState {
  /** Granted less returned tokens. A grant never raises the sum above the budget. */
  outstanding: number;
  readonly holders: Map<ShardId, HolderState>;
}

/** Returns the slice of a group before its first request. */
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

/** Returns an account without grants. */
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

/**
 * Grants slice `number` to a holder and returns the granted tokens, which may be fewer than asked
 * for. A duplicate of the latest request returns its first result, an older one 0.
 */
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

/** Books return `number` of a holder; duplicates have no effect. */
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

/** Reserves tokens for a call; returns false if the slice has fewer available. */
export function reserveTokens(slice: SliceState, amount: number): boolean {
  if (slice.available < amount) {
    return false;
  }
  slice.available -= amount;
  slice.reserved += amount;
  return true;
}

/** Ends a reservation: used tokens, up to the reserved ones, are spent; the rest becomes available again. */
export function settleReservation(slice: SliceState, reserved: number, used: number): void {
  const spent = Math.min(reserved, used);
  slice.reserved -= reserved;
  slice.spent += spent;
  slice.available += reserved - spent;
}

/** Minimum size of a request in tokens, so that small calls do not need a grant each. */
export const MINIMUM_SLICE_TOKENS = 20_000;
/** Fraction of a group's budget that a shard requests at once. */
const SLICE_BUDGET_FRACTION = 1 / 64;

/**
 * Returns how many tokens to request when a call needs `needed`: enough for many calls, but a small
 * part of the budget, so that no shard withholds the remainder from the others.
 */
export function chooseSliceAmount(needed: number, budget: number): number {
  const defaultAmount = Math.max(MINIMUM_SLICE_TOKENS, Math.floor(budget * SLICE_BUDGET_FRACTION));
  return Math.max(needed, defaultAmount);
}

/** One shard's slices by group. */
export type SliceTable = Map<GroupName, SliceState>;
/** One shard's ledgers by group. */
export type LedgerTable = Map<GroupName, LedgerState>;
