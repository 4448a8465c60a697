/** The buffers of this process, and V8's collections. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { BufferHeap } from './buffer-collector.js';

/** V8's function that collects, `gc`. */
type Collect = (options: { readonly type: 'minor' | 'major' }) => void;

/**
 * Returns `gc`. A flag exposes it to contexts that are created while it is set; set at the start, the flag would make V8 reject the
 * compiled code of the program.
 */
function exposeCollect(): Collect {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as Collect;
  setFlagsFromString('--no-expose-gc');
  return collect;
}

/** Returns the buffers of this process. */
export function createV8BufferHeap(): BufferHeap {
  let collect: Collect | undefined;
  const run: Collect = (options) => {
    collect ??= exposeCollect();
    collect(options);
  };
  return {
    bufferBytes: () => process.memoryUsage().arrayBuffers,
    collectYoung: () => run({ type: 'minor' }),
    collectAll: () => run({ type: 'major' }),
  };
}
