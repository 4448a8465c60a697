/** Opens the addresses on which a process listens, and waits for those that are not available yet. */
import type { Socket } from 'node:dgram';
import type { EventEmitter } from 'node:events';
import type { Server } from 'node:net';
import type { Runtime } from './runtime.js';

/** An address to listen on. */
export interface ListenerAddress {
  /** What the address is for, as the log names it. */
  readonly purpose: string;
  readonly host: string;
  readonly port: number;
  /** Length of the queue of connections that are not accepted yet. @default the system's own */
  readonly backlog?: number;
}

/** Thrown when a process can't listen on an address, for a reason that doesn't pass by itself. */
export class ListenError extends Error {}

/** Errors that pass once another process frees the address, or the machine gets it. */
const PASSING_ERRORS: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);
/** Delay after the first failed attempt, in milliseconds; each further one doubles it. */
const FIRST_DELAY_MILLISECONDS = 50;
/** Upper bound of the delay, in milliseconds. */
const MAXIMUM_DELAY_MILLISECONDS = 1_000;

/** Only every attempt whose number is a power of two is logged. */
function isLogged(attempt: number): boolean {
  return Number.isInteger(Math.log2(attempt));
}

/** The listeners of one process. */
export class Listeners {
  private readonly waiting = new Set<EventEmitter>();

  constructor(private readonly runtime: Pick<Runtime, 'log' | 'setTimer'>) {}

  /** Whether all addresses are open that were asked for. */
  get areOpen(): boolean {
    return this.waiting.size === 0;
  }

  /** Starts a server on an address; calls back once it listens. */
  listen(server: Server, address: ListenerAddress, done?: () => void): void {
    const { host, port, backlog } = address;
    const options = backlog === undefined ? { host, port } : { host, port, backlog };
    this.open(server, address, () => server.listen(options), done);
  }

  /** Binds a UDP socket to an address; calls back once it is bound. */
  bind(socket: Socket, address: ListenerAddress, done?: () => void): void {
    this.open(socket, address, () => socket.bind(address.port, address.host), done);
  }

  /** Tries until the address is open or `target` is closed. */
  private open(
    target: EventEmitter,
    address: ListenerAddress,
    start: () => void,
    done?: () => void,
  ): void {
    let attempt = 0;
    let cancelTimer = (): void => undefined;
    const tryOnce = (): void => {
      attempt += 1;
      try {
        start();
      } catch (cause) {
        onError(cause as Error);
      }
    };
    const onError = (cause: Error & { code?: string }): void => {
      if (!PASSING_ERRORS.has(cause.code)) {
        stopWaiting();
        this.fail(address, cause);
      } else if (this.waiting.has(target)) {
        this.logWaiting(address, cause.code ?? '', attempt);
        const delay = FIRST_DELAY_MILLISECONDS * 2 ** (attempt - 1);
        const limited = Math.min(delay, MAXIMUM_DELAY_MILLISECONDS);
        cancelTimer = this.runtime.setTimer(limited, tryOnce);
      }
    };
    const onListening = (): void => {
      stopWaiting();
      if (attempt > 1) {
        const fields = { event: 'listener.opened', ...this.fieldsOf(address), attempt };
        this.runtime.log('info', 'address available, listening', fields);
      }
      done?.();
    };
    const stopWaiting = (): void => {
      cancelTimer();
      this.waiting.delete(target);
      target.off('error', onError).off('listening', onListening).off('close', stopWaiting);
    };
    this.waiting.add(target);
    target.on('error', onError).on('listening', onListening).on('close', stopWaiting);
    tryOnce();
  }

  private fieldsOf({ purpose, host, port }: ListenerAddress): Record<string, string | number> {
    return { purpose, host, port };
  }

  private logWaiting(address: ListenerAddress, reason: string, attempt: number): void {
    if (isLogged(attempt)) {
      const fields = { event: 'listener.waiting', ...this.fieldsOf(address), reason, attempt };
      this.runtime.log('warn', 'address not available, trying again', fields);
    }
  }

  /** Throws outside of the caller, which may contain exceptions of its own work. */
  private fail({ purpose, host, port }: ListenerAddress, cause: Error): void {
    const message = `can't listen for ${purpose} on ${host}:${port}: ${cause.message}`;
    process.nextTick(() => {
      throw new ListenError(message, { cause });
    });
  }
}
