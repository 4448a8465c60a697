/**
 * The replicas that keep turns and accounts. The record is changed by compare-and-swap only, one
 * member at a time, so that majorities of neighbouring epochs always share a replica.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';

/** One replica. */
export interface Member {
  /** Unique to a machine at an address; an empty machine at another address is another member. */
  readonly id: string;
  /** Name of the machine, as operators call it. */
  readonly node: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /**
   * Stands on this replica's disk as well for as long as it has acknowledged nothing as a member: a disk
   * that is empty because it is new is told from one that is empty because it was lost.
   */
  readonly joinToken?: JoinToken | undefined;
}

/** Names one joining of one replica. */
export type JoinToken = string & { readonly brand: 'JoinToken' };

/** The members of one epoch. Fields that a newer build has added stay in it, whoever changes the record. */
export interface MemberRecord {
  /** Rises by one with each change. */
  readonly epoch: number;
  readonly members: readonly Member[];
}

/** Fewest members that a record is to name. */
export const MINIMUM_MEMBERS = 3;

/**
 * Members that are needed so that a majority is left, and with it every acknowledged write, when
 * `lossCount` of them are lost at once. More would make each write and each levelling dearer and bear
 * no more losses: further replicas stand by.
 */
export function membersToTolerate(lossCount: number): number {
  return Math.max(MINIMUM_MEMBERS, 2 * lossCount + 1);
}

const JoinTokenType = new t.Type<JoinToken>(
  'JoinToken',
  (value): value is JoinToken => typeof value === 'string',
  (value, context) =>
    typeof value === 'string' ? t.success(value as JoinToken) : t.failure(value, context),
  t.identity,
);

const MemberRecordType = t.type({
  epoch: t.number,
  members: t.array(
    t.intersection([
      t.type({ id: t.string, node: t.string, host: t.string, port: t.number, zone: t.string }),
      t.partial({ joinToken: JoinTokenType }),
    ]),
  ),
});

/** Replicas that must acknowledge a write. */
export function majorityOf(record: MemberRecord): number {
  return majorityOfCount(record.members.length);
}

function majorityOfCount(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Replicas to read from so that one of them has seen every acknowledged write. */
export function readQuorumOf(record: MemberRecord): number {
  return record.members.length - majorityOf(record) + 1;
}

/** The same when the record before had a member more, as far as a record of this size can have as many. */
export function readQuorumOfPreviousRecord({ members }: MemberRecord): number {
  const previousCount = members.length + 1;
  return Math.min(members.length, previousCount - majorityOfCount(previousCount) + 1);
}

/**
 * Complete replicas to read from so that one of them has every acknowledged write, when so many members
 * may ever have acknowledged one. Of these a majority at least has each write: acknowledgements by a
 * majority of all members come from them alone, and who becomes complete has read from enough of them.
 */
export function recoveryReadQuorum(acknowledgers: number): number {
  return acknowledgers === 0 ? 0 : acknowledgers - majorityOfCount(acknowledgers) + 1;
}

/** The record with one member more. */
export function withMember(record: MemberRecord | undefined, member: Member): MemberRecord {
  const members = [...(record?.members ?? []), member];
  return { ...record, epoch: (record?.epoch ?? 0) + 1, members };
}

/** The record with one member fewer. */
export function withoutMember(record: MemberRecord, id: string): MemberRecord {
  const members = record.members.filter((member) => member.id !== id);
  return { ...record, epoch: record.epoch + 1, members };
}

/** Whether a member is in the record. */
export function hasMember(record: MemberRecord | undefined, id: string): boolean {
  return record?.members.some((member) => member.id === id) ?? false;
}

/** The record as text. */
export function encodeMemberRecord(record: MemberRecord): string {
  return JSON.stringify(record);
}

/** The record of a text; undefined when the text is none. */
export function decodeMemberRecord(text: string): MemberRecord | undefined {
  try {
    const decoded = MemberRecordType.decode(JSON.parse(text));
    return isLeft(decoded) ? undefined : decoded.right;
  } catch {
    return undefined;
  }
}
