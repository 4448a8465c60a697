/** Runners of one service that start again at their address, under another id, some time after they have ended. */
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import type { StandInStore } from '../platform/stand-in/store-server.js';
import { RUNNER_PREFIX } from '../platform/store-keys.js';
import { ENDING_MILLISECONDS, RelayRunner } from '../src/emulator/relay-runner.js';
import type { RunnerRun } from '../src/emulator/relay-runner.js';

/** Dependencies and size of {@link RestartingRunners}. */
export interface RestartingRunnersOptions {
  readonly service: string;
  readonly count: number;
  readonly zones: readonly string[];
  readonly store: StandInStore;
  /** Returns the address of the runner at a place, 0 to `count` - 1. */
  readonly addressOf: (place: number) => string;
  /** Called with the id of each request that arrives at the runner for which it is meant. */
  readonly onArrival: (requestId: string) => void;
  /** Called with the request that ended or froze a runner. */
  readonly onFatal: (runner: RelayRunner, run: RunnerRun) => void;
  /** Called with the paths of the requests that were at a runner when it ended, or had been dropped shortly before. */
  readonly onEnd: (paths: readonly string[]) => void;
  readonly eventCount: number;
  readonly eventMilliseconds: number;
}

const RUNNER_PORT = 18082;
const SLOTS = 8;
/** Time from the end of a runner to the start of the next one at its address, in milliseconds. */
const DOWN_MILLISECONDS = 1_500;
/** Time after that start for which the entry of the earlier runner stays in the store, in milliseconds. */
const STALE_ENTRY_MILLISECONDS = 1_000;
/** Time after its client left for which a request may still be at work, as far as a gateway can know, in milliseconds. */
const DROPPED_MILLISECONDS = 700;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Starts runners and starts them again. */
export class RestartingRunners {
  /** The runner at each place; undefined while it is down. */
  private readonly live: (RelayRunner | undefined)[] = [];
  /** Every runner started so far. */
  readonly all: RelayRunner[] = [];
  private isStopped = false;

  constructor(private readonly options: RestartingRunnersOptions) {}

  /** Runners that are up. */
  get liveRunners(): readonly RelayRunner[] {
    return this.live.filter((runner) => runner !== undefined);
  }

  /** Starts all runners. */
  async start(): Promise<void> {
    for (let place = 0; place < this.options.count; place += 1) {
      await this.startAt(place);
    }
  }

  /** Ends a runner that is up, as a crash does. */
  crash(runner: RelayRunner): void {
    this.restart(runner);
    runner.end();
  }

  /** Ends all runners for good. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.liveRunners.map((runner) => runner.crash()));
  }

  private restart(ended: RelayRunner): void {
    const place = this.live.indexOf(ended);
    if (place < 0) {
      return;
    }
    this.live[place] = undefined;
    const counted = new Set<string>();
    const countRequests = (dropped: readonly string[] = []): void => {
      const present = [...ended.unfinishedPaths, ...dropped];
      const found = present.filter((path) => !counted.has(path));
      found.forEach((path) => counted.add(path));
      this.options.onEnd(found);
    };
    countRequests(ended.pathsDroppedWithin(DROPPED_MILLISECONDS));
    setTimeout(countRequests, ENDING_MILLISECONDS - 1);
    void sleep(DOWN_MILLISECONDS).then(async () => {
      // A runner that stands still ends here, and has got further requests meanwhile.
      countRequests();
      ended.end();
      if (!this.isStopped) {
        await this.startAt(place);
        await sleep(STALE_ENTRY_MILLISECONDS);
        this.options.store.remove(RUNNER_PREFIX + ended.id);
      }
    });
  }

  private async startAt(place: number): Promise<void> {
    const { service, zones, store, addressOf, eventCount, eventMilliseconds } = this.options;
    const runner = new RelayRunner({
      id: `${service}-${this.all.length}`,
      names: NAMES,
      eventCount,
      pauseMilliseconds: eventMilliseconds,
    });
    this.all.push(runner);
    runner.onArrival = (headers) => this.options.onArrival(String(headers[NAMES.requestId]));
    runner.onFatal = (run) => {
      this.options.onFatal(runner, run);
      this.restart(runner);
    };
    const host = addressOf(place);
    await runner.listen(RUNNER_PORT, host);
    this.live[place] = runner;
    store.put(RUNNER_PREFIX + runner.id, {
      Service: service,
      Address: `${host}:${RUNNER_PORT}`,
      Zone: zones[place % zones.length]!,
      Slots: SLOTS,
      State: 'ready',
    });
  }
}
