/**
 * The token account of one program: a set of reservations, one per turn, each later settled to the number of tokens
 * that the turn returned. Merging is commutative, associative and idempotent, so replicas converge on one account.
 */

/** The tokens that one turn reserves from the account. */
export interface Reservation {
  /** Id of the turn, under which it is stored if its route retains turns. */
  readonly turn: string;
  /** Maximum number of tokens that the turn may return. */
  readonly mostTokens: number;
  /** Tokens returned; undefined while the turn is running. */
  readonly usedTokens: number | undefined;
}

/** Reservations of one program, keyed by the id of the turn. */
export type Account = Map<string, Reservation>;

/** Merges a reservation into an account; returns whether the account changed. A settled reservation stays settled. */
export function mergeReservation(account: Account, reservation: Reservation): boolean {
  const known = account.get(reservation.turn);
  if (known === undefined) {
    account.set(reservation.turn, reservation);
    return true;
  }
  if (known.usedTokens !== undefined || reservation.usedTokens === undefined) {
    return false;
  }
  account.set(reservation.turn, { ...known, usedTokens: reservation.usedTokens });
  return true;
}

/** Tokens used by the other turns of the account, counting open reservations in full. */
export function tokensOfOthers(account: Account, turn: string): number {
  let sum = 0;
  for (const reservation of account.values()) {
    if (reservation.turn !== turn) {
      sum += reservation.usedTokens ?? reservation.mostTokens;
    }
  }
  return sum;
}

/** Whether a turn's reservation and those of the other turns stay within the budget. */
export function fitsBudget(account: Account, turn: string, most: number, budget: number): boolean {
  return tokensOfOthers(account, turn) + most <= budget;
}
