/** Commands that read logs: `ivyloom explain request ID` and `ivyloom logs`. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import { explainRequest } from '../telemetry/explain-request.js';
import { formatLogLine, matchesFilter, parseLogLine } from '../telemetry/log-lines.js';
import type { LogFilter, LogLine } from '../telemetry/log-lines.js';
import { EXIT } from './client.js';

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

function fail(cause: unknown): number {
  const detail = cause instanceof Error ? cause.message : String(cause);
  process.stderr.write(`ivyloom: ${detail}\n`);
  return EXIT.wrong;
}

/** Explains one request from files of logs, or from standard input; the exit code says how it went. */
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
    return fail(cause);
  }
}

/** Prints the lines of files, or of standard input, that match a filter. */
export async function runLogs(filter: LogFilter, files: readonly string[]): Promise<number> {
  try {
    const lines = await readLines(files, filter);
    lines.forEach((line) => process.stdout.write(`${formatLogLine(line)}\n`));
    return lines.length > 0 ? EXIT.done : EXIT.refused;
  } catch (cause) {
    return fail(cause);
  }
}
