/** What the core may ask of its surroundings: time, timers, random numbers and a log. */
import type { RandomSource } from './random.js';

/** Stops a timer; calling it twice does nothing. */
export type CancelTimer = () => void;

/** Severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Values allowed as fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | null>>;

/** Writes one structured line. */
export type LogFunction = (level: LogLevel, message: string, fields?: LogFields) => void;

/** The surroundings of one node. The real one and the simulated one are interchangeable. */
export interface Runtime {
  /** Milliseconds on a clock that never goes back; its origin means nothing. */
  now(): number;
  /** Milliseconds since 1970; may jump either way, used for display and expiry dates only. */
  wallTime(): number;
  /** Calls back once after a delay in milliseconds. */
  setTimer(delayMilliseconds: number, callback: () => void): CancelTimer;
  readonly random: RandomSource;
  readonly log: LogFunction;
}

/** Calls back again and again until cancelled; the first call comes after one period. */
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
