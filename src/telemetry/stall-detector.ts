/**
 * Detects stalls of this process: it was suspended, got no processor time, or a task blocked the event
 * loop. Without such a log line a stall cannot be told from a network failure.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';

const CHECK_INTERVAL_MILLISECONDS = 250;
/** Delay of a check that is logged as a stall; peers consider a process silent after this time. */
const STALL_THRESHOLD_MILLISECONDS = 250;

/** Logs each stall until cancelled. */
export function startStallDetector(runtime: Runtime): CancelTimer {
  let lastCheckAt = runtime.now();
  return setRepeatingTimer(runtime, CHECK_INTERVAL_MILLISECONDS, () => {
    const stallMilliseconds = runtime.now() - lastCheckAt - CHECK_INTERVAL_MILLISECONDS;
    lastCheckAt = runtime.now();
    if (stallMilliseconds > STALL_THRESHOLD_MILLISECONDS) {
      const fields = { event: 'process.stalled', milliseconds: Math.round(stallMilliseconds) };
      runtime.log('warn', 'process stalled', fields);
    }
  });
}
