/** The real surroundings of a process: the machine's clocks, timers and standard output. */
import './enable-roarr.js';
import { randomInt } from 'node:crypto';
import { writeSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { ROARR, Roarr, logLevels } from 'roarr';
import { BoundedWriter, writeTo } from '../telemetry/bounded-writer.js';
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
const LARGEST_SEED = 2 ** 31;

/** Time for which log lines are gathered for one write, in milliseconds: longer saves wake-ups, and a crash may lose that much. */
const GATHER_MILLISECONDS = 250;

/** Writes the last lines before the process ends. */
function writeLast(bytes: Buffer): void {
  try {
    writeSync(STANDARD_OUTPUT, bytes);
  } catch {
    // Nobody reads, and there is no later moment in which to say so.
  }
}

function openStandardOutput(): BoundedWriter {
  const writer = new BoundedWriter(writeTo(STANDARD_OUTPUT), (writeNow) => {
    setTimeout(writeNow, GATHER_MILLISECONDS).unref();
  });
  process.on('exit', () => writeLast(writer.takeWaiting()));
  return writer;
}

/** One for all logs of the process. */
let standardOutput: BoundedWriter | undefined;

/** A logger that writes JSON lines by `roarr`. */
export function createLog(fields: LogFields, least: LogLevel): LogFunction {
  standardOutput ??= openStandardOutput();
  const writer = standardOutput;
  ROARR.write = (line: string): void => writer.push(line);
  const logger = Roarr.child({ application: 'ivyloom', ...fields });
  return (level, message, extra = {}) => {
    if (logLevels[level] >= logLevels[least]) {
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
    random: createRandom(options.seed ?? randomInt(LARGEST_SEED)),
    log: createLog(options.fields ?? {}, options.logLevel ?? 'info'),
  };
}
