/** Accounts of the bytes that a process buffers for clients and runners. */

/** The accounts, by their names in logs and metrics. */
export const MEMORY_ACCOUNTS = [
  /** Request bodies until their answer is sent, and the chains prepended to them. */
  'bodies',
  /** Answers that are being collected, or that clients have not read yet. */
  'answers',
  /** Outputs of turns that will be stored. */
  'turns',
  /** What clients have sent ahead, and heads that are not complete. */
  'input',
  /** Estimate of what requests in progress take in the heap. */
  'requests',
] as const;
/** Name of an account. */
export type MemoryAccount = (typeof MEMORY_ACCOUNTS)[number];

/** Bytes of each account. */
export type AccountBytes = Readonly<Record<MemoryAccount, number>>;

/** The bytes that one request holds in one account. */
export class MemoryAllocation {
  private held = 0;
  private released = false;

  constructor(
    readonly account: MemoryAccount,
    private readonly onChange: (account: MemoryAccount, bytes: number) => void,
  ) {}

  /** Bytes held. */
  get bytes(): number {
    return this.held;
  }

  /** Sets the number of bytes held; has no effect after the release. */
  set(bytes: number): void {
    if (this.released) {
      return;
    }
    const difference = bytes - this.held;
    this.held = bytes;
    if (difference !== 0) {
      this.onChange(this.account, difference);
    }
  }

  /** Adds to the bytes held. */
  add(bytes: number): void {
    this.set(this.held + bytes);
  }

  /** Releases all bytes for good: data that still arrives for a finished request is dropped. */
  release(): void {
    this.set(0);
    this.released = true;
  }
}
