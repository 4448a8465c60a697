/** The newest membership record known to this process: from the store, the disk, or other processes. */
import type { Runtime } from '../runtime/runtime.js';
import { decodeMemberRecord, encodeMemberRecord } from './membership.js';
import type { MemberRecord } from './membership.js';

/** Holds the membership record with the highest epoch seen so far. */
export class MemberDirectory {
  private record: MemberRecord | undefined;
  private text = '';
  private readonly listeners: (() => void)[] = [];

  constructor(private readonly runtime: Runtime) {}

  get current(): MemberRecord | undefined {
    return this.record;
  }

  /** The record as JSON; empty when none is known. */
  get currentText(): string {
    return this.text;
  }

  /** Registers a listener that is called after each change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Adopts a JSON record if it is newer than the current one; returns whether it was. */
  offerText(text: string, source: string): boolean {
    const record = text === '' ? undefined : decodeMemberRecord(text);
    return record !== undefined && this.offer(record, source);
  }

  /** Adopts a record if it is newer than the current one; returns whether it was. */
  offer(record: MemberRecord, source: string): boolean {
    if (this.record !== undefined && record.epoch <= this.record.epoch) {
      return false;
    }
    this.record = record;
    this.text = encodeMemberRecord(record);
    this.runtime.log('info', 'membership record changed', {
      event: 'members.changed',
      epoch: record.epoch,
      members: record.members.map((member) => member.id).join(' '),
      source,
    });
    this.listeners.forEach((listener) => listener());
    return true;
  }
}
