/**
 * Lets the members of the replicas keep the requests under which runners ended, in memory, and reads them there: gateways
 * that all start at the same time have nobody else to ask.
 */
import type { Runtime } from '../runtime/runtime.js';
import { decodeSuspects, encodeSuspects } from '../suspects/suspect-news.js';
import type { SuspectTable } from '../suspects/suspect-table.js';
import type { MemberDirectory } from './member-directory.js';
import { majorityOf } from './membership.js';
import type { Member } from './membership.js';
import type { ReplicaReply } from './messages.js';
import type { ReplicaCaller, UnnumberedRequest } from './replica-caller.js';

/** Dependencies of a {@link SuspectClient}. */
export interface SuspectClientOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** The requests that are kept, and to which those that are read are added. */
  readonly table: SuspectTable;
}

const CALL_TIMEOUT_MILLISECONDS = 250;
/** Time after the start after which the table counts as read even if too few members answered, in milliseconds. */
const READ_TIMEOUT_MILLISECONDS = 500;

/** The gateway's client for the suspected requests that the members keep. */
export class SuspectClient {
  private isRecording = false;
  private isRead = false;
  private listeners: (() => void)[] = [];

  constructor(private readonly options: SuspectClientOptions) {}

  /** Reads what the members keep, as soon as they are known. */
  read(): void {
    const { directory, runtime } = this.options;
    runtime.setTimer(READ_TIMEOUT_MILLISECONDS, () => this.finishReading());
    const ask = (): void => {
      if (!this.isRead) {
        this.askAll();
      }
    };
    directory.onChange(ask);
    ask();
  }

  /** Calls back once the members have been read, at once if that was before. */
  whenRead(listener: () => void): void {
    if (this.isRead) {
      listener();
    } else {
      this.listeners.push(listener);
    }
  }

  /** Whether the members have been read, or did not answer in time. */
  get hasRead(): boolean {
    return this.isRead;
  }

  /** Counts as read without asking: nothing can be kept yet. */
  skipReading(): void {
    this.finishReading();
  }

  /** Sends what the members should keep; one message to each member is under way at a time. */
  record(): void {
    if (this.isRecording) {
      return;
    }
    const news = this.options.table.takeUnrecordedNews();
    const members = this.members();
    if (news.length === 0 || members.length === 0) {
      return;
    }
    this.isRecording = true;
    let pending = members.length;
    const request = { type: 'recordSuspects' as const, news: Buffer.from(encodeSuspects(news)) };
    this.callAll(members, request, () => {
      pending -= 1;
      if (pending === 0) {
        this.isRecording = false;
        this.record();
      }
    });
  }

  private members(): readonly Member[] {
    return this.options.directory.current?.members ?? [];
  }

  private callAll(
    members: readonly Member[],
    request: UnnumberedRequest,
    listener: (reply: ReplicaReply | undefined) => void,
  ): void {
    const { caller } = this.options;
    members.forEach((member) => caller.call(member, request, CALL_TIMEOUT_MILLISECONDS, listener));
  }

  private askAll(): void {
    const { directory, table } = this.options;
    const record = directory.current;
    if (record === undefined || record.members.length === 0) {
      return;
    }
    let replies = 0;
    this.callAll(record.members, { type: 'readSuspects' }, (reply) => {
      if (reply?.type === 'suspectsRead') {
        table.merge(decodeSuspects(reply.news), false);
      }
      replies += reply === undefined ? 0 : 1;
      if (replies >= majorityOf(record)) {
        this.finishReading();
      }
    });
  }

  private finishReading(): void {
    this.isRead = true;
    const { listeners } = this;
    this.listeners = [];
    listeners.forEach((listener) => listener());
  }
}
