/**
 * The membership record: the replicas that store turns and accounts. It is changed only by compare-and-swap and by one
 * member at a time, so that majorities of consecutive epochs always overlap.
 */
import { isLeft } from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { isPort } from '../http-client/ip-endpoint.js';

/** One replica in the membership record. */
export interface Member {
  /** Identifies a machine at an address; the same machine at another address is another member. */
  readonly id: string;
  /** The operators' name of the machine. */
  readonly node: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  /**
   * Also stored on the replica's disk while the replica has acknowledged nothing as a member. This distinguishes a new
   * disk from one that was lost: only the new one holds the token.
   */
  readonly joinToken?: JoinToken | undefined;
}

/** Identifies one join of one replica. */
export type JoinToken = string & { readonly brand: 'JoinToken' };

/** The members of one epoch. Unknown fields, added by newer builds, are preserved when the record is changed. */
export interface MemberRecord {
  /** Incremented by each change. */
  readonly epoch: number;
  readonly members: readonly Member[];
}

/** Minimum target number of members. */
export const MINIMUM_MEMBERS = 3;

/**
 * Number of members required so that a majority, and with it every acknowledged write, survives the simultaneous loss
 * of `lossCount` of them. More members would make writes and replication more expensive without tolerating more losses;
 * further replicas remain standbys.
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

/** Number of members that must acknowledge a write. */
export function majorityOf(record: MemberRecord): number {
  return majorityOfCount(record.members.length);
}

function majorityOfCount(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Number of members to read from so that at least one of them holds any given acknowledged write. */
export function readQuorumOf(record: MemberRecord): number {
  return record.members.length - majorityOf(record) + 1;
}

/** The read quorum of a preceding record with one more member, capped at the size of this record. */
export function readQuorumOfPreviousRecord({ members }: MemberRecord): number {
  const previousCount = members.length + 1;
  return Math.min(members.length, previousCount - majorityOfCount(previousCount) + 1);
}

/**
 * Number of complete members that a recovering replica must read from so that at least one of them holds any given
 * acknowledged write, when `acknowledgers` members may ever have acknowledged one. Each write is held by a majority of
 * the acknowledgers: a majority of all members consists of acknowledgers only, and members that become complete have
 * read from enough of them.
 */
export function recoveryReadQuorum(acknowledgers: number): number {
  return acknowledgers === 0 ? 0 : acknowledgers - majorityOfCount(acknowledgers) + 1;
}

/** Returns the next record, with a member added. */
export function withMember(record: MemberRecord | undefined, member: Member): MemberRecord {
  const members = [...(record?.members ?? []), member];
  return { ...record, epoch: (record?.epoch ?? 0) + 1, members };
}

/** Returns the next record, with a member removed. */
export function withoutMember(record: MemberRecord, id: string): MemberRecord {
  const members = record.members.filter((member) => member.id !== id);
  return { ...record, epoch: record.epoch + 1, members };
}

/** Whether the record names a member; false when there is no record. */
export function hasMember(record: MemberRecord | undefined, id: string): boolean {
  return record?.members.some((member) => member.id === id) ?? false;
}

/** Encodes a record as JSON. */
export function encodeMemberRecord(record: MemberRecord): string {
  return JSON.stringify(record);
}

/** Largest epoch; messages carry epochs in 32 bits. */
const MAXIMUM_EPOCH = 0xffff_ffff;

function isEpoch(epoch: number): boolean {
  return Number.isSafeInteger(epoch) && epoch >= 0 && epoch <= MAXIMUM_EPOCH;
}

/** Decodes a JSON record; undefined when the text is malformed. */
export function decodeMemberRecord(text: string): MemberRecord | undefined {
  try {
    const decoded = MemberRecordType.decode(JSON.parse(text));
    if (isLeft(decoded)) {
      return undefined;
    }
    const { epoch, members } = decoded.right;
    return isEpoch(epoch) && members.every(({ port }) => isPort(port)) ? decoded.right : undefined;
  } catch {
    return undefined;
  }
}
