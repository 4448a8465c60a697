/** Connections to all runners: one agent an address, and probes of addresses that fell silent. */
import { connect } from 'node:net';
import type { Runtime } from '../../runtime/runtime.js';
import { addressOf } from '../runners/runner.js';
import type { Runner } from '../runners/runner.js';
import { RunnerAgent } from './runner-agent.js';

/** Time that a connection to a runner may take to come up, in milliseconds. */
export const CONNECT_MILLISECONDS = 250;
/** Connections to one runner where its service tells no limit. */
const DEFAULT_CONNECTIONS = 64;

/** See the head of this file. */
export class RunnerConnections {
  private readonly agents = new Map<string, RunnerAgent>();
  private readonly pendingProbes = new Map<string, ((reachable: boolean) => void)[]>();

  constructor(private readonly runtime: Runtime) {}

  /** The agent of a runner's address. */
  agentFor(runner: Runner, maximumConnections = DEFAULT_CONNECTIONS): RunnerAgent {
    const address = addressOf(runner);
    let agent = this.agents.get(address);
    if (agent === undefined) {
      agent = new RunnerAgent(maximumConnections);
      this.agents.set(address, agent);
    }
    return agent;
  }

  /** Whether a connection to a runner is open that carries no request. */
  hasIdle(runner: Runner): boolean {
    return this.agents.get(addressOf(runner))?.hasIdle ?? false;
  }

  /** Closes all connections to an address: what is under way there fails at once. */
  closeAll(runner: Runner): void {
    const address = addressOf(runner);
    this.agents.get(address)?.destroy();
    this.agents.delete(address);
  }

  /** Tells whether an address still takes connections. */
  probe(runner: Runner, done: (reachable: boolean) => void): void {
    const address = addressOf(runner);
    const waiting = this.pendingProbes.get(address);
    if (waiting !== undefined) {
      waiting.push(done);
      return;
    }
    this.pendingProbes.set(address, [done]);
    const socket = connect({ host: runner.host, port: runner.port });
    const finish = (reachable: boolean): void => {
      const listeners = this.pendingProbes.get(address) ?? [];
      this.pendingProbes.delete(address);
      cancel();
      socket.destroy();
      listeners.forEach((listener) => listener(reachable));
    };
    let isFinished = false;
    const once = (reachable: boolean): void => {
      if (!isFinished) {
        isFinished = true;
        finish(reachable);
      }
    };
    const cancel = this.runtime.setTimer(CONNECT_MILLISECONDS, () => once(false));
    socket.on('connect', () => once(true));
    socket.on('error', () => once(false));
  }
}
