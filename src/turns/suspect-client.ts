/**
 * Lets the members of the replicas keep the requests under which runners ended, and reads them there: gateways that all start
 * at the same time have nobody else to ask.
 */
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
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
const READ_TIMEOUT_MILLISECONDS = 1_000;
/** Time after which members that did not answer are asked again: they may be starting too, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 50;

/** The gateway's client for the suspected requests that the members keep. */
export class SuspectClient {
  private isRecording = false;
  private isRead = false;
  private listeners: (() => void)[] = [];
  /** Ids of the members that are being asked, and of those that have answered. */
  private readonly asked = new Set<string>();
  private readonly answered = new Set<string>();
  private cancelAsking: CancelTimer = () => undefined;

  constructor(private readonly options: SuspectClientOptions) {}

  /** Reads what the members keep, as soon as they are known. */
  read(): void {
    const { runtime } = this.options;
    runtime.setTimer(READ_TIMEOUT_MILLISECONDS, () => this.finishReading());
    this.cancelAsking = setRepeatingTimer(runtime, READ_INTERVAL_MILLISECONDS, () =>
      this.askMissing(),
    );
    this.askMissing();
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

  /** Sends what the members should keep; the next message follows once a majority has answered, or none will. */
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
    let isRecorded = false;
    let unanswered = members.length;
    let answers = 0;
    const request = { type: 'recordSuspects' as const, news: Buffer.from(encodeSuspects(news)) };
    this.callAll(members, request, (reply) => {
      unanswered -= 1;
      answers += reply === undefined ? 0 : 1;
      const isEnough = answers * 2 > members.length;
      if (isRecorded || (!isEnough && unanswered > 0)) {
        return;
      }
      isRecorded = true;
      this.isRecording = false;
      this.record();
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

  /** Asks the members that have not answered. What comes after the time for reading is added all the same. */
  private askMissing(): void {
    const missing = this.members().filter(
      ({ id }) => !this.answered.has(id) && !this.asked.has(id),
    );
    missing.forEach(({ id }) => this.asked.add(id));
    missing.forEach((member) =>
      this.callAll([member], { type: 'readSuspects' }, (reply) => this.handleRead(member, reply)),
    );
  }

  private handleRead({ id }: Member, reply: ReplicaReply | undefined): void {
    const { directory, table } = this.options;
    this.asked.delete(id);
    if (reply === undefined) {
      return;
    }
    this.answered.add(id);
    if (reply.type === 'suspectsRead') {
      table.merge(decodeSuspects(reply.news), false);
    }
    const record = directory.current;
    const answers = this.members().filter((member) => this.answered.has(member.id)).length;
    if (record !== undefined && answers >= majorityOf(record)) {
      this.cancelAsking();
      this.finishReading();
    }
  }

  private finishReading(): void {
    this.isRead = true;
    const { listeners } = this;
    this.listeners = [];
    listeners.forEach((listener) => listener());
  }
}
