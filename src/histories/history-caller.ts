/** Simulated client that runs one program, retries its calls and records the outcomes. */
import type { CallEvent, CallRequest } from '../model/call.js';
import type { Runtime } from '../runtime/runtime.js';
import type { SimulatedCluster } from '../simulation/simulated-cluster.js';
import type { ConnectionOrder, NetworkEndpoint } from '../simulation/simulated-network.js';
import type { RecordedCall, RecordedRun } from './recorded-events.js';

/** A call in the plan of a program. */
export interface PlannedCall {
  readonly service: string;
  readonly kind: 'chat' | 'tool';
  readonly repeatable: boolean;
  readonly streaming: boolean;
  readonly text: string;
  /** Pause before the first attempt. */
  readonly pauseMilliseconds: number;
}

/** A program and its calls in order. */
export interface PlannedProgram {
  readonly program: string;
  readonly group: string;
  readonly calls: readonly PlannedCall[];
}

export interface HistoryCallerOptions {
  readonly cluster: SimulatedCluster;
  readonly run: RecordedRun;
  readonly endpoint: NetworkEndpoint;
  readonly runtime: Runtime;
  readonly plan: PlannedProgram;
  readonly onDone: () => void;
}

const TIMEOUT_MILLISECONDS = 15_000;
const MAXIMUM_ATTEMPTS = 12;
const RETRY_DELAY_MILLISECONDS = 400;
const MAXIMUM_ANSWER_TOKENS = 48;

/** Runs the calls of one program one after another, each with retries over random nodes. */
export class HistoryCaller {
  private sentCount = 0;

  constructor(private readonly options: HistoryCallerOptions) {}

  start(): void {
    this.runCall(0, 1);
  }

  private runCall(index: number, attempt: number): void {
    const { plan, runtime, onDone } = this.options;
    const planned = plan.calls[index];
    if (planned === undefined) {
      this.endProgram();
      onDone();
      return;
    }
    const pause = attempt === 1 ? planned.pauseMilliseconds : RETRY_DELAY_MILLISECONDS;
    runtime.setTimer(pause, () => {
      this.send(planned, index + 1, (call) => this.afterCall(index, attempt, call));
    });
  }

  private afterCall(index: number, attempt: number, call: RecordedCall): void {
    const { result } = call;
    const { onDone } = this.options;
    if (result.type === 'answered') {
      this.runCall(index + 1, 1);
      return;
    }
    const isFinal =
      result.type === 'failed' &&
      ['BudgetSpent', 'Stopped', 'Forbidden'].includes(result.error.tag);
    if (isFinal || attempt >= MAXIMUM_ATTEMPTS) {
      onDone();
      return;
    }
    // Retries are safe whatever happened to the attempt before: nodes detect duplicates by sequence number.
    const mayHaveRun = result.type === 'failed' && result.error.verdict !== 'NotRun';
    if (mayHaveRun && !call.repeatable && attempt > 3) {
      this.runCall(index + 1, 1);
      return;
    }
    this.runCall(index, attempt + 1);
  }

  private send(planned: PlannedCall, sequence: number, done: (call: RecordedCall) => void): void {
    const { cluster, run, endpoint, runtime } = this.options;
    const node = runtime.random.pick(cluster.nodeNames);
    this.sentCount += 1;
    const request = this.createRequest(planned, sequence);
    const call = createRecord(request, planned, node, cluster.clock.now);
    run.calls.push(call);
    const target = cluster.endpointOf(node);
    const requestOrder: ConnectionOrder = { lastArrival: 0 };
    const responseOrder: ConnectionOrder = { lastArrival: 0 };
    const settle = (result: RecordedCall['result']): void => {
      if (call.result.type === 'pending') {
        call.result = result;
        call.endedAt = cluster.clock.now;
        done(call);
      }
    };
    const settleBroken = (): void => settle({ type: 'broken' });
    runtime.setTimer(2 * TIMEOUT_MILLISECONDS, settleBroken);
    cluster.network.deliverInOrder(
      requestOrder,
      endpoint,
      target,
      () => {
        this.watchConnection(node, call, responseOrder, settleBroken);
        // A stopping node closes its listening socket before its process ends.
        if (cluster.node(node)?.acceptsConnections === false) {
          settle({ type: 'failed', error: connectionRefusedError() });
          return;
        }
        const gateway = cluster.node(node)?.gateway;
        const forwardEvent = (event: CallEvent): void =>
          cluster.network.deliverInOrder(
            responseOrder,
            target,
            endpoint,
            () => this.receive(call, event, settle),
            settleBroken,
          );
        gateway?.submit(request, planned.streaming, forwardEvent);
      },
      // The request never arrived: the connection was refused.
      () => settle({ type: 'failed', error: connectionRefusedError() }),
    );
  }

  /** Reports a broken connection once the process at its other end is gone. */
  private watchConnection(
    node: string,
    call: RecordedCall,
    responseOrder: ConnectionOrder,
    settleBroken: () => void,
  ): void {
    const { cluster, runtime } = this.options;
    const instance = cluster.node(node);
    const poll = (): void => {
      if (call.result.type !== 'pending') {
        return;
      }
      // The connection ends only after everything that was sent on it has arrived.
      const allArrived = cluster.clock.now > responseOrder.lastArrival;
      if (allArrived && cluster.node(node) !== instance) {
        settleBroken();
        return;
      }
      runtime.setTimer(100, poll);
    };
    runtime.setTimer(100, poll);
  }

  private receive(
    call: RecordedCall,
    event: CallEvent,
    settle: (result: RecordedCall['result']) => void,
  ): void {
    if (event.type === 'piece') {
      call.streamed += event.text;
    } else if (event.type === 'failed') {
      settle({ type: 'failed', error: event.error });
    } else {
      const { text, usage } = event.answer;
      settle({ type: 'answered', text, tokens: usage.promptTokens + usage.completionTokens });
    }
  }

  private createRequest(planned: PlannedCall, sequence: number): CallRequest {
    const { plan } = this.options;
    const chat = planned.kind === 'chat';
    return {
      call: `c-${plan.program}-${this.sentCount}`,
      program: plan.program,
      group: plan.group,
      service: planned.service,
      callClass: 'interactive',
      sequence,
      idempotencyKey: '',
      repeatable: planned.repeatable,
      messages: chat ? [{ role: 'user', content: planned.text }] : [],
      payload: chat ? '' : planned.text,
      maximumTokens: MAXIMUM_ANSWER_TOKENS,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      endsProgram: false,
      receivedText: '',
    };
  }

  private endProgram(): void {
    const { cluster, run, plan, runtime } = this.options;
    const node = cluster.node(runtime.random.pick(cluster.nodeNames));
    const { program, group } = plan;
    node?.gateway.requestProgram(`end-${program}`, 'end', program, group, (result) => {
      if (result.status === 200) {
        run.endedPrograms.push(program);
      }
    });
  }
}

function connectionRefusedError(): {
  tag: 'Unavailable';
  verdict: 'NotRun';
  detail: string;
  retryAfterSeconds: number;
} {
  return { tag: 'Unavailable', verdict: 'NotRun', detail: 'refused', retryAfterSeconds: 1 };
}

function createRecord(
  request: CallRequest,
  planned: PlannedCall,
  node: string,
  sentAt: number,
): RecordedCall {
  return {
    call: request.call,
    program: request.program,
    group: request.group,
    sequence: request.sequence,
    service: request.service,
    kind: planned.kind,
    repeatable: planned.repeatable,
    messages: request.messages,
    payload: request.payload,
    maximumTokens: request.maximumTokens,
    node,
    sentAt,
    streamed: '',
    streaming: planned.streaming,
    result: { type: 'pending' },
    endedAt: Infinity,
  };
}
