/** One connection of a client, with the requests that wait for answers on it. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { PLATFORM_HEADER_NAMES as NAMES } from '../platform/header-names.js';
import { AnswerParser, AnswerSyntaxError } from './answer-parser.js';
import type { ParsedAnswer } from './answer-parser.js';
import { bodyErrorOf } from './connection-requests.js';
import type { ConnectionRequest } from './connection-requests.js';
import { SOAK_PORTS } from './platform-process.js';

/** Statuses with which a server refuses bytes that are no request. */
const BAD_REQUEST_STATUSES = new Set([400, 413, 431]);
const SUCCESSES: readonly [number, number] = [200, 299];

/** Options of a connection. */
export interface ClientConnectionOptions {
  readonly host: string;
  /** Called for each answer that is not the one to the request that has waited longest. */
  readonly violate: (promise: string, detail: string) => void;
}

/** A connection on which requests may be sent ahead. */
export class ClientConnection {
  private readonly socket: Socket;
  private readonly parser = new AnswerParser((answer) => this.takeAnswer(answer));
  private readonly waiting: ConnectionRequest[] = [];
  private listeners: (() => void)[] = [];
  private isConnected = false;
  private hasEnded = false;
  /** Whether an answer said that the connection closes. */
  private isClosing = false;
  /** Whether the client has sent bytes that are no request, or half of one. */
  private hasSentBadBytes = false;
  /** Whether the client has half-closed it. */
  private isHalfClosed = false;

  constructor(private readonly options: ClientConnectionOptions) {
    this.socket = connect({ host: options.host, port: SOAK_PORTS.front });
    this.socket.on('connect', () => {
      this.isConnected = true;
      this.notify();
    });
    this.socket.on('data', (bytes: Buffer) => this.take(bytes));
    this.socket.on('end', () => {
      this.parser.end();
      this.end();
    });
    this.socket.on('error', () => this.end());
    this.socket.on('close', () => this.end());
  }

  /** Whether requests can be sent. */
  get isOpen(): boolean {
    return this.isConnected && !this.hasEnded && !this.isClosing && !this.isHalfClosed;
  }

  /** Sends requests at once, as their bytes. */
  send(requests: readonly ConnectionRequest[], text: string): void {
    this.waiting.push(...requests);
    if (this.hasEnded) {
      this.recordEnd();
    } else {
      this.socket.write(text);
    }
  }

  /** Sends bytes that are no request. */
  sendBadBytes(text: string): void {
    this.hasSentBadBytes = true;
    if (!this.hasEnded) {
      this.socket.write(text);
    }
  }

  /** Stops to read. */
  pause(): void {
    this.socket.pause();
  }

  /** Reads again. */
  resume(): void {
    this.socket.resume();
  }

  /** Ends the client's side. */
  halfClose(): void {
    this.abandon();
    this.isHalfClosed = true;
    this.socket.end();
  }

  /** Closes the connection, whatever waits on it. */
  leave(): void {
    this.abandon();
    this.socket.destroy();
    this.end();
  }

  /** Resolves to true once the connection is open, to false if it can't be opened. */
  async opened(): Promise<boolean> {
    await this.until(() => this.isConnected || this.hasEnded, Infinity);
    return this.isOpen;
  }

  /** Resolves to whether no request waits any more, at the latest after some time. */
  answered(milliseconds: number): Promise<boolean> {
    return this.until(() => this.waiting.length === 0 || this.hasEnded, milliseconds);
  }

  /** Resolves to whether the connection has ended, at the latest after some time. */
  ended(milliseconds: number): Promise<boolean> {
    return this.until(() => this.hasEnded, milliseconds);
  }

  private until(isReached: () => boolean, milliseconds: number): Promise<boolean> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const look = (): boolean => {
        if (isReached()) {
          clearTimeout(timer);
          this.listeners = this.listeners.filter((listener) => listener !== look);
          resolve(true);
          return true;
        }
        return false;
      };
      if (look()) {
        return;
      }
      this.listeners.push(look);
      if (milliseconds < Infinity) {
        timer = setTimeout(() => {
          this.listeners = this.listeners.filter((listener) => listener !== look);
          resolve(false);
        }, milliseconds);
      }
    });
  }

  private notify(): void {
    [...this.listeners].forEach((listener) => listener());
  }

  private take(bytes: Buffer): void {
    try {
      this.parser.push(bytes);
    } catch (cause) {
      if (!(cause instanceof AnswerSyntaxError)) {
        throw cause;
      }
      const { host, violate } = this.options;
      const waiting = this.waiting[0]?.id ?? 'no request';
      violate('own answer', `gateway ${host} sent ${cause.message} while ${waiting} waited`);
      this.leave();
    }
  }

  private takeAnswer(answer: ParsedAnswer): void {
    this.isClosing ||= answer.closes;
    const request = this.waiting.shift();
    if (request === undefined) {
      this.checkUnasked(answer);
    } else {
      this.checkAnswer(request, answer);
      request.status = answer.status;
      request.answeredAt = performance.now();
    }
    this.notify();
  }

  /** An answer that no request waits for is a refusal of other bytes, or of a head that was late. */
  private checkUnasked({ status, headers }: ParsedAnswer): void {
    const { host, violate } = this.options;
    const [lowest, highest] = SUCCESSES;
    if (status >= lowest && status <= highest) {
      const id = headers.get(NAMES.requestId) ?? 'no request';
      violate('own answer', `gateway ${host} sent ${status} to ${id} while no request waited`);
    }
  }

  private checkAnswer(request: ConnectionRequest, answer: ParsedAnswer): void {
    const { violate } = this.options;
    const { id } = request;
    const named = answer.headers.get(NAMES.requestId);
    if (named !== undefined && named !== id) {
      const isLater = this.waiting.some((other) => other.id === named);
      violate(isLater ? 'order of answers' : 'own answer', `${id} got the answer to ${named}`);
      return;
    }
    if (BAD_REQUEST_STATUSES.has(answer.status)) {
      const behind = this.hasSentBadBytes ? ', with other bytes behind it' : '';
      violate('own answer', `request ${id} got ${answer.status}${behind}`);
    }
    const error = bodyErrorOf(request, answer, true);
    if (error !== undefined) {
      violate('own answer', `request ${id} ${error}`);
    }
  }

  private end(): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    const { partial } = this.parser;
    const current = this.waiting[0];
    if (partial !== undefined && current !== undefined) {
      const error = bodyErrorOf(current, partial, false);
      if (error !== undefined) {
        this.options.violate('own answer', `request ${current.id} ${error}`);
      }
    }
    this.recordEnd();
    this.socket.destroy();
    this.notify();
  }

  private recordEnd(): void {
    const now = performance.now();
    this.waiting.splice(0).forEach((request) => (request.endedAt = now));
  }

  private abandon(): void {
    this.waiting.forEach((request) => (request.isAbandoned = true));
  }
}
