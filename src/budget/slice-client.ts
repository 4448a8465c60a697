/** The program shard's side of group budgets: acquires slices on demand and returns idle ones. */
import type { GroupName, NodeId, ShardId } from '../model/identifiers.js';
import type { LeaderDirectory } from '../replication/leader-directory.js';
import type { ShardHost } from '../replication/shard-host.js';
import { shardOfGroup } from '../replication/shard-map.js';
import type { ShardMap } from '../replication/shard-map.js';
import type { Runtime } from '../runtime/runtime.js';
import { sliceOf } from '../program/apply-command.js';
import type { Message, SliceReply, SliceReturnSettled } from '../wire/messages.js';
import { chooseSliceAmount } from './slices.js';

/** Time after which an unanswered message is sent again, in milliseconds. */
const RESEND_MILLISECONDS = 700;
/** Time without use after which a slice is returned, in milliseconds. */
const IDLE_RETURN_MILLISECONDS = 15_000;

/** Dependencies of a `SliceClient`. */
export interface SliceClientOptions {
  readonly host: ShardHost;
  readonly runtime: Runtime;
  readonly map: ShardMap;
  readonly leaders: LeaderDirectory;
  readonly budgetOf: (group: GroupName) => number;
  readonly send: (to: NodeId, message: Message) => void;
}

/**
 * Called once: with true after a grant, with false if the budget is used up or leadership is lost.
 */
export type SliceWaiter = (granted: boolean) => void;

/** Manages the slices of one shard while this node leads it. */
export class SliceClient {
  private readonly waiters = new Map<GroupName, SliceWaiter[]>();
  /** Monotonic time in milliseconds at which each unanswered message was last sent. */
  private readonly sentAt = new Map<string, number>();
  private readonly lastUsedAt = new Map<GroupName, number>();

  constructor(private readonly options: SliceClientOptions) {}

  /** Records that a group's slice is in use, which defers its return. */
  recordUse(group: GroupName): void {
    this.lastUsedAt.set(group, this.options.runtime.now());
  }

  /** Requests tokens from the ledger. The waiter is called once the reply is committed. */
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

  /** Commits the ledger's reply to the pending request and notifies the waiters. */
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

  /** Commits that the ledger has booked a return. */
  receiveSettled(message: SliceReturnSettled): void {
    const { group, number } = message;
    this.options.host.propose({ type: 'settleReturn', group, number }, () => undefined);
  }

  /** Returns idle slices and resends unanswered messages; called several times a second. */
  tick(): void {
    this.returnIdleSlices();
    this.sendUnanswered();
  }

  /** Drops pending requests when leadership ends; their waiters are called with false. */
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
