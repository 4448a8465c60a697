#!/usr/bin/env node
/** The command `ivyloom-bench`: a local cluster, experiments, fault histories and measurements. */
import '../runtime/prepared-hashing.js';
import meow from 'meow';
import { DEFAULT_CATCH_UP_MILLISECONDS } from '../turns/membership-timings.js';
import { runBenchCommand } from './bench-commands.js';

const cli = meow(
  `
  Usage
    $ ivyloom-bench COMMAND [options]

  Commands
    start               a local cluster on embedded stand-ins, under a workload, then a report
    experiment NAME     policies side by side in virtual time: lakeshore, dakar, mixed, scaled
    histories           seeded programs and faults in virtual time, every promise checked
    configuration-histories  configuration and runners at gateways under troubles of the store and the network
    stream-histories    streams that clients resume while software versions of runners change
    turn-histories      the same for kept turns and token accounts on their replicas
    retention-histories the same for turns that outlast the retention time of those before them
    power-loss-days     days of replicas that end with a loss of all power and of disks, a line each
    chaos               real daemons killed, paused and stopped under load, every promise checked
    overhead            what the scheduler adds to a call, against the engine called directly
    slopes              processor time, bytes and memory of each mechanism
    scale               idle control of hollow nodes at several sizes, in virtual time

  Options
    --minutes N         chaos: how long (default 1)
    --calls N           overhead: calls each way (default 60)
    --nodes A,B,…       scale: numbers of nodes (default 6,12,24,48)
    --seeds A..B        histories of all kinds: seeds to run (default 1..100)
    --replicas N        turn-histories, power-loss-days: replicas to begin with
    --members N         the same: replicas that are members, others stand by
    --zones N           the same: zones of which one may be lost, which sets the members
    --older-build       turn-histories: begin with a build that makes every replica a member
    --gateways N        configuration-histories, stream-histories: gateways (default 8)
    --first-ranked      configuration-histories: stall the gateways that the others hear from, around changes
    --losses N          the same: replicas that are lost at once (default 1)
    --write MS          the same: time that a synced write takes (default 1)
    --catch-up MS       the same: time after its start from which on a successor counts (default ${DEFAULT_CATCH_UP_MILLISECONDS})
    --once              start: end after the report
    --deployment NAME   start: lakeshore, dakar or mixed (default mixed)
    --programs N        start: programs to run (default 100)
    --http-port PORT    start: port of the first node (default 7700; 0 takes any)
    --seed N            seed of everything random (default 1)
    --load X            experiment: offered load as a part of capacity (default 0.85)
    --seconds N         experiment: virtual seconds of arrivals (default 300)
    --policies A,B      experiment: policies to run (default all)
    --json              answer as JSON

  Exit codes
    0  done
    1  something failed
    2  wrong use
`,
  {
    importMeta: import.meta,
    flags: {
      once: { type: 'boolean', default: false },
      deployment: { type: 'string', default: 'mixed' },
      programs: { type: 'number', default: 100 },
      httpPort: { type: 'number', default: 7700 },
      seed: { type: 'number', default: 1 },
      load: { type: 'number', default: 0.85 },
      seconds: { type: 'number', default: 300 },
      policies: { type: 'string', default: '' },
      seeds: { type: 'string', default: '1..100' },
      replicas: { type: 'number', default: 0 },
      members: { type: 'number', default: 0 },
      losses: { type: 'number', default: 1 },
      zones: { type: 'number', default: 0 },
      olderBuild: { type: 'boolean', default: false },
      write: { type: 'number', default: 1 },
      catchUp: { type: 'number', default: DEFAULT_CATCH_UP_MILLISECONDS },
      gateways: { type: 'number', default: 8 },
      firstRanked: { type: 'boolean', default: false },
      calls: { type: 'number', default: 60 },
      minutes: { type: 'number', default: 1 },
      nodes: { type: 'string', default: '6,12,24,48' },
      json: { type: 'boolean', default: false },
    },
  },
);

// Emulators leave timers and sockets open, which would keep the process alive.
process.exit(await runBenchCommand(cli.input, cli.flags));
