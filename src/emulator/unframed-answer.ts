/** Answers with neither a length nor chunks: only the end of their connection shows where they end. */
import type { Socket } from 'node:net';

/** How far an unframed answer is sent, and what then becomes of its connection. */
export type UnframedBehaviour =
  /** Sent whole; the connection ends in order. */
  | 'unframed'
  /** Reset together with the head. */
  | 'resetAfterHead'
  /** Reset together with an event, or with the first half of a plain body. */
  | 'resetBetweenEvents'
  /** Reset together with a part of an event. */
  | 'resetWithinEvent'
  /** Ended in order after a part of an event. */
  | 'endWithinEvent';

/** Behaviours of answers that are broken off. */
export const BREAKING_BEHAVIOURS: readonly UnframedBehaviour[] = [
  'resetAfterHead',
  'resetBetweenEvents',
  'resetWithinEvent',
  'endWithinEvent',
];

interface Ending {
  /** Share of the parts of the body that is sent. */
  readonly share: number;
  /** Whether half of the next part is sent as well. */
  readonly isWithinPart: boolean;
  readonly isReset: boolean;
}

const ENDINGS: Readonly<Record<UnframedBehaviour, Ending>> = {
  unframed: { share: 1, isWithinPart: false, isReset: false },
  resetAfterHead: { share: 0, isWithinPart: false, isReset: true },
  resetBetweenEvents: { share: 0.5, isWithinPart: false, isReset: true },
  resetWithinEvent: { share: 0.5, isWithinPart: true, isReset: true },
  endWithinEvent: { share: 0.5, isWithinPart: true, isReset: false },
};

/** Returns whether a behaviour is one of unframed answers. */
export function isUnframed(behaviour: string): behaviour is UnframedBehaviour {
  return behaviour in ENDINGS;
}

/** An unframed answer to send. */
export interface UnframedAnswer {
  readonly headers: Readonly<Record<string, string>>;
  /** Parts of the body, sent one after another. */
  readonly parts: readonly string[];
  /** Time before each further part, in milliseconds. */
  readonly pauseMilliseconds: number;
  readonly behaviour: UnframedBehaviour;
}

/**
 * Sends an unframed answer. The last bytes and the end of the connection leave together, so that a receiver that does not
 * look closely finds both at once.
 */
export function sendUnframed(socket: Socket, answer: UnframedAnswer): void {
  const { share, isWithinPart, isReset } = ENDINGS[answer.behaviour];
  const count = Math.floor(answer.parts.length * share);
  const sent = answer.parts.slice(0, count);
  const next = answer.parts[count];
  if (isWithinPart && next !== undefined) {
    sent.push(next.slice(0, next.length / 2));
  }
  const lines = Object.entries(answer.headers).map(([key, value]) => `${key}: ${value}\r\n`);
  const head = `HTTP/1.1 200 OK\r\n${lines.join('')}connection: close\r\n\r\n`;
  const pieces = [head + (sent[0] ?? ''), ...sent.slice(1)];
  const sendNext = (index: number): void => {
    if (socket.destroyed) {
      return;
    }
    const piece = pieces[index]!;
    if (index < pieces.length - 1) {
      socket.write(piece);
      setTimeout(() => sendNext(index + 1), answer.pauseMilliseconds);
    } else if (isReset) {
      socket.write(piece);
      socket.resetAndDestroy();
    } else {
      socket.end(piece);
    }
  };
  sendNext(0);
}
