/** The buffers of this process, and V8's collections. */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { BufferHeap } from './buffer-collector.js';

/** V8's function that collects, `gc`. */
type Collect = (options: { readonly type: 'minor' | 'major' }) => void;

/**
 * Returns `gc`, or a function without effect where V8 doesn't provide it. A flag exposes it to contexts that are created while it is set; set at the start, the flag would make V8 reject the
 * compiled code of the program.
 */
function exposeCollect(): Collect {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('globalThis.gc') as Collect | undefined;
  setFlagsFromString('--no-expose-gc');
  return collect ?? (() => undefined);
}

/**
 * Returns the buffers of this process.
 * @param nativeBytes memory that the process takes beside its heap and its buffers
 */
export function createV8BufferHeap(nativeBytes: number): BufferHeap {
  let collect: Collect | undefined;
  const run: Collect = (options) => {
    collect ??= exposeCollect();
    collect(options);
  };
  return {
    bufferBytes: () => getHeapStatistics().external_memory,
    usedBytes: () => {
      const { total_heap_size: heapBytes, external_memory: bufferBytes } = getHeapStatistics();
      return heapBytes + bufferBytes + nativeBytes;
    },
    collectYoung: () => run({ type: 'minor' }),
    collectAll: () => run({ type: 'major' }),
  };
}
