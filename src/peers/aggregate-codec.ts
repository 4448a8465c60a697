/** Binary encoding of aggregates, carried as an extension section of load messages. */
import * as r from 'restructure';
import { WireError } from '../wire/fields.js';
import { MAXIMUM_AMOUNTS } from './aggregates.js';
import type { Aggregate, AggregateRow, AggregateTopic } from './aggregates.js';

/** Size of an encoded row without its amounts: topic, key and number of amounts. */
const ROW_HEAD_BYTES = 6;
const AMOUNT_BYTES = 4;

function sizeOf(aggregates: readonly Aggregate[]): number {
  let size = 0;
  for (const { rows } of aggregates) {
    for (const { amounts } of rows) {
      size += ROW_HEAD_BYTES + AMOUNT_BYTES * Math.min(MAXIMUM_AMOUNTS, amounts.length);
    }
  }
  return size;
}

/** Encodes aggregates; amounts are 32-bit floating point numbers. */
export function encodeAggregates(aggregates: readonly Aggregate[]): Uint8Array {
  const bytes = new Uint8Array(sizeOf(aggregates));
  const stream = new r.EncodeStream(bytes);
  for (const { topic, rows } of aggregates) {
    for (const { key, amounts } of rows) {
      const sent = amounts.slice(0, MAXIMUM_AMOUNTS);
      stream.writeUInt8(topic);
      stream.writeUInt32BE(key);
      stream.writeUInt8(sent.length);
      sent.forEach((amount) => stream.writeFloatBE(amount));
    }
  }
  return bytes;
}

/**
 * Decodes the content of an aggregates section. Throws on truncated input and on amounts that are
 * not finite.
 */
export function decodeAggregates(bytes: Uint8Array): Aggregate[] {
  const stream = new r.DecodeStream(bytes);
  const byTopic = new Map<AggregateTopic, AggregateRow[]>();
  while (stream.pos < bytes.length) {
    const topic = stream.readUInt8();
    const rows = byTopic.get(topic) ?? [];
    byTopic.set(topic, rows);
    rows.push(decodeRow(stream));
  }
  return [...byTopic].map(([topic, rows]) => ({ topic, rows }));
}

function decodeRow(stream: r.DecodeStream): AggregateRow {
  const key = stream.readUInt32BE();
  const length = stream.readUInt8();
  const amounts: number[] = [];
  for (let index = 0; index < length; index += 1) {
    const amount = stream.readFloatBE();
    if (!Number.isFinite(amount)) {
      throw new WireError('aggregate amount is not a finite number');
    }
    amounts.push(amount);
  }
  // Newer builds may append amounts that this build does not read.
  amounts.splice(MAXIMUM_AMOUNTS);
  return { key, amounts };
}
