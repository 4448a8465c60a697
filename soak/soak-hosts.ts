/** Loopback addresses of one soak: soaks of different blocks run beside one another. */

/** Parts of a soak's machines, as the third number of their addresses. */
const PARTS = {
  gateway: 2,
  replica: 3,
  store: 4,
  storeProxy: 5,
  runner: 6,
  runnerProxy: 7,
} as const;

/** Largest block. */
export const MOST_BLOCKS = 100;

/** See the head of this file. */
export class SoakHosts {
  constructor(
    /** From 0 to `MOST_BLOCKS`. */
    private readonly block: number,
  ) {}

  /** Address of a part's machine, counted from 1. */
  of(part: keyof typeof PARTS, number: number): string {
    return `127.${this.block}.${PARTS[part]}.${number}`;
  }
}
