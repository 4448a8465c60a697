/**
 * Tells why a replica does nothing about the record of members while that may be wrong: it isn't one of them,
 * or one of them is not heard. Without this nobody sees why a place stays empty.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { WaitReason } from './decide-membership.js';
import { hasMember } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaSync } from './replica-sync.js';

/** What the log is made with. */
export interface MembershipWaitLogOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly sync: ReplicaSync;
}

/** Shortest time between two lines, in milliseconds; a reason that lasts is told once. */
const LOG_INTERVAL_MILLISECONDS = 500;
/** Silence from which on a member is named, in milliseconds: longer than any call to it may take. */
const REPORTED_SILENCE_MILLISECONDS = 1_000;

/** See the head of this file. */
export class MembershipWaitLog {
  private lastLogged = '';
  private nextLogAt = -Infinity;

  constructor(private readonly options: MembershipWaitLogOptions) {}

  /** Notes what was decided; a line follows when that, or who is silent, has changed. */
  update(reason: WaitReason, record: MemberRecord | undefined): void {
    const { self, runtime } = this.options;
    const now = runtime.now();
    const silences = this.silencesOf(record);
    const hasNothingToLog = hasMember(record, self.id) && silences.length === 0;
    const state = hasNothingToLog ? '' : [reason, ...silences.map(({ id }) => id)].join(' ');
    if (state === this.lastLogged || now < this.nextLogAt) {
      return;
    }
    this.lastLogged = state;
    this.nextLogAt = now + LOG_INTERVAL_MILLISECONDS;
    runtime.log('info', 'no change of members', {
      event: 'members.waits',
      epoch: record?.epoch ?? 0,
      reason,
      silent: silences.map(({ id, milliseconds }) => `${id}=${Math.round(milliseconds)}`).join(' '),
    });
  }

  private silencesOf(record: MemberRecord | undefined): { id: string; milliseconds: number }[] {
    const { self, sync } = this.options;
    return (record?.members ?? [])
      .filter(({ id }) => id !== self.id)
      .map(({ id }) => ({ id, milliseconds: sync.silenceOf(id) }))
      .filter(({ milliseconds }) => milliseconds >= REPORTED_SILENCE_MILLISECONDS);
  }
}
