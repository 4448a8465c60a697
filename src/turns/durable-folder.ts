/**
 * A folder whose directory entries survive a power loss: a created file is returned only after its directory entry is
 * synced, and a file is synced before it is read.
 */
import { open, readdir, unlink } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { createDurableFolder, syncFolder } from '../runtime/sync-folder.js';

/** A file of a segment that is being written. */
export type SegmentFile = Pick<FileHandle, 'datasync' | 'close'> & {
  /** Writes from an offset in the buffer; may write only a part. */
  write(bytes: Uint8Array, from: number): Promise<{ readonly bytesWritten: number }>;
};

/** The folder of a storage. All rejections are I/O errors. */
export interface SegmentFolder {
  names(): Promise<string[]>;
  create(name: string): Promise<SegmentFile>;
  read(name: string): Promise<Buffer>;
  remove(name: string): Promise<void>;
}

/** Creates, reads and removes files durably. */
export class DurableFolder implements SegmentFolder {
  private constructor(private readonly path: string) {}

  /** Opens a folder, creating it if it is missing. */
  static async open(path: string): Promise<DurableFolder> {
    await createDurableFolder(path);
    // A previous process may have ended before it synced the entries that it created.
    await syncFolder(path);
    return new DurableFolder(path);
  }

  names(): Promise<string[]> {
    return readdir(this.path);
  }

  /** Creates a file for writing; rejects if it already exists. */
  async create(name: string): Promise<FileHandle> {
    const file = await open(join(this.path, name), 'wx');
    try {
      await syncFolder(this.path);
    } catch (cause) {
      await file.close();
      throw cause;
    }
    return file;
  }

  /** Reads a whole file. It is synced first, since a killed process may have left content that is not yet durable. */
  async read(name: string): Promise<Buffer> {
    const file = await open(join(this.path, name), 'r');
    try {
      await file.datasync();
      return await file.readFile();
    } finally {
      await file.close();
    }
  }

  /** Removes a file. The directory is not synced, so the file may reappear after a power loss. */
  remove(name: string): Promise<void> {
    return unlink(join(this.path, name));
  }
}
