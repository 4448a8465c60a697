/**
 * Gateways ask one another as of when the configuration is known to be the newest. Word that is told
 * unasked may lie in a buffer for any time, so it proves nothing; an answer is never older than the
 * asker's own time of asking less the age that it tells. Each life of a process has a clock of its own, so
 * what an earlier life asked says nothing to the next one.
 */
import type { ConfigurationProof } from '../mirror/configuration-proof.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import { count, encodeField, real, TaggedUnion } from '../wire/fields.js';
import { decodeGrown } from '../wire/sections.js';
import type { DatagramPort } from './datagram-port.js';

/** A question with the asker's life and local time, which come back in the answer. */
interface ProofQuestion {
  readonly type: 'question';
  readonly life: number;
  readonly askedAt: number;
}

/** What the one asked knows. */
interface ProofAnswer {
  readonly type: 'answer';
  readonly life: number;
  readonly askedAt: number;
  readonly revision: number;
  /** Time since it was proved, as the one asked knows, in milliseconds. */
  readonly ageMilliseconds: number;
}

const message = new TaggedUnion([
  { type: 'question', fields: { life: count, askedAt: real } },
  {
    type: 'answer',
    fields: { life: count, askedAt: real, revision: real, ageMilliseconds: real },
  },
]);

/** What the exchange is made with. */
export interface ProofExchangeOptions {
  readonly runtime: Runtime;
  readonly datagrams: DatagramPort;
  readonly proof: ConfigurationProof;
  /** Hosts to ask in this round. */
  readonly hostsToAsk: () => readonly string[];
  /** Whether a proof is needed here at all. */
  readonly isNeeded: () => boolean;
}

/** Time between two rounds of questions, in milliseconds. */
const ASK_INTERVAL_MILLISECONDS = 400;
/** Age of a proof below which nobody is asked, in milliseconds. */
const FRESH_PROOF_MILLISECONDS = 300;
const MAXIMUM_LIFE = 2 ** 31;

/** See the head of this file. */
export class ProofExchange {
  private readonly cancelTimer: CancelTimer;
  /** Names this life of the process. */
  private readonly life: number;

  constructor(private readonly options: ProofExchangeOptions) {
    const { runtime, datagrams } = options;
    this.life = runtime.random.integer(1, MAXIMUM_LIFE);
    datagrams.onDatagram((bytes, from) => this.receive(bytes, from));
    this.cancelTimer = setRepeatingTimer(runtime, ASK_INTERVAL_MILLISECONDS, () => this.ask());
  }

  /** Ends. */
  close(): void {
    this.cancelTimer();
    this.options.datagrams.close();
  }

  private ask(): void {
    const { runtime, datagrams, proof, hostsToAsk, isNeeded } = this.options;
    if (!isNeeded() || proof.ageMilliseconds < FRESH_PROOF_MILLISECONDS) {
      return;
    }
    const question = encodeField(message, {
      type: 'question',
      life: this.life,
      askedAt: runtime.now(),
    });
    new Set(hostsToAsk()).forEach((host) => datagrams.send(question, host));
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
    const { proof, datagrams } = this.options;
    const { proven, ageMilliseconds } = proof;
    if (proven !== undefined) {
      const { revision } = proven;
      datagrams.send(
        encodeField(message, { type: 'answer', life, askedAt, revision, ageMilliseconds }),
        asker,
      );
    }
  }

  private handleAnswer({ life, askedAt, revision, ageMilliseconds }: ProofAnswer): void {
    const { proof, runtime } = this.options;
    // One to an earlier life or with a broken time would prove too much.
    if (life === this.life && askedAt <= runtime.now() && ageMilliseconds >= 0) {
      proof.note({ revision, provenAt: askedAt - ageMilliseconds });
    }
  }
}

/** A message with whatever sections behind it; undefined when it is none that is known here. */
function decode(bytes: Uint8Array): ProofQuestion | ProofAnswer | undefined {
  try {
    const decoded = decodeGrown(message, bytes).value as ProofQuestion | ProofAnswer;
    const numbers = Object.values(decoded).filter((value) => typeof value === 'number');
    return numbers.every(Number.isFinite) ? decoded : undefined;
  } catch {
    return undefined;
  }
}
