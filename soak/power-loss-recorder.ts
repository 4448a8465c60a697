/**
 * Records in a ledger what this process makes, removes and syncs under a folder through Node's file
 * promises, so that a loss of power can be played afterwards. The operations themselves are done as
 * they are; nothing is delayed or refused.
 */
import { fstatSync, linkSync, statSync } from 'node:fs';
import files from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { sep } from 'node:path';
import { keptPathFor, noteInLedger } from './power-loss-ledger.js';
import type { LedgerLine, RecordedFolder } from './power-loss-ledger.js';

type Open = typeof files.open;
type Mkdir = typeof files.mkdir;
type Unlink = typeof files.unlink;

function exists(path: string): boolean {
  return statSync(path, { throwIfNoEntry: false }) !== undefined;
}

/** Notes each sync of an open file or folder. */
function recordSyncs(folder: RecordedFolder, path: string, file: FileHandle): void {
  // What is written while a sync is under way may not be part of it, so the length counts from before.
  const lineOf = (): LedgerLine => {
    const status = fstatSync(file.fd);
    return status.isDirectory()
      ? { op: 'folderSynced', path }
      : { op: 'fileSynced', inode: status.ino, bytes: status.size };
  };
  for (const name of ['sync', 'datasync'] as const) {
    const original = file[name].bind(file);
    file[name] = async () => {
      const line = lineOf();
      await original();
      noteInLedger(folder, line);
    };
  }
}

const ORIGINAL = {
  open: files.open,
  mkdir: files.mkdir,
  unlink: files.unlink,
  rename: files.rename,
};
/** Folders that are recorded now. */
const folders = new Set<RecordedFolder>();

/** The recorded folder that a path is in. */
function folderOf(path: unknown): RecordedFolder | undefined {
  return typeof path !== 'string'
    ? undefined
    : [...folders].find(({ root }) => path === root || path.startsWith(root + sep));
}

const recordedOpen = async (...[path, flags, mode]: Parameters<Open>): Promise<FileHandle> => {
  const folder = folderOf(path);
  const isNew = folder !== undefined && !exists(String(path));
  const file = await ORIGINAL.open(path, flags, mode);
  if (folder !== undefined) {
    if (isNew) {
      noteInLedger(folder, { op: 'made', path: String(path), target: fstatSync(file.fd).ino });
    }
    recordSyncs(folder, String(path), file);
  }
  return file;
};

const recordedMkdir = async (...[path, options]: Parameters<Mkdir>): Promise<unknown> => {
  const folder = folderOf(path);
  const isNew = folder !== undefined && !exists(String(path));
  const made = await ORIGINAL.mkdir(path, options);
  if (isNew) {
    noteInLedger(folder, { op: 'made', path: String(path), target: 'folder' });
  }
  return made;
};

const recordedUnlink: Unlink = async (path) => {
  const folder = folderOf(path);
  if (folder !== undefined && exists(String(path))) {
    const inode = statSync(path).ino;
    const kept = keptPathFor(folder, inode);
    linkSync(path, kept);
    noteInLedger(folder, { op: 'removed', path: String(path), inode, kept });
  }
  await ORIGINAL.unlink(path);
};

const recordedRename: typeof files.rename = async (from, to) => {
  if (folderOf(from) !== undefined || folderOf(to) !== undefined) {
    throw new Error('renames are not recorded');
  }
  await ORIGINAL.rename(from, to);
};

function install(operations: Readonly<Record<string, unknown>>): void {
  Object.assign(files, operations);
  syncBuiltinESMExports();
}

/** Begins to record a folder; returns how to end that. */
export function recordFolder(folder: RecordedFolder): () => void {
  folders.add(folder);
  install({
    open: recordedOpen,
    mkdir: recordedMkdir,
    unlink: recordedUnlink,
    rename: recordedRename,
  });
  return () => {
    folders.delete(folder);
    if (folders.size === 0) {
      install(ORIGINAL);
    }
  };
}
