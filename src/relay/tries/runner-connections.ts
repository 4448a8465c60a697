/** Connections to all runners: one HTTP agent per address, and connection probes. */
import { connect } from 'node:net';
import type { Runtime } from '../../runtime/runtime.js';
import { addressOf } from '../runners/runner.js';
import type { Runner } from '../runners/runner.js';
import { RunnerAgent } from './runner-agent.js';

/** Timeout for establishing a connection to a runner. */
export const CONNECT_MILLISECONDS = 250;
/** Largest number of connections to one runner if its service sets no limit. */
const DEFAULT_CONNECTIONS = 64;

/** Bytes that are read from a connection on which nothing is expected; more is not waited for. */
const MAXIMUM_WATCHED_BYTES = 64 * 1024;

/** Called with whether a connection could be opened and, if not, whether it was refused. */
export type ProbeListener = (isReachable: boolean, isRefused: boolean) => void;

/** Returns whether an error shows that no process listens at an address. */
export function isRefusal({ code }: NodeJS.ErrnoException): boolean {
  return code === 'ECONNREFUSED';
}

/** Pool of the agents of all runner addresses. */
export class RunnerConnections {
  private readonly agents = new Map<string, RunnerAgent>();
  private readonly pendingProbes = new Map<string, ProbeListener[]>();

  constructor(private readonly runtime: Runtime) {}

  /** Returns the agent for a runner's address, created with the given limit on first use. */
  agentFor(runner: Runner, maximumConnections = DEFAULT_CONNECTIONS): RunnerAgent {
    const address = addressOf(runner);
    let agent = this.agents.get(address);
    if (agent === undefined) {
      agent = new RunnerAgent(maximumConnections);
      this.agents.set(address, agent);
    }
    return agent;
  }

  /** Returns whether an idle connection to a runner is open. */
  hasIdle(runner: Runner): boolean {
    return this.agents.get(addressOf(runner))?.hasIdle ?? false;
  }

  /** Checks again whether the requests that wait for a connection to a runner's address may be sent there. */
  checkWaiting(runner: Runner): void {
    this.agents.get(addressOf(runner))?.checkWaiting();
  }

  /** Closes all connections to a runner's address; attempts in progress there fail at once. */
  closeAll(runner: Runner): void {
    const address = addressOf(runner);
    this.agents.get(address)?.destroy();
    this.agents.delete(address);
  }

  /** Keeps a connection to a runner open for a time; calls back once, with whether it stood until then. */
  watch(runner: Runner, milliseconds: number, done: (stood: boolean) => void): void {
    const socket = connect({ host: runner.host, port: runner.port });
    const finish = (stood: boolean): void => {
      cancel();
      socket.removeAllListeners('close');
      socket.destroy();
      done(stood);
    };
    const cancel = this.runtime.setTimer(milliseconds, () => finish(!socket.connecting));
    socket.on('error', () => undefined);
    socket.on('close', () => finish(false));
    let receivedBytes = 0;
    socket.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes > MAXIMUM_WATCHED_BYTES) {
        // Whoever sends that much is alive.
        finish(true);
      }
    });
  }

  /** Checks whether a runner's address accepts connections; concurrent probes of one address are merged. */
  probe(runner: Runner, done: ProbeListener): void {
    const address = addressOf(runner);
    const waiting = this.pendingProbes.get(address);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.pendingProbes.set(address, [done]);
    const socket = connect({ host: runner.host, port: runner.port });
    const finish = (isReachable: boolean, isRefused: boolean): void => {
      const listeners = this.pendingProbes.get(address) ?? [];
      this.pendingProbes.delete(address);
      cancel();
      socket.destroy();
      listeners.forEach((listener) => listener(isReachable, isRefused));
    };
    let isFinished = false;
    const once = (isReachable: boolean, isRefused = false): void => {
      if (!isFinished) {
        isFinished = true;
        finish(isReachable, isRefused);
      }
    };
    const cancel = this.runtime.setTimer(CONNECT_MILLISECONDS, () => once(false));
    socket.on('connect', () => once(true));
    socket.on('error', (error) => once(false, isRefusal(error)));
  }
}
