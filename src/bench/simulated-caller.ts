/** A caller in virtual time. */
import type { CallEvent, CallRequest } from '../model/call.js';
import { notRun } from '../model/verdict.js';
import type { NetworkEndpoint } from '../simulation/simulated-network.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import type { Runtime } from '../runtime/runtime.js';
import type { CallerCall, CallerPort, CallerResult } from './program-runner.js';
import type { ProgramScript } from './program-script.js';

const CALL_TIMEOUT_MILLISECONDS = 600_000;

/** Creates the request of a call. */
export function requestOf(
  call: CallerCall,
  name: string,
  timeoutMilliseconds: number,
): CallRequest {
  const { script, step, sequence, input, instructions } = call;
  const system = instructions === '' ? [] : [{ role: 'system' as const, content: instructions }];
  const chat = step.kind === 'chat';
  return {
    call: name,
    program: script.name,
    group: script.group,
    service: step.service,
    callClass: script.callClass,
    sequence,
    idempotencyKey: '',
    repeatable: step.repeatable,
    messages: chat ? [...system, { role: 'user', content: input }] : [],
    payload: chat ? '' : input,
    maximumTokens: chat ? Math.max(16, step.outputTokens) : 64,
    timeoutMilliseconds,
    endsProgram: false,
    receivedText: '',
  };
}

/** Sends each call to a random node of a simulated cluster, over its network. */
export class SimulatedCaller implements CallerPort {
  private requestCount = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly endpoint: NetworkEndpoint,
    private readonly runtime: Runtime,
  ) {}

  call(call: CallerCall, done: (result: CallerResult) => void): void {
    const { cluster, runtime } = this;
    const node = runtime.random.pick(cluster.nodeNames);
    const target = cluster.endpointOf(node);
    this.requestCount += 1;
    const name = `c-${this.endpoint.process.name}-${this.requestCount}`;
    const request = requestOf(call, name, CALL_TIMEOUT_MILLISECONDS);
    const failUndelivered = (): void => {
      done({ type: 'failed', error: notRun('Unavailable', 'no connection', 0.2) });
    };
    const requestOrder = { lastArrival: 0 };
    const responseOrder = { lastArrival: 0 };
    const deliver = (): void => {
      const gateway = cluster.node(node)?.gateway;
      gateway?.submit(request, false, (event) => {
        if (event.type !== 'piece') {
          const arrive = (): void => done(resultOf(event));
          cluster.network.deliverInOrder(
            responseOrder,
            target,
            this.endpoint,
            arrive,
            () => undefined,
          );
        }
      });
    };
    cluster.network.deliverInOrder(requestOrder, this.endpoint, target, deliver, failUndelivered);
  }

  endProgram(script: ProgramScript): void {
    const { cluster, runtime } = this;
    const node = runtime.random.pick(cluster.nodeNames);
    this.requestCount += 1;
    const id = `e-${this.endpoint.process.name}-${this.requestCount}`;
    const requestOrder = { lastArrival: 0 };
    const deliver = (): void => {
      cluster
        .node(node)
        ?.gateway.requestProgram(id, 'end', script.name, script.group, () => undefined);
    };
    cluster.network.deliverInOrder(
      requestOrder,
      this.endpoint,
      cluster.endpointOf(node),
      deliver,
      () => undefined,
    );
  }
}

function resultOf(event: Exclude<CallEvent, { type: 'piece' }>): CallerResult {
  if (event.type === 'failed') {
    return event;
  }
  const { text, usage } = event.answer;
  return { type: 'answered', text, cachedTokens: usage.cachedTokens };
}
