/** The operators' client: sends statements to a node, prints the answers and returns an exit code. */
import { createInterface } from 'node:readline';
import { setTimeout as wait } from 'node:timers/promises';
import Table from 'cli-table3';
import { request } from 'undici';
import type { StatementResult } from '../language/run-statement.js';
import type { ProblemDocument } from '../gateway/problem.js';

/** Exit codes of the client; documented in its help. */
export const EXIT = {
  done: 0,
  refused: 1,
  wrong: 2,
  unreachable: 3,
  unknown: 4,
  notInForce: 5,
} as const;

/** Options of the client. */
export interface ClientOptions {
  readonly url: string;
  readonly key: string;
  readonly json: boolean;
  /** Pause between runs of the statement, in seconds; undefined runs it once. */
  readonly watchSeconds?: number;
  /** Upper bound of the runs of a repeated statement. @default Infinity */
  readonly limitRuns?: number;
}

type Answer =
  | { readonly type: 'result'; readonly result: StatementResult }
  | { readonly type: 'problem'; readonly problem: ProblemDocument }
  | { readonly type: 'unreachable'; readonly detail: string };

async function sendStatement(statement: string, options: ClientOptions): Promise<Answer> {
  try {
    const response = await request(`${options.url}/v1/operator/statements`, {
      method: 'POST',
      headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json' },
      body: JSON.stringify({ statement }),
    });
    const body = await response.body.json();
    return response.statusCode === 200
      ? { type: 'result', result: body as StatementResult }
      : { type: 'problem', problem: body as ProblemDocument };
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return { type: 'unreachable', detail };
  }
}

function writeLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function formatRows(result: StatementResult): string {
  const table = new Table({
    head: [...result.columns],
    style: { head: [], border: [], compact: true },
  });
  for (const row of result.rows) {
    table.push(result.columns.map((column) => String(row[column] ?? '')));
  }
  return table.toString();
}

function printResult(result: StatementResult): number {
  if (result.columns.length > 0) {
    writeLine(formatRows(result));
  }
  if (result.secret !== undefined) {
    writeLine(`The key, shown only once: ${result.secret}`);
  }
  if (result.unreachable.length > 0) {
    writeLine(`Not reached: ${result.unreachable.join(', ')}`);
  }
  if (result.revision === undefined || result.inForce === undefined) {
    return EXIT.done;
  }
  const { acknowledged, total, missing } = result.inForce;
  writeLine(`Done at revision ${result.revision}; in force on ${acknowledged} of ${total} nodes.`);
  if (missing.length > 0) {
    writeLine(`Not yet on: ${missing.join(', ')}`);
    return EXIT.notInForce;
  }
  return EXIT.done;
}

function exitCodeOf(problem: ProblemDocument): number {
  if (problem.verdict === 'MayHaveRun') {
    return EXIT.unknown;
  }
  return problem.title === 'Malformed' ? EXIT.wrong : EXIT.refused;
}

function printAnswer(answer: Answer, options: ClientOptions): number {
  switch (answer.type) {
    case 'unreachable':
      process.stderr.write(`ivyloom: ${options.url} was not reached: ${answer.detail}\n`);
      return EXIT.unreachable;
    case 'problem':
      if (options.json) {
        writeLine(JSON.stringify(answer.problem));
      } else {
        const { title, verdict, detail } = answer.problem;
        process.stderr.write(`ivyloom: ${title} (${verdict})\n${detail}\n`);
      }
      return exitCodeOf(answer.problem);
    case 'result':
      if (options.json) {
        writeLine(JSON.stringify(answer.result));
        const missing = answer.result.inForce?.missing.length ?? 0;
        return missing > 0 ? EXIT.notInForce : EXIT.done;
      }
      return printResult(answer.result);
  }
}

async function watch(statement: string, seconds: number, options: ClientOptions): Promise<number> {
  const maximumRuns = options.limitRuns ?? Infinity;
  let exitCode: number = EXIT.done;
  for (let run = 1; run <= maximumRuns; run += 1) {
    exitCode = printAnswer(await sendStatement(statement, options), options);
    if (run < maximumRuns) {
      await wait(seconds * 1_000);
    }
  }
  return exitCode;
}

async function readStatements(options: ClientOptions): Promise<number> {
  const interactive = process.stdin.isTTY;
  const lines = createInterface({
    input: process.stdin,
    output: process.stdout,
    terminal: interactive,
  });
  let exitCode: number = EXIT.done;
  lines.setPrompt('ivyloom> ');
  if (interactive) {
    lines.prompt();
  }
  for await (const line of lines) {
    const statement = line.trim();
    if (statement === 'exit' || statement === 'quit') {
      break;
    }
    if (statement !== '') {
      exitCode = printAnswer(await sendStatement(statement, options), options);
    }
    if (interactive) {
      lines.prompt();
    }
  }
  return exitCode;
}

/** Runs a statement, or those read from standard input if it is empty; resolves with the exit code. */
export async function runClient(statement: string, options: ClientOptions): Promise<number> {
  if (statement === '') {
    return readStatements(options);
  }
  if (options.watchSeconds !== undefined) {
    return watch(statement, options.watchSeconds, options);
  }
  return printAnswer(await sendStatement(statement, options), options);
}
