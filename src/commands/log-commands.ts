/** Commands that read logs: `ivyloom explain`, `ivyloom report losses` and `ivyloom logs`. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import Table from 'cli-table3';
import { explainRequest } from '../telemetry/explain-request.js';
import { formatLogLine, matchesFilter, parseLogLine } from '../telemetry/log-lines.js';
import type { LogFilter, LogLine } from '../telemetry/log-lines.js';
import { tracePrograms } from '../telemetry/program-traces.js';
import type { ProgramTrace } from '../telemetry/program-traces.js';
import { lossRows, lossWindows, splitTime, TIME_CAUSES } from '../telemetry/report-losses.js';
import { EXIT } from './client.js';

const WINDOW_SECONDS = 2;

async function readLines(files: readonly string[], filter: LogFilter): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  const inputs = files.length === 0 ? [process.stdin] : files.map((file) => createReadStream(file));
  for (const input of inputs) {
    for await (const text of createInterface({ input })) {
      const line = parseLogLine(text);
      if (line !== undefined && matchesFilter(line, filter)) {
        lines.push(line);
      }
    }
  }
  return lines.sort((left, right) => left.time - right.time);
}

function reportError(cause: unknown): number {
  const detail = cause instanceof Error ? cause.message : String(cause);
  process.stderr.write(`ivyloom: ${detail}\n`);
  return EXIT.wrong;
}

/** Explains one request from log files, or from standard input; resolves with the exit code. */
export async function runExplainRequest(id: string, files: readonly string[]): Promise<number> {
  try {
    const sentences = explainRequest(await readLines(files, {}), id);
    if (sentences.length === 0) {
      process.stderr.write(`ivyloom: no line names request ${id}\n`);
      return EXIT.refused;
    }
    sentences.forEach((sentence) => process.stdout.write(`${sentence}\n`));
    return EXIT.done;
  } catch (cause) {
    return reportError(cause);
  }
}

function printTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): void {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => table.push([...row]));
  process.stdout.write(`${table.toString()}\n`);
}

async function readPrograms(files: readonly string[]): Promise<ProgramTrace[]> {
  return tracePrograms(await readLines(files, {}));
}

/** Prints the time of one program by cause; resolves with the exit code. */
export async function runExplainProgram(id: string, files: readonly string[]): Promise<number> {
  try {
    const program = (await readPrograms(files)).find((one) => one.program === id);
    if (program === undefined) {
      process.stderr.write(`ivyloom: no line names a program ${id} with a deadline\n`);
      return EXIT.refused;
    }
    const overrunMilliseconds = Math.round(program.endedAt - program.deadlineAt);
    const totalMilliseconds = Math.round(program.endedAt - program.startedAt);
    process.stdout.write(
      `${id}: ${program.outcome}, ${totalMilliseconds} ms, ${Math.abs(overrunMilliseconds)} ms ${overrunMilliseconds > 0 ? 'after' : 'before'} its time was over\n`,
    );
    const split = splitTime(program);
    printTable(
      ['cause', 'ms'],
      TIME_CAUSES.map((cause) => [cause, Math.round(split[cause])]),
    );
    return EXIT.done;
  } catch (cause) {
    return reportError(cause);
  }
}

/** Prints mean times by cause, kind and outcome, and counts of late and failed programs by time window. */
export async function runReportLosses(files: readonly string[]): Promise<number> {
  try {
    const programs = await readPrograms(files);
    printTable(
      ['kind', 'outcome', 'programs', ...TIME_CAUSES],
      lossRows(programs).map(({ kind, outcome, programs: count, mean }) => [
        kind,
        outcome,
        count,
        ...TIME_CAUSES.map((cause) => Math.round(mean[cause])),
      ]),
    );
    printTable(
      ['second', 'begun', 'late', 'failed', 'mostly'],
      lossWindows(programs, WINDOW_SECONDS).map((window) => [
        window.second,
        window.begun,
        window.late,
        window.failed,
        window.mainCause,
      ]),
    );
    return programs.length > 0 ? EXIT.done : EXIT.refused;
  } catch (cause) {
    return reportError(cause);
  }
}

/** Prints the lines of log files, or of standard input, that match a filter; resolves with the exit code. */
export async function runLogs(filter: LogFilter, files: readonly string[]): Promise<number> {
  try {
    const lines = await readLines(files, filter);
    lines.forEach((line) => process.stdout.write(`${formatLogLine(line)}\n`));
    return lines.length > 0 ? EXIT.done : EXIT.refused;
  } catch (cause) {
    return reportError(cause);
  }
}
