/** Bytes of tallies: a section of the messages between gateways. */
import * as r from 'restructure';
import { WireError } from '../wire/fields.js';
import { MAXIMUM_AMOUNTS } from './tallies.js';
import type { Tally, TallyRow, TallyTopic } from './tallies.js';

/** Bytes of a row without its amounts: topic, key, number of amounts. */
const ROW_HEAD_BYTES = 6;
const AMOUNT_BYTES = 4;

function sizeOf(tallies: readonly Tally[]): number {
  let size = 0;
  for (const { rows } of tallies) {
    for (const { amounts } of rows) {
      size += ROW_HEAD_BYTES + AMOUNT_BYTES * Math.min(MAXIMUM_AMOUNTS, amounts.length);
    }
  }
  return size;
}

/** Tallies as bytes; amounts as 32-bit floating point numbers. */
export function encodeTallies(tallies: readonly Tally[]): Uint8Array {
  const bytes = new Uint8Array(sizeOf(tallies));
  const stream = new r.EncodeStream(bytes);
  for (const { topic, rows } of tallies) {
    for (const { key, amounts } of rows) {
      const told = amounts.slice(0, MAXIMUM_AMOUNTS);
      stream.writeUInt8(topic);
      stream.writeUInt32BE(key);
      stream.writeUInt8(told.length);
      told.forEach((amount) => stream.writeFloatBE(amount));
    }
  }
  return bytes;
}

/** Tallies of a section. Throws on bytes that are none, and on amounts that are no numbers. */
export function decodeTallies(bytes: Uint8Array): Tally[] {
  const stream = new r.DecodeStream(bytes);
  const byTopic = new Map<TallyTopic, TallyRow[]>();
  while (stream.pos < bytes.length) {
    const topic = stream.readUInt8();
    const rows = byTopic.get(topic) ?? [];
    byTopic.set(topic, rows);
    rows.push(decodeRow(stream));
  }
  return [...byTopic].map(([topic, rows]) => ({ topic, rows }));
}

function decodeRow(stream: r.DecodeStream): TallyRow {
  const key = stream.readUInt32BE();
  const length = stream.readUInt8();
  const amounts: number[] = [];
  for (let place = 0; place < length; place += 1) {
    const amount = stream.readFloatBE();
    if (!Number.isFinite(amount)) {
      throw new WireError('an amount that is no number');
    }
    amounts.push(amount);
  }
  // A later build may append places that nobody here reads.
  amounts.splice(MAXIMUM_AMOUNTS);
  return { key, amounts };
}
