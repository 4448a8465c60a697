/** The back-end port of a simulated node: streams and reports over simulated connections. */
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
import type { ConnectionOrder, NetworkEndpoint, SimulatedNetwork } from './simulated-network.js';

/** The network, the node's endpoint on it, and the back ends with their endpoints. */
export interface SimulatedBackEndsOptions {
  readonly network: SimulatedNetwork;
  readonly endpoint: NetworkEndpoint;
  readonly runtime: Runtime;
  readonly backEnds: ReadonlyMap<EngineId, EmulatedBackEnd>;
  readonly backEndEndpoints: ReadonlyMap<EngineId, NetworkEndpoint>;
}

/** Delay before a request over a cut link fails. */
const CONNECT_TIMEOUT_MILLISECONDS = 500;

/**
 * Connects a simulated node to emulated back ends over the simulated network. When the link is cut,
 * new streams fail with the verdict of their operation and open ones with `MayHaveRun`.
 */
export class SimulatedBackEnds implements BackEndPort {
  constructor(private readonly options: SimulatedBackEndsOptions) {}

  start(engine: EngineId, request: BackEndRequest, listener: BackEndListener): CancelRequest {
    return this.openStream(
      engine,
      request.call,
      'NotRun',
      (backEnd, onEvent) => backEnd.start(request, onEvent),
      listener,
    );
  }

  resume(engine: EngineId, call: CallId, fence: Fence, listener: BackEndListener): CancelRequest {
    return this.openStream(
      engine,
      call,
      'MayHaveRun',
      (backEnd, onEvent) => backEnd.resume(call, fence, onEvent),
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
    const { network, endpoint, runtime } = this.options;
    const target = this.find(engine);
    if (
      target === undefined ||
      !target.backEnd.isUp ||
      !network.isConnected(endpoint, target.endpoint)
    ) {
      runtime.setTimer(CONNECT_TIMEOUT_MILLISECONDS, () => listener(UNREACHABLE_REPORT));
      return;
    }
    this.sendTo(engine, (backEnd) => {
      const report = backEnd.report();
      network.deliver(target.endpoint, endpoint, () => listener(report));
    });
  }

  private find(
    engine: EngineId,
  ): { backEnd: EmulatedBackEnd; endpoint: NetworkEndpoint } | undefined {
    const backEnd = this.options.backEnds.get(engine);
    const endpoint = this.options.backEndEndpoints.get(engine);
    return backEnd === undefined || endpoint === undefined ? undefined : { backEnd, endpoint };
  }

  private sendTo(engine: EngineId, action: (backEnd: EmulatedBackEnd) => void): void {
    const target = this.find(engine);
    if (target !== undefined) {
      this.options.network.deliver(this.options.endpoint, target.endpoint, () =>
        action(target.backEnd),
      );
    }
  }

  private openStream(
    engine: EngineId,
    call: CallId,
    verdictIfUnreachable: 'NotRun' | 'MayHaveRun',
    open: (backEnd: EmulatedBackEnd, onEvent: BackEndListener) => void,
    listener: BackEndListener,
  ): CancelRequest {
    const { network, endpoint, runtime } = this.options;
    let hasEnded = false;
    const responseOrder: ConnectionOrder = { lastArrival: 0 };
    const emit = (event: BackEndEvent): void => {
      if (hasEnded) {
        return;
      }
      hasEnded = event.type !== 'piece';
      listener(event);
    };
    const target = this.find(engine);
    if (target === undefined || !network.isConnected(endpoint, target.endpoint)) {
      const detail = 'no connection';
      runtime.setTimer(CONNECT_TIMEOUT_MILLISECONDS, () =>
        emit({ type: 'failed', verdict: verdictIfUnreachable, detail }),
      );
      return () => {
        hasEnded = true;
      };
    }
    const emitBroken = (): void =>
      emit({ type: 'failed', verdict: 'MayHaveRun', detail: 'the stream broke' });
    const onEvent = (event: BackEndEvent): void => {
      network.deliverInOrder(
        responseOrder,
        target.endpoint,
        endpoint,
        () => emit(event),
        () => undefined,
      );
      if (!network.isConnected(target.endpoint, endpoint)) {
        runtime.setTimer(CONNECT_TIMEOUT_MILLISECONDS, emitBroken);
      }
    };
    const requestOrder: ConnectionOrder = { lastArrival: 0 };
    network.deliverInOrder(
      requestOrder,
      endpoint,
      target.endpoint,
      () => open(target.backEnd, onEvent),
      emitBroken,
    );
    return () => {
      hasEnded = true;
      this.cancel(engine, call);
    };
  }
}
