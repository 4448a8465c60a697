/**
 * Clients of the soak that keep their connections until their gateway ends them, and use them as clients may: with requests sent ahead,
 * answers read late, connections kept unused, half-closed, left midway, or with bytes that are no request.
 */
import type { RandomSource } from '../src/runtime/random.js';
import { ClientConnection } from './client-connection.js';
import { drawRequest, textOf, TIMEOUT_MILLISECONDS } from './connection-requests.js';
import type { ConnectionRequest } from './connection-requests.js';

/** Time beyond that of a request after which a client leaves, in milliseconds. */
const PATIENCE_MILLISECONDS = 3_000;
/** Shortest and longest pause between two uses of a connection, in milliseconds. */
const PAUSE_MILLISECONDS: readonly [number, number] = [5, 35];
/** Pause after a connection that could not be opened, in milliseconds. */
const RECONNECT_MILLISECONDS: readonly [number, number] = [50, 250];
/** Fewest and most requests that are sent ahead. */
const AHEAD: readonly [number, number] = [2, 8];
/** Fewest and most requests of which each is sent before the last one's answer, and the pause between two in milliseconds. */
const OVERTAKING: readonly [number, number] = [4, 16];
const OVERTAKING_MILLISECONDS: readonly [number, number] = [2, 40];
/** Time for which a connection is kept unused, in milliseconds. */
const UNUSED_MILLISECONDS: readonly [number, number] = [300, 4_500];
/** Share of the connections that are first used after this time. */
const UNUSED_FRACTION = 0.15;
/** Time for which nothing is read, in milliseconds, and the longest plain answer then, in bytes. */
const LATE_MILLISECONDS: readonly [number, number] = [200, 2_200];
const LATE_FILL_BYTES = 200_000;
/** Time after which a client leaves, in milliseconds. */
const LEAVE_MILLISECONDS: readonly [number, number] = [0, 60];
/** Time after which bytes that are no request follow one, in milliseconds. */
const BAD_BYTES_MILLISECONDS: readonly [number, number] = [0, 30];
/** Longest time for which the end of a connection is awaited, and interval at which the client looks whether it is to end. */
const END_MILLISECONDS = 6_000;
const POLL_MILLISECONDS = 100;

/** Bytes that are no request, or a part of one. */
const BAD_BYTES = [
  'POST /single/work HTTP/1.1\r\nhost: ',
  'POST /single/work HTTP/1.1\r\nhost: soak.example\r\ncontent-length: x\r\n\r\n',
  'GET /single/work HTTP/7.3\r\n\r\n',
  '\u0000\u0001\u0016\u0003\r\n\r\n',
  '0\r\n\r\n',
];

/** What a client does on a connection, with its weight. */
const BEHAVIOURS = {
  oneAtATime: 4,
  ahead: 4,
  beforeAnswer: 3,
  unused: 0.4,
  readLate: 1,
  halfClose: 0.4,
  leave: 0.4,
  badBytes: 0.4,
} as const;
type Behaviour = keyof typeof BEHAVIOURS;
const BEHAVIOUR_NAMES = Object.keys(BEHAVIOURS) as Behaviour[];
const TOTAL_WEIGHT = Object.values(BEHAVIOURS).reduce((total, weight) => total + weight, 0);

/** State and dependencies that the clients of one soak share. */
export interface ConnectionClientContext {
  readonly random: RandomSource;
  readonly gatewayHosts: readonly string[];
  /** All requests so far, for the checks at the end. */
  readonly requests: ConnectionRequest[];
  readonly violate: (promise: string, detail: string) => void;
  /** Number of connections opened so far. */
  connectionCount: number;
}

/** A connection, with where its requests go. */
interface Place {
  readonly link: ClientConnection;
  readonly host: string;
  readonly connection: number;
  /** Whether the client is to end. */
  readonly isOver: () => boolean;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** A client that uses one connection at a time, until it ends. */
export class ConnectionClient {
  private sentCount = 0;

  constructor(
    private readonly name: string,
    private readonly context: ConnectionClientContext,
  ) {}

  /** Uses connections until `isOver` returns true. */
  async run(isOver: () => boolean): Promise<void> {
    const { context } = this;
    const { random, violate } = context;
    while (!isOver()) {
      const host = random.pick(context.gatewayHosts);
      const link = new ClientConnection({ host, violate });
      if (await link.opened()) {
        context.connectionCount += 1;
        await this.use({ link, host, connection: context.connectionCount, isOver });
      } else {
        await sleep(random.integer(...RECONNECT_MILLISECONDS));
      }
      link.leave();
    }
  }

  private async use(place: Place): Promise<void> {
    const { random } = this.context;
    const { isOver, link } = place;
    if (random.uniform() < UNUSED_FRACTION) {
      await this.keepUnused(place);
    }
    while (!isOver() && link.isOpen) {
      await this.act(this.drawBehaviour(), place);
      await sleep(random.integer(...PAUSE_MILLISECONDS));
    }
    await this.awaitEnd(place, END_MILLISECONDS);
  }

  private drawBehaviour(): Behaviour {
    let draw = this.context.random.uniform() * TOTAL_WEIGHT;
    return BEHAVIOUR_NAMES.find((name) => (draw -= BEHAVIOURS[name]) < 0) ?? 'oneAtATime';
  }

  private async act(behaviour: Behaviour, place: Place): Promise<void> {
    const { random } = this.context;
    const { link } = place;
    const send = (count: number, fillBytes?: number): void =>
      this.send(count, place, behaviour, fillBytes);
    switch (behaviour) {
      case 'oneAtATime':
        send(1);
        return this.awaitAnswers(link);
      case 'ahead':
        send(random.integer(...AHEAD));
        return this.awaitAnswers(link);
      case 'beforeAnswer':
        return this.sendBeforeAnswers(link, send);
      case 'unused':
        await this.keepUnused(place);
        send(1);
        return this.awaitAnswers(link);
      case 'readLate':
        link.pause();
        send(random.integer(...AHEAD), LATE_FILL_BYTES);
        await sleep(random.integer(...LATE_MILLISECONDS));
        link.resume();
        return this.awaitAnswers(link);
      case 'halfClose':
        send(random.integer(1, 2));
        link.halfClose();
        return this.awaitEnd(place, END_MILLISECONDS);
      case 'leave':
        send(random.integer(...AHEAD));
        await sleep(random.integer(...LEAVE_MILLISECONDS));
        return link.leave();
      case 'badBytes':
        send(random.integer(1, 3));
        await sleep(random.integer(...BAD_BYTES_MILLISECONDS));
        link.sendBadBytes(random.pick(BAD_BYTES));
        await this.awaitEnd(place, END_MILLISECONDS);
        return link.leave();
    }
  }

  private async sendBeforeAnswers(
    link: ClientConnection,
    send: (count: number) => void,
  ): Promise<void> {
    const { random } = this.context;
    for (let rest = random.integer(...OVERTAKING); rest > 0 && link.isOpen; rest -= 1) {
      send(1);
      await sleep(random.integer(...OVERTAKING_MILLISECONDS));
    }
    await this.awaitAnswers(link);
  }

  private keepUnused(place: Place): Promise<void> {
    return this.awaitEnd(place, this.context.random.integer(...UNUSED_MILLISECONDS));
  }

  /** Waits until the connection has ended, the client is to end, or some time has passed. */
  private async awaitEnd({ link, isOver }: Place, milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    while (!isOver() && performance.now() < until && !(await link.ended(POLL_MILLISECONDS))) {
      // Neither has happened yet.
    }
  }

  /** Sends requests in one piece. */
  private send(count: number, place: Place, behaviour: Behaviour, fillBytes?: number): void {
    const { random, requests } = this.context;
    const { link, host, connection } = place;
    const sent = Array.from({ length: count }, () => {
      this.sentCount += 1;
      const id = `${this.name}-${this.sentCount}`;
      return drawRequest(random, { id, host, connection, behaviour }, fillBytes);
    });
    requests.push(...sent);
    link.send(sent, sent.map((request) => textOf(request, random)).join(''));
  }

  private async awaitAnswers(link: ClientConnection): Promise<void> {
    if (!(await link.answered(TIMEOUT_MILLISECONDS + PATIENCE_MILLISECONDS))) {
      link.leave();
    }
  }
}
