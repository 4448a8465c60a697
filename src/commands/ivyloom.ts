#!/usr/bin/env node
/** The command `ivyloom`: the operators' client, which also evaluates logs. */
import '../runtime/prepared-hashing.js';
import meow from 'meow';
import { runClient } from './client.js';
import { runExplainProgram, runExplainRequest, runLogs, runReportLosses } from './log-commands.js';

const cli = meow(
  `
  Usage
    $ ivyloom [--url URL] [--key KEY] [--json] [--watch SECONDS] STATEMENT
    $ ivyloom            reads statements from standard input, one a line
    $ ivyloom explain request ID [--logs FILE …]
    $ ivyloom explain program ID --logs FILE …   where its time went, by cause
    $ ivyloom report losses [--logs FILE …]      the same of all programs, and when they were lost
    $ ivyloom logs [--request ID] [--program NAME] [--node NAME] [--event NAME] [--logs FILE …]

  Options
    --url URL        a node's HTTP address (default: $IVYLOOM_URL or http://127.0.0.1:7700)
    --key KEY        an operator's key (default: $IVYLOOM_KEY)
    --json           answer as JSON instead of a table
    --watch SECONDS  run the statement again and again
    --limit-runs N   with --watch, end after so many runs
    --logs FILE      logs of any number of nodes (default: standard input); may be repeated
    --request ID, --program NAME, --node NAME, --event NAME   which lines of logs are wanted

  Statements
    show TABLE [count(*)|sum(C)|avg(C)|max(C)|p95(C) …] [where C = V and …]
         [group by C, …] [order by C [asc|desc]] [limit N]
         TABLE: calls, programs, engines, nodes, groups, holds, services, keys
         comparisons: = != < <= > >= like ('%' stands for anything)
    explain call NAME | explain program NAME
    set group NAME share N budget N
    create group|service|engine|key NAME PROPERTY VALUE …
    delete group|service|engine|key NAME
    drain engine NAME | resume engine NAME
    stop program NAME

  Examples
    $ ivyloom show engines
    $ ivyloom "show calls where state = waiting order by age desc limit 20"
    $ ivyloom explain call c-3-5f2a
    $ ivyloom drain engine catalog-minds-7
    $ ivyloom set group teranga share 3 budget 5M

  Exit codes
    0  done
    1  refused, and nothing was changed (verdict NotRun); with logs: no line matches
    2  the statement or an option is wrong
    3  no node could be reached
    4  nobody can tell whether the command took effect (verdict MayHaveRun)
    5  done, but not yet in force on every node
`,
  {
    importMeta: import.meta,
    flags: {
      url: { type: 'string', default: process.env['IVYLOOM_URL'] ?? 'http://127.0.0.1:7700' },
      key: { type: 'string', default: process.env['IVYLOOM_KEY'] ?? '' },
      json: { type: 'boolean', default: false },
      watch: { type: 'number' },
      limitRuns: { type: 'number' },
      logs: { type: 'string', isMultiple: true },
      request: { type: 'string' },
      program: { type: 'string' },
      node: { type: 'string' },
      event: { type: 'string' },
    },
  },
);

/** Runs a command on logs; undefined when the input is a statement for a node. */
function runLogCommand(): Promise<number> | undefined {
  const [first, second, id] = cli.input;
  const { logs, request, program, node, event } = cli.flags;
  if (first === 'explain' && second === 'request' && id !== undefined) {
    return runExplainRequest(id, logs ?? []);
  }
  // Without logs, `explain program` is a statement: a node explains a running program.
  if (first === 'explain' && second === 'program' && id !== undefined && logs?.length) {
    return runExplainProgram(id, logs);
  }
  if (first === 'report' && second === 'losses') {
    return runReportLosses(logs ?? []);
  }
  if (first !== 'logs') {
    return undefined;
  }
  const filter = {
    ...(request === undefined ? {} : { request }),
    ...(program === undefined ? {} : { program }),
    ...(node === undefined ? {} : { node }),
    ...(event === undefined ? {} : { event }),
  };
  return runLogs(filter, logs ?? []);
}

function runStatement(): Promise<number> {
  const { url, key, json, watch, limitRuns } = cli.flags;
  return runClient(cli.input.join(' '), {
    url,
    key,
    json,
    ...(watch === undefined ? {} : { watchSeconds: watch }),
    ...(limitRuns === undefined ? {} : { limitRuns }),
  });
}

process.exitCode = await (runLogCommand() ?? runStatement());
