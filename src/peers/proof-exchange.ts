/**
 * Exchange of proofs that the configuration in force is the newest one: gateways ask one another
 * for their newest proof. Unrequested messages may have been buffered for any length of time and
 * therefore prove nothing. An answer proves the configuration as of the time at which the question
 * was sent, less the age stated in the answer. Each process has its own clock, so answers to an
 * earlier life of the process are ignored.
 */
import type { ConfigurationProof } from '../mirror/configuration-proof.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import { uint32, encodeField, float64, TaggedUnion } from '../wire/fields.js';
import { decodeExtended } from '../wire/sections.js';
import type { DatagramPort } from './datagram-port.js';

/** A question; the answer echoes the asker's life and local time. */
interface ProofQuestion {
  readonly type: 'question';
  readonly life: number;
  readonly askedAt: number;
}

/** The newest proof of the gateway that was asked. */
interface ProofAnswer {
  readonly type: 'answer';
  readonly life: number;
  readonly askedAt: number;
  readonly revision: number;
  /** Age of the proof at the sender of the answer, in milliseconds. */
  readonly ageMilliseconds: number;
}

const message = new TaggedUnion([
  { type: 'question', fields: { life: uint32, askedAt: float64 } },
  {
    type: 'answer',
    fields: { life: uint32, askedAt: float64, revision: float64, ageMilliseconds: float64 },
  },
]);

export interface ProofExchangeOptions {
  readonly runtime: Runtime;
  readonly datagrams: DatagramPort;
  readonly proof: ConfigurationProof;
  /** Returns the hosts to ask in this round. */
  readonly hostsToAsk: () => readonly string[];
  /** Whether this gateway needs proofs at all. */
  readonly isNeeded: () => boolean;
  /** Called with the size of each message that is sent. */
  readonly onSent?: (host: string, bytes: number) => void;
}

/** Time between two rounds of questions, in milliseconds. */
const ASK_INTERVAL_MILLISECONDS = 400;
/** A gateway asks only when its own proof is at least this old, in milliseconds. */
const FRESH_PROOF_MILLISECONDS = 300;
const MAXIMUM_LIFE = 2 ** 31;

/** Asks peers for configuration proofs and answers their questions. */
export class ProofExchange {
  private readonly cancelTimer: CancelTimer;
  /** Random number of this run of the process. */
  private readonly life: number;

  constructor(private readonly options: ProofExchangeOptions) {
    const { runtime, datagrams } = options;
    this.life = runtime.random.integer(1, MAXIMUM_LIFE);
    datagrams.onDatagram((bytes, from) => this.receive(bytes, from));
    this.cancelTimer = setRepeatingTimer(runtime, ASK_INTERVAL_MILLISECONDS, () => this.ask());
  }

  /** Stops asking and answering. */
  close(): void {
    this.cancelTimer();
    this.options.datagrams.close();
  }

  private ask(): void {
    const { runtime, proof, hostsToAsk, isNeeded } = this.options;
    if (!isNeeded() || proof.ageMilliseconds < FRESH_PROOF_MILLISECONDS) {
      return;
    }
    const question = encodeField(message, {
      type: 'question',
      life: this.life,
      askedAt: runtime.now(),
    });
    new Set(hostsToAsk()).forEach((host) => this.send(question, host));
  }

  private send(bytes: Uint8Array, host: string): void {
    this.options.datagrams.send(bytes, host);
    this.options.onSent?.(host, bytes.length);
  }

  private receive(bytes: Uint8Array, from: string): void {
    const received = decode(bytes);
    if (received?.type === 'question') {
      this.handleQuestion(received, from);
    } else if (received?.type === 'answer') {
      this.handleAnswer(received);
    }
  }

  private handleQuestion({ life, askedAt }: ProofQuestion, asker: string): void {
    const { proof } = this.options;
    const { proven, ageMilliseconds } = proof;
    if (proven !== undefined) {
      const { revision } = proven;
      this.send(
        encodeField(message, { type: 'answer', life, askedAt, revision, ageMilliseconds }),
        asker,
      );
    }
  }

  private handleAnswer({ life, askedAt, revision, ageMilliseconds }: ProofAnswer): void {
    const { proof, runtime } = this.options;
    // An answer to an earlier life, or one with an invalid time, would claim too new a proof.
    if (life === this.life && askedAt <= runtime.now() && ageMilliseconds >= 0) {
      proof.note({ revision, provenAt: askedAt - ageMilliseconds });
    }
  }
}

/** Decodes a message and ignores sections behind it; returns undefined for malformed input. */
function decode(bytes: Uint8Array): ProofQuestion | ProofAnswer | undefined {
  try {
    const decoded = decodeExtended(message, bytes).value as ProofQuestion | ProofAnswer;
    const numbers = Object.values(decoded).filter((value) => typeof value === 'number');
    return numbers.every(Number.isFinite) ? decoded : undefined;
  } catch {
    return undefined;
  }
}
