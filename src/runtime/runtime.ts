/** Interface between the core and its environment: clocks, timers, random numbers and the log. */
import type { RandomSource } from './random.js';

/** Cancels a timer; further calls have no effect. */
export type CancelTimer = () => void;

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Context fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Writes one structured log line. */
export type LogFunction = (level: LogLevel, message: string, fields?: LogFields) => void;

/** Environment of one node, either that of the process (`createRealRuntime`) or a simulated one. */
export interface Runtime {
  /** Milliseconds on a monotonic clock with an arbitrary origin. */
  now(): number;
  /** Wall time in milliseconds since 1970; may jump, so it is used only for display and expiry dates. */
  wallTime(): number;
  /** Calls back once after a delay in milliseconds. */
  setTimer(delayMilliseconds: number, callback: () => void): CancelTimer;
  readonly random: RandomSource;
  readonly log: LogFunction;
}

/** Calls back once every period until cancelled; the first call comes after one period. */
export function setRepeatingTimer(
  runtime: Runtime,
  periodMilliseconds: number,
  callback: () => void,
): CancelTimer {
  let cancelled = false;
  let cancel: CancelTimer = () => undefined;
  const arm = (): void => {
    cancel = runtime.setTimer(periodMilliseconds, () => {
      if (cancelled) {
        return;
      }
      arm();
      callback();
    });
  };
  arm();
  return () => {
    cancelled = true;
    cancel();
  };
}
