/** The newest record of the members that this process knows, from whatever source. */
import type { Runtime } from '../runtime/runtime.js';
import { decodeMemberRecord, encodeMemberRecord } from './membership.js';
import type { MemberRecord } from './membership.js';

/** See the head of this file. An older record never replaces a newer one. */
export class MemberDirectory {
  private record: MemberRecord | undefined;
  private text = '';
  private readonly listeners: (() => void)[] = [];

  constructor(private readonly runtime: Runtime) {}

  get current(): MemberRecord | undefined {
    return this.record;
  }

  /** The record as text, empty when none is known. */
  get currentText(): string {
    return this.text;
  }

  /** Calls back after each change. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Takes a record as text; true when it was newer. */
  offerText(text: string, source: string): boolean {
    const record = text === '' ? undefined : decodeMemberRecord(text);
    return record !== undefined && this.offer(record, source);
  }

  /** Takes a record; true when it was newer. */
  offer(record: MemberRecord, source: string): boolean {
    if (this.record !== undefined && record.epoch <= this.record.epoch) {
      return false;
    }
    this.record = record;
    this.text = encodeMemberRecord(record);
    this.runtime.log('info', 'members changed', {
      event: 'members.changed',
      epoch: record.epoch,
      members: record.members.map((member) => member.id).join(' '),
      source,
    });
    this.listeners.forEach((listener) => listener());
    return true;
  }
}
