/**
 * What a folder would still hold after a loss of power: a ledger of what was made, removed and synced in
 * it, and the loss itself. The content of a file lasts up to its last sync. A name that was made, renamed
 * or removed lasts once its folder has been synced after that; without it, each is kept or lost
 * independently of any other.
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

/** Where a folder and its ledger are; both absolute, the ledger outside of the folder. */
export interface RecordedFolder {
  /** The folder that loses what was not synced. */
  readonly root: string;
  /** The file with the ledger. */
  readonly ledger: string;
}

/** What a path stands for: a folder, or a file by its inode. */
type Target = number | 'folder';

/** One line of a ledger, as JSON. */
export type LedgerLine =
  | { readonly op: 'made'; readonly path: string; readonly target: Target }
  /** `kept` is another link to the same file, so that the name can come back. */
  | { readonly op: 'removed'; readonly path: string; readonly inode: number; readonly kept: string }
  | { readonly op: 'folderSynced'; readonly path: string }
  | { readonly op: 'fileSynced'; readonly inode: number; readonly bytes: number };

/** Adds a line; it is there even if the process is killed right after. */
export function noteInLedger({ ledger }: RecordedFolder, line: LedgerLine): void {
  appendFileSync(ledger, `${JSON.stringify(line)}\n`);
}

/** What was lost. */
export interface PowerLoss {
  /** Names that were made and are gone. */
  readonly lostNames: readonly string[];
  /** Names that were removed and are back. */
  readonly returnedNames: readonly string[];
  /** Bytes that were written and are gone. */
  readonly lostBytes: number;
}

/** How much of what was not synced is lost. */
export interface PowerLossOptions {
  readonly random: RandomSource;
  /** Chance of each name that was not synced to be lost, or to come back, 0 to 1. */
  readonly nameLoss: number;
}

interface NameState {
  synced: Target | undefined;
  now: Target | undefined;
  kept: string | undefined;
}

/** Names and synced lengths as a ledger tells them. */
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
      // A name that the ledger never saw made has been there since before the last loss.
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

/** Loses what was not synced, and begins a new ledger: what is left lasts. */
export function losePower(folder: RecordedFolder, options: PowerLossOptions): PowerLoss {
  const state = readLedger(folder.ledger);
  const lostBytes = loseBytes(state, options.random);
  const lostNames: string[] = [];
  const returnedNames: string[] = [];
  // Folders first: with a folder's name all that stands in it is gone.
  const byDepth = [...state.names].sort(([left], [right]) => left.length - right.length);
  for (const [path, name] of byDepth) {
    const isLost = name.synced !== name.now && options.random.uniform() < options.nameLoss;
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

/** Files end somewhere between what was synced and what was written. */
function loseBytes({ names, syncedBytes }: LedgerState, random: RandomSource): number {
  let lost = 0;
  for (const [path, { now }] of names) {
    if (typeof now !== 'number' || !existsSync(path)) {
      continue;
    }
    const { size } = statSync(path);
    const synced = Math.min(size, syncedBytes.get(now) ?? 0);
    const left = synced + Math.floor((size - synced) * random.uniform());
    truncateSync(path, left);
    lost += size - left;
  }
  return lost;
}

/** Where a removed file is kept until the next loss of power. */
export function keptPathFor({ ledger }: RecordedFolder, inode: number): string {
  return join(dirname(ledger), `removed-${inode}`);
}
