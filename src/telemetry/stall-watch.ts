/**
 * Notices that this process stood still: it was frozen, got no processor, or was busy with one piece
 * of work. Without such a line its silence looks like that of a link.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';

/** Time between two looks, in milliseconds. */
const LOOK_MILLISECONDS = 250;
/** Delay of a look that is told, in milliseconds: others take a process for silent after as long. */
const STALL_MILLISECONDS = 250;

/** Logs each stall; returns how to end that. */
export function watchStalls(runtime: Runtime): CancelTimer {
  let lookedAt = runtime.now();
  return setRepeatingTimer(runtime, LOOK_MILLISECONDS, () => {
    const stalled = runtime.now() - lookedAt - LOOK_MILLISECONDS;
    lookedAt = runtime.now();
    if (stalled > STALL_MILLISECONDS) {
      const fields = { event: 'process.stalled', milliseconds: Math.round(stalled) };
      runtime.log('warn', 'this process stood still', fields);
    }
  });
}
