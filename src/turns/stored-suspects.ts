/**
 * The requests under which runners ended, as a replica keeps them for gateways that start: in memory, and on its disk, so that
 * a restart of all processes at once does not let a request end more runners.
 */
import type { Runtime } from '../runtime/runtime.js';
import { decodeSuspects, encodeSuspects } from '../suspects/suspect-news.js';
import type { SuspectNews } from '../suspects/suspect-news.js';
import { SuspectTable, SUSPECT_RETENTION_MILLISECONDS } from '../suspects/suspect-table.js';
import type { StorageChange, StoredSuspectNews, TurnStorage } from './turn-storage.js';

/** Dependencies of {@link StoredSuspects}. */
export interface StoredSuspectsOptions {
  readonly runtime: Runtime;
  /** Writes to a folder that holds nothing else, which older builds do not read. @default kept in memory only */
  readonly storage?: TurnStorage | undefined;
}

/** Returns news as of a later time, without what no longer counts. */
function aged(news: readonly SuspectNews[], milliseconds: number): SuspectNews[] {
  return news.flatMap(({ fingerprint, answeredAgeMilliseconds: age, encounters }) => {
    const counting = encounters
      .map((each) => ({ ...each, ageMilliseconds: each.ageMilliseconds + milliseconds }))
      .filter(({ ageMilliseconds }) => ageMilliseconds < SUSPECT_RETENTION_MILLISECONDS);
    const answeredAgeMilliseconds = age === undefined ? undefined : age + milliseconds;
    return counting.length > 0
      ? [{ fingerprint, answeredAgeMilliseconds, encounters: counting }]
      : [];
  });
}

/** Keeps what gateways report of suspected requests. */
export class StoredSuspects {
  private readonly table: SuspectTable;

  constructor(private readonly options: StoredSuspectsOptions) {
    this.table = new SuspectTable(options.runtime);
  }

  /** Adds what was read from the disk. */
  restore({ news, storedAt }: StoredSuspectNews): void {
    const elapsed = Math.max(0, this.options.runtime.wallTime() - storedAt);
    if (elapsed < SUSPECT_RETENTION_MILLISECONDS) {
      this.table.merge(aged(decodeSuspects(news), elapsed), false);
    }
  }

  /** Adds what a gateway reports, and writes it if it is news. Reports are dropped while the disk is full. */
  record(news: Buffer): void {
    const { storage } = this.options;
    const isNews = this.table.merge(decodeSuspects(news), false);
    if (isNews && storage !== undefined && storage.isFull !== true) {
      storage.write([this.toChange(news)], () => undefined);
    }
  }

  /** Returns all that a gateway that starts should know, encoded. */
  snapshot(): Buffer {
    return Buffer.from(encodeSuspects(this.table.snapshot()));
  }

  /** Returns what a compaction rewrites. */
  liveChanges(): readonly StorageChange[] {
    return [this.toChange(this.snapshot())];
  }

  private toChange(news: Buffer): StorageChange {
    return { tag: 'suspects', suspects: { news, storedAt: this.options.runtime.wallTime() } };
  }
}
