/** Gateways that arrange sends of one request in virtual time, with messages that take a while between them. */
import { RelayMetrics } from '../../src/relay/relay-metrics.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import type { Exposure } from '../../src/relay/runners/runner-ends.js';
import type { RunnerCandidate } from '../../src/relay/runners/runner-registry.js';
import { RequestSuspects } from '../../src/relay/suspects/request-suspects.js';
import { arrangeSend } from '../../src/relay/suspects/suspect-send.js';
import type { IsolatedPlacement } from '../../src/relay/suspects/suspect-send.js';
import { createRandom } from '../../src/runtime/random.js';
import { SimulatedProcess } from '../../src/simulation/simulated-process.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';

const RUNNERS = 14;
/** Time from a send to the end of its runner, and until its gateway knows of that, in milliseconds. */
const EFFECT_MILLISECONDS = 10;
const DETECTION_MILLISECONDS = 8;
const PATIENCE_MILLISECONDS = 600;
const END_MILLISECONDS = 5_000;
const REQUEST = {
  id: 'r',
  method: 'GET',
  path: '/',
  body: Buffer.alloc(0),
  route: { name: 'route', host: 'host' },
} as unknown as RelayRequest;

/** Returns how the runner for the next send of a request is chosen after some runners have ended under it. */
export function placementAfter(ended: number): IsolatedPlacement | undefined {
  const clock = new VirtualClock();
  const runtime = new SimulatedProcess('g', clock, createRandom(1)).start();
  const suspects = new RequestSuspects(runtime, { idOf: () => undefined }, new RelayMetrics());
  for (let hash = 1; hash <= ended; hash += 1) {
    const known = { isSuspect: true, lossCount: hash - 1, isRepeated: false };
    const exposure = { request: REQUEST, record: { hash }, known } as unknown as Exposure;
    suspects.noteLost({ lost: [exposure], givenUp: [] });
  }
  const placements: (IsolatedPlacement | undefined)[] = [];
  arrangeSend({
    runtime,
    suspects,
    request: REQUEST,
    patienceMilliseconds: 0,
    choose: (placement) => void placements.push(placement),
    reserve: () => () => undefined,
    isUsable: () => true,
    done: () => undefined,
  });
  return placements[0];
}

/** Calls of a request that ends every runner, one at each gateway. */
export class AnnouncingGateways {
  private readonly endedRunners = new Set<number>();
  private readonly clock = new VirtualClock();
  private readonly gateways: readonly RequestSuspects[];
  private readonly busy = new Set<number>();

  /**
   * @param startsAt times at which the calls begin, in milliseconds
   * @param delayOf returns the time that the next message takes, in milliseconds
   */
  constructor(
    startsAt: readonly number[],
    private readonly delayOf: () => number,
  ) {
    const random = createRandom(1);
    const runtimes = startsAt.map((_, index) =>
      new SimulatedProcess(`g${index}`, this.clock, random).start(),
    );
    this.gateways = runtimes.map(
      (runtime) => new RequestSuspects(runtime, { idOf: () => undefined }, new RelayMetrics()),
    );
    this.gateways.forEach(({ table }, index) => {
      table.onNews = () => this.tellOthers(index);
    });
    startsAt.forEach((at, index) =>
      this.clock.schedule(at, () => this.callAt(index, runtimes[index]!)),
    );
  }

  /** Number of runners that ended. */
  get ended(): number {
    return this.endedRunners.size;
  }

  /** Runs until all calls are over. */
  run(): void {
    this.clock.runUntil(END_MILLISECONDS);
  }

  private tellOthers(index: number): void {
    const news = this.gateways[index]!.table.takeUrgentNews();
    this.gateways.forEach(({ table }, other) => {
      if (other !== index && news.length > 0) {
        this.clock.schedule(this.delayOf(), () => table.merge(news, false));
      }
    });
  }

  private callAt(index: number, runtime: ReturnType<SimulatedProcess['start']>): void {
    const suspects = this.gateways[index]!;
    const atWork = new Set<Exposure>();
    suspects.table.onSuspected = (fingerprint) => suspects.announceAtWork(fingerprint, atWork);
    const sendNext = (): void => {
      arrangeSend({
        runtime,
        suspects,
        request: REQUEST,
        patienceMilliseconds: PATIENCE_MILLISECONDS,
        choose: (placement) => this.chooseRunner(placement),
        reserve: () => () => undefined,
        isUsable: () => true,
        done: (outcome) => {
          if (outcome.tag !== 'Send') {
            return;
          }
          const { hash } = outcome.chosen;
          this.busy.add(hash);
          const known = {
            isSuspect: suspects.verdictOf(REQUEST) !== 'clear',
            lossCount: suspects.lossCountOf(REQUEST),
            isRepeated: false,
          };
          const record = { hash, runner: { id: String(hash) } };
          const exposure = { request: REQUEST, record, sentAt: runtime.now(), known };
          atWork.add(exposure as unknown as Exposure);
          runtime.setTimer(EFFECT_MILLISECONDS, () => this.endedRunners.add(hash));
          runtime.setTimer(EFFECT_MILLISECONDS + DETECTION_MILLISECONDS, () => {
            atWork.delete(exposure as unknown as Exposure);
            suspects.noteLost({ lost: [exposure as unknown as Exposure], givenUp: [] });
            sendNext();
          });
        },
      });
    };
    sendNext();
  }

  /** Chooses a runner that the request was not sent to, and where it is not known to be announced if that matters. */
  private chooseRunner(placement?: IsolatedPlacement): RunnerCandidate | undefined {
    const free = Array.from({ length: RUNNERS }, (_, index) => index + 1).filter(
      (hash) => !this.busy.has(hash) && placement?.isShared(hash) !== true,
    );
    const hash = free[Math.floor(this.delayOf() * free.length) % free.length];
    return hash === undefined
      ? undefined
      : ({ hash, record: { runner: { id: String(hash) } } } as unknown as RunnerCandidate);
  }
}
