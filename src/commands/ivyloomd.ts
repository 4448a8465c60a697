#!/usr/bin/env node
/** The command `ivyloomd`: the daemon, which runs one node of the scheduler on its machine. */
import '../runtime/prepared-hashing.js';
import * as E from 'fp-ts/lib/Either.js';
import meow from 'meow';
import { FLAG_SETTINGS, readSettings } from '../configuration/settings.js';
import { startDaemon } from '../node/daemon.js';
import { createRealRuntime } from '../runtime/real-runtime.js';
import type { LogLevel } from '../runtime/runtime.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

const cli = meow(
  `
  Usage
    $ ivyloomd --settings FILE [--NAME VALUE …]

  Runs one node of the scheduler. Every setting but the list of peers is also a flag, which goes
  before the file.

  Options
    --settings FILE     settings in YAML; see config/
    --cluster NAME      name of the cluster, the same on all its nodes
    --node NAME         name of this node
    --zone NAME         zone of this machine
    --host IP           address to listen on
    --peer-port PORT    port for other nodes
    --http-port PORT    port for callers and operators
    --key-value-url URL the key-value service, http://IP:PORT
    --shard-count N     shards of the region, never changed once set (default 16)
    --data-folder PATH  folder of the replicas
    --policy NAME       ivyloom, least-loaded-fifo or round-robin-fifo (default ivyloom)
    --log-level LEVEL   debug, info, warn or error (default info)

  Signals
    SIGTERM, SIGINT     planned stop: hands over, finishes what runs, exits with 0

  Exit codes
    0  stopped as planned
    1  could not start
    2  the settings are wrong; every mistake is named
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: 'string' },
      cluster: { type: 'string' },
      node: { type: 'string' },
      zone: { type: 'string' },
      host: { type: 'string' },
      peerPort: { type: 'number' },
      httpPort: { type: 'number' },
      keyValueUrl: { type: 'string' },
      shardCount: { type: 'number' },
      dataFolder: { type: 'string' },
      policy: { type: 'string' },
      logLevel: { type: 'string' },
    },
  },
);

async function main(): Promise<void> {
  const flags: Record<string, unknown> = cli.flags;
  const overrides = Object.fromEntries(FLAG_SETTINGS.map((name) => [name, flags[name]]));
  const settings = readSettings(cli.flags.settings, overrides);
  if (E.isLeft(settings)) {
    settings.left.forEach((mistake) => process.stderr.write(`ivyloomd: ${mistake}\n`));
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const { node, zone, logLevel } = settings.right;
  const level = (logLevel ?? 'info') as LogLevel;
  const runtime = createRealRuntime({ fields: { node, zone }, logLevel: level });
  const daemon = await startDaemon(settings.right, runtime);
  let stopping = false;
  const stop = (): void => {
    if (stopping) {
      return;
    }
    stopping = true;
    runtime.log('info', 'planned stop');
    daemon.stop(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

main().catch((cause: unknown) => {
  process.stderr.write(`ivyloomd: ${cause instanceof Error ? cause.message : String(cause)}\n`);
  process.exitCode = EXIT_FAILED;
});
