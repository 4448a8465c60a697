/**
 * A folder whose files keep their names through a loss of power: no file made here is handed out before
 * its name lasts, and nothing read here is believed before its content does.
 */
import { open, readdir, unlink } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { makeDurableFolder, syncNames } from '../runtime/sync-names.js';

/** See the head of this file. All rejections are those of the disk. */
export class DurableFolder {
  private constructor(private readonly path: string) {}

  /** Opens a folder, made when it is missing. */
  static async open(path: string): Promise<DurableFolder> {
    await makeDurableFolder(path);
    // An earlier life may have ended before it had synced what it made.
    await syncNames(path);
    return new DurableFolder(path);
  }

  /** Names of all files. */
  names(): Promise<string[]> {
    return readdir(this.path);
  }

  /** Makes a file that isn't there yet, to be written. */
  async create(name: string): Promise<FileHandle> {
    const file = await open(join(this.path, name), 'wx');
    try {
      await syncNames(this.path);
    } catch (cause) {
      await file.close();
      throw cause;
    }
    return file;
  }

  /** Reads a file whole. It is synced first: a killed process may have left what would not last. */
  async read(name: string): Promise<Buffer> {
    const file = await open(join(this.path, name), 'r');
    try {
      await file.datasync();
      return await file.readFile();
    } finally {
      await file.close();
    }
  }

  /** Removes a file. It may come back after a loss of power. */
  remove(name: string): Promise<void> {
    return unlink(join(this.path, name));
  }
}
