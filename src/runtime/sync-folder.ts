/**
 * Makes directory entries durable. Syncing a file makes its content durable, but its name survives a
 * power failure only once its folder is synced.
 */
import { mkdir, open } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Syncs a folder, which makes its entries durable. Rejects when the folder cannot be opened or synced. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Creates a folder and its missing parents; resolves once the entries of all of them are durable. */
export async function createDurableFolder(path: string): Promise<void> {
  const topmost = (await mkdir(path, { recursive: true })) ?? path;
  let current = path;
  await syncFolder(dirname(current));
  while (current !== topmost) {
    current = dirname(current);
    await syncFolder(dirname(current));
  }
}
