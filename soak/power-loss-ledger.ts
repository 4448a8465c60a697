/**
 * Simulates a power loss on a folder from a ledger of what was created, removed and synced in it. File content
 * is durable up to the last sync of the file. The creation or removal of a name is durable once its folder was
 * synced afterwards; until then, each is kept or undone independently of the others.
 */
import {
  appendFileSync,
  existsSync,
  linkSync,
  readFileSync,
  rmSync,
  statSync,
  truncateSync,
  unlinkSync,
} from 'node:fs';
import { dirname, join } from 'node:path';
import type { RandomSource } from '../src/runtime/random.js';

/** Absolute paths of a folder and its ledger; the ledger lies outside of the folder. */
export interface RecordedFolder {
  /** The folder that loses its unsynced changes. */
  readonly root: string;
  /** The ledger file, one JSON object per line. */
  readonly ledger: string;
}

/** What a path refers to: a folder, or a file by its inode. */
type Target = number | 'folder';

/** One line of a ledger. */
export type LedgerLine =
  | { readonly op: 'made'; readonly path: string; readonly target: Target }
  /** `kept` is another hard link to the file, from which the name can be restored. */
  | { readonly op: 'removed'; readonly path: string; readonly inode: number; readonly kept: string }
  | { readonly op: 'folderSynced'; readonly path: string }
  | { readonly op: 'fileSynced'; readonly inode: number; readonly bytes: number };

/** Appends a line synchronously, so that it survives a kill of the process right afterwards. */
export function appendToLedger({ ledger }: RecordedFolder, line: LedgerLine): void {
  appendFileSync(ledger, `${JSON.stringify(line)}\n`);
}

/** Changes that a power loss undid. */
export interface PowerLoss {
  /** Paths that were created and are gone. */
  readonly lostNames: readonly string[];
  /** Paths that were removed and are restored. */
  readonly returnedNames: readonly string[];
  /** Written bytes that were discarded. */
  readonly lostBytes: number;
}

/** Extent of a power loss. */
export interface PowerLossOptions {
  readonly random: RandomSource;
  /** Probability that an unsynced creation or removal is undone, 0 to 1. */
  readonly nameLossProbability: number;
}

/** What a path refers to durably and at present, and the link kept of a removed file. */
interface NameState {
  synced: Target | undefined;
  now: Target | undefined;
  kept: string | undefined;
}

/** State of all names, and synced bytes by inode, as replayed from a ledger. */
interface LedgerState {
  readonly names: Map<string, NameState>;
  readonly syncedBytes: Map<number, number>;
}

function readLedger(ledger: string): LedgerState {
  const state: LedgerState = { names: new Map(), syncedBytes: new Map() };
  const text = existsSync(ledger) ? readFileSync(ledger, 'utf8') : '';
  for (const line of text.split('\n').filter((each) => each !== '')) {
    applyLine(state, JSON.parse(line) as LedgerLine);
  }
  return state;
}

function applyLine({ names, syncedBytes }: LedgerState, line: LedgerLine): void {
  switch (line.op) {
    case 'made': {
      const { synced, kept } = names.get(line.path) ?? { synced: undefined, kept: undefined };
      names.set(line.path, { synced, now: line.target, kept });
      return;
    }
    case 'removed': {
      // A name whose creation is not in the ledger dates from before it and is durable.
      const synced = names.has(line.path) ? names.get(line.path)!.synced : line.inode;
      names.set(line.path, { synced, now: undefined, kept: line.kept });
      return;
    }
    case 'folderSynced':
      for (const [path, name] of names) {
        if (dirname(path) === line.path) {
          name.synced = name.now;
        }
      }
      return;
    case 'fileSynced':
      syncedBytes.set(line.inode, line.bytes);
  }
}

/** Discards unsynced changes at random and removes the ledger; what is left is durable. */
export function losePower(folder: RecordedFolder, options: PowerLossOptions): PowerLoss {
  const state = readLedger(folder.ledger);
  const lostBytes = loseBytes(state, options.random);
  const lostNames: string[] = [];
  const returnedNames: string[] = [];
  // Parents before children: a lost folder takes its content with it.
  const byDepth = [...state.names].sort(([left], [right]) => left.length - right.length);
  for (const [path, name] of byDepth) {
    const isLost =
      name.synced !== name.now && options.random.uniform() < options.nameLossProbability;
    if (isLost && name.now !== undefined && existsSync(path)) {
      rmSync(path, { recursive: true });
      lostNames.push(path);
    }
    if (isLost && name.synced !== undefined && name.kept !== undefined) {
      linkSync(name.kept, path);
      returnedNames.push(path);
    }
  }
  for (const { kept } of state.names.values()) {
    if (kept !== undefined && existsSync(kept)) {
      unlinkSync(kept);
    }
  }
  rmSync(folder.ledger, { force: true });
  return { lostNames, returnedNames, lostBytes };
}

/** Truncates each file to a random length between its synced and its written bytes; returns the bytes lost. */
function loseBytes({ names, syncedBytes }: LedgerState, random: RandomSource): number {
  let lost = 0;
  for (const [path, { now }] of names) {
    if (typeof now !== 'number' || !existsSync(path)) {
      continue;
    }
    const { size } = statSync(path);
    const synced = Math.min(size, syncedBytes.get(now) ?? 0);
    const remainingBytes = synced + Math.floor((size - synced) * random.uniform());
    truncateSync(path, remainingBytes);
    lost += size - remainingBytes;
  }
  return lost;
}

/** Path of the hard link that keeps a removed file until the next power loss. */
export function keptPathFor({ ledger }: RecordedFolder, inode: number): string {
  return join(dirname(ledger), `removed-${inode}`);
}
