/** The back-end port of one node in virtual time: connections that delay, break and are refused. */
import type { CallId, EngineId, ProgramId } from '../model/identifiers.js';
import type { EmulatedBackEnd } from '../emulator/emulated-back-end.js';
import { UNREACHABLE_REPORT } from '../platform/back-end-port.js';
import type {
  BackEndEvent,
  BackEndListener,
  BackEndRequest,
  BackEndPort,
  BackEndReport,
  CancelRequest,
  Fence,
} from '../platform/back-end-port.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ConnectionOrder, NetworkEnd, SimulatedNetwork } from './simulated-network.js';

/** What the port is made with. */
export interface SimulatedBackEndsOptions {
  readonly network: SimulatedNetwork;
  readonly end: NetworkEnd;
  readonly runtime: Runtime;
  readonly backEnds: ReadonlyMap<EngineId, EmulatedBackEnd>;
  readonly backEndEnds: ReadonlyMap<EngineId, NetworkEnd>;
}

/** Time after which a request into a cut link fails, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/** See the head of this file. */
export class SimulatedBackEnds implements BackEndPort {
  constructor(private readonly options: SimulatedBackEndsOptions) {}

  start(engine: EngineId, order: BackEndRequest, listener: BackEndListener): CancelRequest {
    return this.openStream(
      engine,
      order.call,
      'NotRun',
      (backEnd, back) => backEnd.start(order, back),
      listener,
    );
  }

  resume(engine: EngineId, call: CallId, fence: Fence, listener: BackEndListener): CancelRequest {
    return this.openStream(
      engine,
      call,
      'MayHaveRun',
      (backEnd, back) => backEnd.resume(call, fence, back),
      listener,
    );
  }

  cancel(engine: EngineId, call: CallId): void {
    this.sendTo(engine, (backEnd) => backEnd.cancel(call));
  }

  hold(engine: EngineId, program: ProgramId, milliseconds: number, fence: Fence): void {
    this.sendTo(engine, (backEnd) => backEnd.hold(program, milliseconds, fence));
  }

  report(engine: EngineId, listener: (report: BackEndReport) => void): void {
    const { network, end, runtime } = this.options;
    const target = this.find(engine);
    if (target === undefined || !target.backEnd.isUp || !network.isConnected(end, target.end)) {
      runtime.setTimer(CONNECT_TIMEOUT_MILLISECONDS, () => listener(UNREACHABLE_REPORT));
      return;
    }
    this.sendTo(engine, (backEnd) => {
      const report = backEnd.report();
      network.deliver(target.end, end, () => listener(report));
    });
  }

  private find(engine: EngineId): { backEnd: EmulatedBackEnd; end: NetworkEnd } | undefined {
    const backEnd = this.options.backEnds.get(engine);
    const end = this.options.backEndEnds.get(engine);
    return backEnd === undefined || end === undefined ? undefined : { backEnd, end };
  }

  private sendTo(engine: EngineId, act: (backEnd: EmulatedBackEnd) => void): void {
    const target = this.find(engine);
    if (target !== undefined) {
      this.options.network.deliver(this.options.end, target.end, () => act(target.backEnd));
    }
  }

  private openStream(
    engine: EngineId,
    call: CallId,
    refusedVerdict: 'NotRun' | 'MayHaveRun',
    open: (backEnd: EmulatedBackEnd, back: BackEndListener) => void,
    listener: BackEndListener,
  ): CancelRequest {
    const { network, end, runtime } = this.options;
    let over = false;
    const answers: ConnectionOrder = { lastArrival: 0 };
    const tell = (event: BackEndEvent): void => {
      if (over) {
        return;
      }
      over = event.type !== 'piece';
      listener(event);
    };
    const target = this.find(engine);
    if (target === undefined || !network.isConnected(end, target.end)) {
      const detail = 'no connection';
      runtime.setTimer(CONNECT_TIMEOUT_MILLISECONDS, () =>
        tell({ type: 'failed', verdict: refusedVerdict, detail }),
      );
      return () => {
        over = true;
      };
    }
    const broken = (): void =>
      tell({ type: 'failed', verdict: 'MayHaveRun', detail: 'the stream broke' });
    const back = (event: BackEndEvent): void => {
      network.deliverInOrder(
        answers,
        target.end,
        end,
        () => tell(event),
        () => undefined,
      );
      if (!network.isConnected(target.end, end)) {
        runtime.setTimer(CONNECT_TIMEOUT_MILLISECONDS, broken);
      }
    };
    const opening: ConnectionOrder = { lastArrival: 0 };
    network.deliverInOrder(opening, end, target.end, () => open(target.backEnd, back), broken);
    return () => {
      over = true;
      this.cancel(engine, call);
    };
  }
}
