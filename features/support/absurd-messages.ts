/** Generators of messages that are well formed but senseless, and of frames with wrong bytes. */
import fc from 'fast-check';
import { encodeReplicaMessage } from '../../src/turns/messages.js';
import type { ReplicaMessage } from '../../src/turns/messages.js';
import { anyMessage } from './wire-arbitraries.js';

const LARGEST_TEXT_BYTES = 0xffff;
const ABSURD_NUMBERS = [
  NaN,
  Infinity,
  -Infinity,
  -1,
  -0,
  0.5,
  1e308,
  Number.MIN_VALUE,
  2 ** 53,
  2 ** 32,
] as const;
const ABSURD_TEXTS = [
  '',
  '\0',
  'a\r\nb',
  '\u2028\ufffd',
  '__proto__',
  'x'.repeat(LARGEST_TEXT_BYTES),
] as const;
const ABSURD_RECORDS = [
  '{"epoch":1e999,"members":[]}',
  '{"epoch":-1,"members":[]}',
  '{"epoch":1.5,"members":[]}',
  '{"epoch":4294967297,"members":[]}',
  '{"epoch":"2","members":[]}',
  '[]',
  'null',
] as const;

type Mutable = Record<string, unknown>;

/** Returns a copy in which chosen numbers and texts are replaced by senseless ones. */
function distort(value: unknown, next: () => number, key = ''): unknown {
  const isChosen = next() % 3 === 0;
  if (typeof value === 'number') {
    const isWhole = key === 'call' || key === 'epoch' || key === 'program' || key === 'rank';
    return isChosen && !isWhole ? ABSURD_NUMBERS[next() % ABSURD_NUMBERS.length] : value;
  }
  if (typeof value === 'string') {
    if (key === 'record' || key === 'members') {
      return ABSURD_RECORDS[next() % ABSURD_RECORDS.length];
    }
    const isFixed = ['type', 'outcome', 'state', 'reason'].includes(key);
    return isChosen && !isFixed ? ABSURD_TEXTS[next() % ABSURD_TEXTS.length] : value;
  }
  if (Buffer.isBuffer(value) || typeof value !== 'object' || value === null) {
    return value;
  }
  if (Array.isArray(value)) {
    return value.map((each) => distort(each, next, key === 'members' ? 'member' : key));
  }
  const copy: Mutable = {};
  for (const [name, each] of Object.entries(value)) {
    copy[name] = distort(each, next, name);
  }
  return copy;
}

/** Generates the encoding of a message of any kind with senseless values. */
export const absurdMessage: fc.Arbitrary<Buffer> = fc
  .tuple(anyMessage, fc.infiniteStream(fc.nat(0xffff)))
  .map(([message, choices]) => {
    const next = (): number => choices.next().value;
    return Buffer.from(encodeReplicaMessage(distort(message, next) as ReplicaMessage));
  });

/** Generates such an encoding with a run of its bytes replaced, or cut off after some byte. */
export const mutatedMessage: fc.Arbitrary<Buffer> = fc
  .record({
    bytes: absurdMessage,
    from: fc.double({ min: 0, max: 1, noNaN: true }),
    length: fc.constantFrom(1, 2, 8, LARGEST_TEXT_BYTES),
    value: fc.constantFrom(0, 0x7f, 0x80, 0xff),
    isCut: fc.boolean(),
  })
  .map(({ bytes, from, length, value, isCut }) => {
    const start = Math.floor(from * bytes.length);
    const copy = Buffer.from(bytes);
    return isCut
      ? copy.subarray(0, start)
      : copy.fill(value, start, Math.min(bytes.length, start + length));
  });
