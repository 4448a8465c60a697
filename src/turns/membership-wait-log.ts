/**
 * Logs why a replica leaves the membership record unchanged while the membership is not as it should be: this replica is
 * not a member, or a member is silent, superfluous or awaits its successor. Operators see from it why a vacancy isn't
 * filled.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { WaitReason } from './decide-membership.js';
import { hasMember } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaSync } from './replica-sync.js';

/** Dependencies of a {@link MembershipWaitLog}. */
export interface MembershipWaitLogOptions {
  readonly self: Member;
  readonly runtime: Runtime;
  readonly sync: ReplicaSync;
}

/** Minimum interval between two log entries, in milliseconds; an unchanged reason is logged once. */
const LOG_INTERVAL_MILLISECONDS = 500;
/** Silence after which a member is listed, in milliseconds; not shorter than the timeout of a call to it. */
const REPORTED_SILENCE_MILLISECONDS = 1_000;

/** Rate-limited log of the reasons for which the membership record is left unchanged. */
export class MembershipWaitLog {
  private lastLogged = '';
  private nextLogAt = -Infinity;

  constructor(private readonly options: MembershipWaitLogOptions) {}

  /** Logs the reason when it, or the set of silent members, has changed. */
  update(reason: WaitReason, record: MemberRecord | undefined): void {
    const { self, runtime } = this.options;
    const now = runtime.now();
    const silences = this.silencesOf(record);
    const isDeparting = reason === 'not stable' || reason === 'no successor';
    const hasNothingToLog = hasMember(record, self.id) && silences.length === 0 && !isDeparting;
    const state = hasNothingToLog ? '' : [reason, ...silences.map(({ id }) => id)].join(' ');
    if (state === this.lastLogged || now < this.nextLogAt) {
      return;
    }
    this.lastLogged = state;
    this.nextLogAt = now + LOG_INTERVAL_MILLISECONDS;
    runtime.log('info', 'membership record left unchanged', {
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
