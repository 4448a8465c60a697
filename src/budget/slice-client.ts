/** A program shard's side of budgets: gets slices when calls need them, returns idle ones. */
import type { GroupName, NodeId, ShardId } from '../model/identifiers.js';
import type { LeaderDirectory } from '../replication/leader-directory.js';
import type { ShardHost } from '../replication/shard-host.js';
import { shardOfGroup } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';
import type { Runtime } from '../runtime/runtime.js';
import { sliceOf } from '../program/apply-command.js';
import type { Message, SliceReply, SliceReturnSettled } from '../wire/messages.js';
import { chooseSliceAmount } from './slices.js';

/** Time after which an unanswered request is sent again, in milliseconds. */
const RESEND_MILLISECONDS = 700;
/** Time a slice may lie idle before it goes back, in milliseconds. */
const IDLE_RETURN_MILLISECONDS = 15_000;

/** What the client is made with. */
export interface SliceClientOptions {
  readonly host: ShardHost;
  readonly runtime: Runtime;
  readonly map: ShardMap;
  readonly leaders: LeaderDirectory;
  readonly budgetOf: (group: GroupName) => number;
  readonly send: (to: NodeId, message: Message) => void;
}

/** Called once: true when a new grant has come, false when the budget is used up. */
export type SliceWaiter = (granted: boolean) => void;

/** Slices of one shard, while its node leads it. */
export class SliceClient {
  private readonly waiters = new Map<GroupName, SliceWaiter[]>();
  private readonly sentAt = new Map<string, number>();
  private readonly lastUsedAt = new Map<GroupName, number>();

  constructor(private readonly options: SliceClientOptions) {}

  /** Notes that a group is active here, so its slice is not idle. */
  recordUse(group: GroupName): void {
    this.lastUsedAt.set(group, this.options.runtime.now());
  }

  /** Asks the ledger for tokens; the waiter hears when the answer is in the log. */
  acquire(group: GroupName, needed: number, waiter: SliceWaiter): void {
    const waiters = this.waiters.get(group) ?? [];
    waiters.push(waiter);
    this.waiters.set(group, waiters);
    const slice = sliceOf(this.options.host.state, group);
    if (slice.requestAmount > 0 || waiters.length > 1) {
      return;
    }
    const amount = chooseSliceAmount(needed, this.options.budgetOf(group));
    const number = slice.requestNumber + 1;
    this.options.host.propose({ type: 'requestSlice', group, number, amount }, () =>
      this.sendUnanswered(),
    );
  }

  /** Takes the ledger's answer. */
  receiveReply(message: SliceReply): void {
    const { group, number, granted } = message;
    const slice = sliceOf(this.options.host.state, group);
    if (slice.requestAmount === 0 || slice.requestNumber !== number) {
      return;
    }
    this.options.host.propose({ type: 'receiveSlice', group, number, granted }, (result) => {
      if (result.type === 'committed') {
        this.notifyWaiters(group, granted > 0);
      }
    });
  }

  /** Takes the ledger's word that a return is booked. */
  receiveSettled(message: SliceReturnSettled): void {
    const { group, number } = message;
    this.options.host.propose({ type: 'settleReturn', group, number }, () => undefined);
  }

  /** Repeats what has not been answered and returns idle slices; called about twice a second. */
  tick(): void {
    this.returnIdleSlices();
    this.sendUnanswered();
  }

  /** Forgets everything of a leadership that is over. */
  reset(): void {
    const waiting = [...this.waiters.values()].flat();
    this.waiters.clear();
    this.sentAt.clear();
    waiting.forEach((waiter) => waiter(false));
  }

  private notifyWaiters(group: GroupName, granted: boolean): void {
    const waiters = this.waiters.get(group) ?? [];
    this.waiters.delete(group);
    waiters.forEach((waiter) => waiter(granted));
  }

  private sendUnanswered(): void {
    const { host } = this.options;
    if (!host.canServe()) {
      return;
    }
    for (const [group, slice] of host.state.slices) {
      if (slice.requestAmount > 0) {
        this.sendToLedger(group, `request:${group}:${slice.requestNumber}`, (ledgerShard) => ({
          type: 'sliceRequest',
          ledgerShard,
          group,
          holder: host.shard,
          number: slice.requestNumber,
          amount: slice.requestAmount,
        }));
      }
      if (slice.returnAmount > 0) {
        this.sendToLedger(group, `return:${group}:${slice.returnNumber}`, (ledgerShard) => ({
          type: 'sliceReturn',
          ledgerShard,
          group,
          holder: host.shard,
          number: slice.returnNumber,
          amount: slice.returnAmount,
        }));
      }
    }
  }

  private sendToLedger(
    group: GroupName,
    key: string,
    build: (ledgerShard: ShardId) => Message,
  ): void {
    const now = this.options.runtime.now();
    const last = this.sentAt.get(key);
    if (last !== undefined && now - last < RESEND_MILLISECONDS) {
      return;
    }
    const shard = shardOfGroup(this.options.map, group);
    const target = this.options.leaders.targetOf(shard);
    if (last !== undefined) {
      this.options.leaders.suspect(shard, target);
    }
    this.sentAt.set(key, now);
    this.options.send(this.options.leaders.targetOf(shard), build(shard));
  }

  private returnIdleSlices(): void {
    const { host, runtime } = this.options;
    for (const [group, slice] of host.state.slices) {
      const idle = runtime.now() - (this.lastUsedAt.get(group) ?? 0) > IDLE_RETURN_MILLISECONDS;
      const settled = slice.reserved === 0 && slice.requestAmount === 0 && slice.returnAmount === 0;
      if (idle && settled && slice.available > 0 && !this.waiters.has(group)) {
        const number = slice.returnNumber + 1;
        const amount = slice.available;
        this.recordUse(group);
        host.propose({ type: 'returnSlice', group, number, amount }, () => undefined);
      }
    }
  }
}
