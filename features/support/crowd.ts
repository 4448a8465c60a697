/** Connections that send what they are told to, whatever comes back, and leave together. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Time after which a crowd leaves, though not all of it was taken, in milliseconds. */
const LONGEST_MILLISECONDS = 8_000;
/** Time for which a crowd stays once all of it was taken, in milliseconds. */
const STAY_MILLISECONDS = 2_500;

/** What one connection of a crowd does. */
export interface CrowdMember {
  readonly host: string;
  readonly port: number;
  /** Bytes that it sends, one part after another, as fast as they are taken. */
  readonly parts: Iterable<Buffer>;
  /** Whether it reads, and discards, what comes back. */
  readonly reads: boolean;
  /** Whether it leaves as soon as all of its bytes were taken. */
  readonly leavesEarly?: boolean;
}

class CrowdConnection {
  private readonly socket: Socket;
  private readonly parts: Iterator<Buffer>;
  /** Resolves once all bytes were taken, or the connection has closed. */
  readonly whenSent: Promise<void>;

  constructor(private readonly member: CrowdMember) {
    const { host, port, parts, reads } = member;
    this.parts = parts[Symbol.iterator]();
    this.socket = connect({ host, port });
    if (reads) {
      this.socket.resume();
    }
    this.whenSent = new Promise((settle) => {
      this.socket.on('error', () => undefined);
      this.socket.on('close', () => settle());
      this.socket.on('connect', () => this.send(settle));
      this.socket.on('drain', () => this.send(settle));
    });
  }

  leave(): void {
    this.socket.destroy();
  }

  private send(settle: () => void): void {
    for (let part = this.parts.next(); ; part = this.parts.next()) {
      if (part.done === true) {
        settle();
        if (this.member.leavesEarly === true) {
          this.leave();
        }
        return;
      }
      if (!this.socket.writable || !this.socket.write(part.value)) {
        return;
      }
    }
  }
}

/** Lets a crowd come, send and leave; resolves once all of its connections are closed. */
export async function runCrowd(members: readonly CrowdMember[]): Promise<void> {
  const connections = members.map((member) => new CrowdConnection(member));
  const whenSent = Promise.all(connections.map((connection) => connection.whenSent));
  await Promise.race([whenSent.then(() => sleep(STAY_MILLISECONDS)), sleep(LONGEST_MILLISECONDS)]);
  connections.forEach((connection) => connection.leave());
}
