/**
 * Notices that this process stood still: it was frozen, got no processor, or was busy with one piece
 * of work. Without such a line its silence looks like that of a link.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';

/** Time between two looks, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 250;
/** Delay of a look that is told, in milliseconds: others take a process for silent after as long. */
const STALL_THRESHOLD_MILLISECONDS = 250;

/** Logs each stall; returns how to end that. */
export function startStallDetector(runtime: Runtime): CancelTimer {
  let lastCheckAt = runtime.now();
  return setRepeatingTimer(runtime, CHECK_INTERVAL_MILLISECONDS, () => {
    const stallMilliseconds = runtime.now() - lastCheckAt - CHECK_INTERVAL_MILLISECONDS;
    lastCheckAt = runtime.now();
    if (stallMilliseconds > STALL_THRESHOLD_MILLISECONDS) {
      const fields = { event: 'process.stalled', milliseconds: Math.round(stallMilliseconds) };
      runtime.log('warn', 'this process stood still', fields);
    }
  });
}
