/**
 * The token account of one program: a set of reservations, one for each turn, each settled later to
 * what the turn handed out. Copies merge in any order and any number of times to the same account.
 */

/** What one turn takes from the account. */
export interface Reservation {
  /** Request id of the turn. */
  readonly turn: string;
  /** Most tokens the turn may hand out. */
  readonly mostTokens: number;
  /** Tokens handed out; undefined while the turn is under way. */
  readonly usedTokens: number | undefined;
}

/** See the head of this file; reservations by turn. */
export type Account = Map<string, Reservation>;

/** Takes a reservation into an account; true when that changed it. A settled one stays settled. */
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

/** Tokens that the other turns of the account have taken or may still take. */
export function tokensOfOthers(account: Account, turn: string): number {
  let sum = 0;
  for (const reservation of account.values()) {
    if (reservation.turn !== turn) {
      sum += reservation.usedTokens ?? reservation.mostTokens;
    }
  }
  return sum;
}

/** Whether a turn fits into a budget beside the others. */
export function fitsBudget(account: Account, turn: string, most: number, budget: number): boolean {
  return tokensOfOthers(account, turn) + most <= budget;
}
