/** Bytes that a process holds for others, by account. */

/** Accounts, each with its name in logs and metrics. */
export const MEMORY_ACCOUNTS = [
  /** Bodies being read or kept until their answer is out, and the chains put before them. */
  'bodies',
  /** Answers that are gathered, or that their clients haven't taken. */
  'answers',
  /** Outputs of turns that are to be kept. */
  'turns',
] as const;
/** One of these. */
export type MemoryAccount = (typeof MEMORY_ACCOUNTS)[number];

/** Bytes of each account. */
export type AccountBytes = Readonly<Record<MemoryAccount, number>>;

/** What one request holds in one account. */
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

  /** Notes how many bytes are held now; after the release nothing counts any more. */
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

  /** Notes that more bytes are held. */
  add(bytes: number): void {
    this.set(this.held + bytes);
  }

  /** Notes that nothing is held any more, for good: what still comes for a request that is over is dropped. */
  release(): void {
    this.set(0);
    this.released = true;
  }
}
