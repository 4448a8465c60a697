/** Builds the final events of calls. */
import type { CallEvent } from '../model/call.js';
import { NO_USAGE } from '../model/call.js';
import { mayHaveRun } from '../model/verdict.js';
import type { CallRecord } from './program-record.js';

/** Returns the final event of an ended call, built from its record. */
export function resultEvent(record: CallRecord): CallEvent {
  if (record.status === 'answered') {
    const { call, sequence } = record;
    const usage = record.usage ?? NO_USAGE;
    return { type: 'answered', answer: { call, sequence, text: record.text ?? '', usage } };
  }
  const error = record.error ?? mayHaveRun('BackEndFailed', 'The call failed.');
  return { type: 'failed', error };
}
