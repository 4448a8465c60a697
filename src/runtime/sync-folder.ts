/**
 * Makes names of files last. The content of a file outlasts a loss of power once the file is synced, its
 * name once its folder is: a disk may keep the one and lose the other.
 */
import { mkdir, open } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Makes the names in a folder last as they are now. Rejects when the disk refuses. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Makes a folder, and those above it, that are missing; resolves when all their names last. */
export async function createDurableFolder(path: string): Promise<void> {
  const topmost = (await mkdir(path, { recursive: true })) ?? path;
  let current = path;
  await syncFolder(dirname(current));
  while (current !== topmost) {
    current = dirname(current);
    await syncFolder(dirname(current));
  }
}
