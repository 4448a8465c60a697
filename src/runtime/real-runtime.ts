/** The runtime of a real process: system clocks, timers and standard output. */
import './enable-roarr.js';
import { randomInt } from 'node:crypto';
import { writeSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { ROARR, Roarr, logLevels } from 'roarr';
import { BoundedWriter, writeToDescriptor } from '../telemetry/bounded-writer.js';
import { createRandom } from './random.js';
import type { LogFields, LogFunction, LogLevel, Runtime } from './runtime.js';

/** Options of `createRealRuntime`. */
export interface RealRuntimeOptions {
  /** Seed of the random numbers; random by default. */
  readonly seed?: number;
  /** Fields added to every log line. */
  readonly fields?: LogFields;
  /** Lowest level that is written. @default 'info' */
  readonly logLevel?: LogLevel;
}

const STANDARD_OUTPUT = 1;
const SEED_LIMIT = 2 ** 31;

/** Time for which log lines are collected for one write, in milliseconds. A crash loses the lines collected. */
const FLUSH_DELAY_MILLISECONDS = 250;

/** Writes the queued lines synchronously, when the process exits. */
function writeFinalLines(bytes: Buffer): void {
  try {
    writeSync(STANDARD_OUTPUT, bytes);
  } catch {
    // The reader has gone, and the process exits: the error cannot be reported.
  }
}

function openStandardOutput(): BoundedWriter {
  const writer = new BoundedWriter(writeToDescriptor(STANDARD_OUTPUT), (flush) => {
    setTimeout(flush, FLUSH_DELAY_MILLISECONDS).unref();
  });
  process.on('exit', () => writeFinalLines(writer.takeQueued()));
  return writer;
}

/** Shared by all loggers of the process. */
let standardOutput: BoundedWriter | undefined;

/** Creates a logger that writes JSON lines to standard output with `roarr`. */
export function createLog(fields: LogFields, minimumLevel: LogLevel): LogFunction {
  standardOutput ??= openStandardOutput();
  const writer = standardOutput;
  ROARR.write = (line: string): void => writer.push(line);
  const logger = Roarr.child({ application: 'ivyloom', ...fields });
  return (level, message, extra = {}) => {
    if (logLevels[level] >= logLevels[minimumLevel]) {
      logger[level]({ ...extra }, message);
    }
  };
}

/** Creates the runtime of this process. */
export function createRealRuntime(options: RealRuntimeOptions = {}): Runtime {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    setTimer: (delay, callback) => {
      if (delay <= 0) {
        const immediate = setImmediate(callback);
        return () => clearImmediate(immediate);
      }
      const timer = setTimeout(callback, delay);
      return () => clearTimeout(timer);
    },
    random: createRandom(options.seed ?? randomInt(SEED_LIMIT)),
    log: createLog(options.fields ?? {}, options.logLevel ?? 'info'),
  };
}
