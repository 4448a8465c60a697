/** The real surroundings of a process: the machine's clocks, timers and standard output. */
import './enable-roarr.js';
import { randomInt } from 'node:crypto';
import { writeSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { ROARR, Roarr, logLevels } from 'roarr';
import { BoundedWriter, writeToDescriptor } from '../telemetry/bounded-writer.js';
import { createRandom } from './random.js';
import type { LogFields, LogFunction, LogLevel, Runtime } from './runtime.js';

/** Settings of the real surroundings. */
export interface RealRuntimeOptions {
  /** Seed of the random numbers; by default one from the machine. */
  readonly seed?: number;
  /** Fields of every log line. */
  readonly fields?: LogFields;
  /** Least severity written. @default 'info' */
  readonly logLevel?: LogLevel;
}

const STANDARD_OUTPUT = 1;
const SEED_LIMIT = 2 ** 31;

/** Time for which log lines are gathered for one write, in milliseconds: longer saves wake-ups, and a crash may lose that much. */
const FLUSH_DELAY_MILLISECONDS = 250;

/** Writes the last lines before the process ends. */
function writeFinalLines(bytes: Buffer): void {
  try {
    writeSync(STANDARD_OUTPUT, bytes);
  } catch {
    // Nobody reads, and there is no later moment in which to say so.
  }
}

function openStandardOutput(): BoundedWriter {
  const writer = new BoundedWriter(writeToDescriptor(STANDARD_OUTPUT), (flush) => {
    setTimeout(flush, FLUSH_DELAY_MILLISECONDS).unref();
  });
  process.on('exit', () => writeFinalLines(writer.takeQueued()));
  return writer;
}

/** One for all logs of the process. */
let standardOutput: BoundedWriter | undefined;

/** A logger that writes JSON lines by `roarr`. */
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

/** Makes the real surroundings. */
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
