/** Loopback addresses of one soak; soaks in different blocks can run concurrently. */

/** Third octet of the addresses, by the machine's part in the soak. */
const PARTS = {
  gateway: 2,
  replica: 3,
  store: 4,
  storeProxy: 5,
  runner: 6,
  runnerProxy: 7,
} as const;

/** Largest block number. */
export const MAXIMUM_BLOCK = 100;

/** Assigns addresses of the form 127.block.part.number. */
export class SoakHosts {
  constructor(
    /** Block number, 0 to `MAXIMUM_BLOCK`. */
    private readonly block: number,
  ) {}

  /** Returns the address of a machine; `number` starts at 1. */
  addressOf(part: keyof typeof PARTS, number: number): string {
    return `127.${this.block}.${PARTS[part]}.${number}`;
  }
}
