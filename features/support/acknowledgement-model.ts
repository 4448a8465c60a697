/**
 * A model of the rule by which a replica becomes complete: members acknowledge writes, join, lose their disks one at a
 * time, and read from a random minimal set of members that the rule requires. There is no background replication, so
 * the rule alone has to preserve every write.
 */
import { pickDistinct } from '../../src/histories/pick-distinct.js';
import type { RandomSource } from '../../src/runtime/random.js';
import {
  MINIMUM_MEMBERS,
  majorityOf,
  readQuorumOf,
  recoveryReadQuorum,
} from '../../src/turns/membership.js';
import type { MemberRecord } from '../../src/turns/membership.js';

/** Faults injected to show that the model detects them. */
export type InjectedFault =
  | 'none'
  /** A member that lost its disk counts as one that has acknowledged nothing. */
  | 'lostCountsAsFresh'
  /** Incomplete members count as if they held no writes that could be missed. */
  | 'onlyCompleteCount';

interface ModelMember {
  readonly id: string;
  standing: 'complete' | 'fresh' | 'lost';
  readonly writes: Set<number>;
}

const STEPS = 60;
const MAXIMUM_MEMBERS = 6;

/** Runs random steps of the model and checks after each that no write can be reported as missing. */
export class AcknowledgementModel {
  private members: ModelMember[] = [{ id: 'm1', standing: 'complete', writes: new Set() }];
  private memberCount = 1;
  private writeCount = 0;
  /** Number of steps that had an effect, by kind. */
  readonly effectiveSteps: Record<string, number> = {};

  constructor(
    private readonly random: RandomSource,
    private readonly injectedFault: InjectedFault,
  ) {}

  /** Runs the model; returns the first write that could be reported as missing, or undefined. */
  run(): string | undefined {
    const steps: Readonly<Record<string, () => boolean>> = {
      write: () => this.write(),
      join: () => this.join(),
      complete: () => this.complete(),
      loseDisk: () => this.loseDisk(),
      leave: () => this.leave(),
      remove: () => this.remove(),
    };
    for (let step = 0; step < STEPS; step += 1) {
      const kind = this.random.pick(Object.keys(steps));
      if (steps[kind]!()) {
        this.effectiveSteps[kind] = (this.effectiveSteps[kind] ?? 0) + 1;
      }
      const missing = this.findMissing();
      if (missing !== undefined) {
        return `step ${step} (${kind}): write ${missing}`;
      }
    }
    return undefined;
  }

  private get record(): MemberRecord {
    const members = this.members.map(({ id }) => ({ id, node: id, host: id, port: 1, zone: id }));
    return { epoch: 1, members };
  }

  private completeMembers(): ModelMember[] {
    return this.members.filter(({ standing }) => standing === 'complete');
  }

  private write(): boolean {
    const complete = this.completeMembers();
    const needed = majorityOf(this.record);
    if (complete.length < needed) {
      return false;
    }
    this.writeCount += 1;
    pickDistinct(this.random, complete, needed).forEach((member) =>
      member.writes.add(this.writeCount),
    );
    return true;
  }

  private join(): boolean {
    if (this.members.length >= MAXIMUM_MEMBERS) {
      return false;
    }
    this.memberCount += 1;
    this.members.push({ id: `m${this.memberCount}`, standing: 'fresh', writes: new Set() });
    return true;
  }

  private complete(): boolean {
    const incomplete = this.members.filter(({ standing }) => standing !== 'complete');
    if (incomplete.length === 0) {
      return false;
    }
    const member = this.random.pick(incomplete);
    const acknowledgers = this.members.filter((other) => this.mayHaveAcknowledged(other, member));
    const needed = recoveryReadQuorum(acknowledgers.length);
    const readable = this.completeMembers();
    if (readable.length < needed) {
      return false;
    }
    for (const other of pickDistinct(this.random, readable, needed)) {
      other.writes.forEach((write) => member.writes.add(write));
    }
    member.standing = 'complete';
    return true;
  }

  /** Whether a recovering member assumes that a member, itself included, may have acknowledged writes. */
  private mayHaveAcknowledged(other: ModelMember, member: ModelMember): boolean {
    switch (this.injectedFault) {
      case 'none':
        return other.standing !== 'fresh';
      case 'lostCountsAsFresh':
        return other.standing === 'complete' || (other === member && other.standing === 'lost');
      case 'onlyCompleteCount':
        return other.standing === 'complete';
    }
  }

  private loseDisk(): boolean {
    const complete = this.completeMembers();
    const isTolerable = this.members.every(({ standing }) => standing !== 'lost');
    if (!isTolerable || complete.length < MINIMUM_MEMBERS) {
      return false;
    }
    const member = this.random.pick(complete);
    member.standing = 'lost';
    member.writes.clear();
    return true;
  }

  /** A complete member leaves once all other complete members, enough for a majority, have read its writes. */
  private leave(): boolean {
    const complete = this.completeMembers();
    if (complete.length <= MINIMUM_MEMBERS) {
      return false;
    }
    const member = this.random.pick(complete);
    const remaining = this.members.filter((other) => other !== member);
    const handoverTargets = complete.filter((other) => other !== member);
    const record = { ...this.record, members: this.record.members.slice(1) };
    if (handoverTargets.length < majorityOf(record)) {
      return false;
    }
    handoverTargets.forEach((target) => member.writes.forEach((write) => target.writes.add(write)));
    this.members = remaining;
    return true;
  }

  /** A silent member is removed once all others are complete and have read each other's writes. */
  private remove(): boolean {
    const silent = this.random.pick(this.members);
    const others = this.members.filter((other) => other !== silent);
    const isAllowed = others.every(({ standing }) => standing === 'complete');
    if (!isAllowed || others.length < MINIMUM_MEMBERS) {
      return false;
    }
    const all = others.flatMap((other) => [...other.writes]);
    others.forEach((other) => all.forEach((write) => other.writes.add(write)));
    this.members = others;
    return true;
  }

  /** Returns a write that a read quorum of complete members lacks, so that it would be reported as missing. */
  private findMissing(): number | undefined {
    const complete = this.completeMembers();
    const needed = readQuorumOf(this.record);
    for (let write = 1; write <= this.writeCount; write += 1) {
      const lacking = complete.filter((member) => !member.writes.has(write));
      if (lacking.length >= needed) {
        return write;
      }
    }
    return undefined;
  }
}
