/**
 * Records in a ledger what this process creates, removes and syncs in a folder through `node:fs/promises`, so
 * that a power loss can be simulated afterwards. The operations themselves are passed through unchanged, except
 * that renames are refused.
 */
import { fstatSync, linkSync, statSync } from 'node:fs';
import files from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { sep } from 'node:path';
import { keptPathFor, appendToLedger } from './power-loss-ledger.js';
import type { LedgerLine, RecordedFolder } from './power-loss-ledger.js';

type Open = typeof files.open;
type Mkdir = typeof files.mkdir;
type Unlink = typeof files.unlink;

function exists(path: string): boolean {
  return statSync(path, { throwIfNoEntry: false }) !== undefined;
}

/** Wraps the sync methods of an open file or folder, to record each sync. */
function recordSyncs(folder: RecordedFolder, path: string, file: FileHandle): void {
  // Bytes written during a sync may not be covered by it, so the length is read before the sync.
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
      appendToLedger(folder, line);
    };
  }
}

const ORIGINAL = {
  open: files.open,
  mkdir: files.mkdir,
  unlink: files.unlink,
  rename: files.rename,
};
/** Folders that are being recorded. */
const folders = new Set<RecordedFolder>();

/** Returns the recorded folder that contains a path, if any. */
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
      appendToLedger(folder, { op: 'made', path: String(path), target: fstatSync(file.fd).ino });
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
    appendToLedger(folder, { op: 'made', path: String(path), target: 'folder' });
  }
  return made;
};

const recordedUnlink: Unlink = async (path) => {
  const folder = folderOf(path);
  if (folder !== undefined && exists(String(path))) {
    const inode = statSync(path).ino;
    const kept = keptPathFor(folder, inode);
    linkSync(path, kept);
    appendToLedger(folder, { op: 'removed', path: String(path), inode, kept });
  }
  await ORIGINAL.unlink(path);
};

const recordedRename: typeof files.rename = async (from, to) => {
  if (folderOf(from) !== undefined || folderOf(to) !== undefined) {
    throw new Error('cannot rename in a recorded folder: renames are not supported');
  }
  await ORIGINAL.rename(from, to);
};

function install(operations: Readonly<Record<string, unknown>>): void {
  Object.assign(files, operations);
  syncBuiltinESMExports();
}

/** Starts to record a folder; returns a function that stops it. */
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
