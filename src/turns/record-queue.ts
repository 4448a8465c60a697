/** Sends records to members in batches, without confirmation; one message to a member is under way at a time. */
import type { Member } from './membership.js';

/** Sends a batch to a member and calls back once it was answered, or will not be. */
export type BatchSender<Entry> = (member: Member, entries: Entry[], done: () => void) => void;

/** Largest number of records in a message. */
const MAXIMUM_BATCH = 500;
/** Records that wait for one member; a batch beyond, the oldest are dropped together, since each removal moves all others. */
const MAXIMUM_WAITING = 20_000;

interface MemberQueue<Entry> {
  waiting: Entry[];
  isSending: boolean;
}

/** Queues of the records for each member. */
export class RecordQueue<Entry> {
  private readonly queues = new Map<string, MemberQueue<Entry>>();

  constructor(private readonly sendBatch: BatchSender<Entry>) {}

  /** Sends a record to some members, with the next message to each. */
  add(entry: Entry, members: readonly Member[]): void {
    for (const member of members) {
      const queue = this.queues.get(member.id) ?? { waiting: [], isSending: false };
      this.queues.set(member.id, queue);
      queue.waiting.push(entry);
      if (queue.waiting.length > MAXIMUM_WAITING + MAXIMUM_BATCH) {
        queue.waiting.splice(0, MAXIMUM_BATCH);
      }
      this.send(member, queue);
    }
  }

  private send(member: Member, queue: MemberQueue<Entry>): void {
    if (queue.isSending) {
      return;
    }
    if (queue.waiting.length === 0) {
      this.queues.delete(member.id);
      return;
    }
    queue.isSending = true;
    this.sendBatch(member, queue.waiting.splice(0, MAXIMUM_BATCH), () => {
      queue.isSending = false;
      this.send(member, queue);
    });
  }
}
