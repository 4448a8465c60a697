/** The ledger shard's side of group budgets: grants slices and books returned tokens. */
import type { GroupName, NodeId } from '../model/identifiers.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { Message, SliceRequest, SliceReturn } from '../wire/messages.js';

/** Dependencies of a `Ledger`. */
export interface LedgerOptions {
  readonly host: ShardHost;
  /** Returns a group's budget in tokens; 0 if the group is unknown. */
  readonly budgetOf: (group: GroupName) => number;
  readonly send: (to: NodeId, message: Message) => void;
}

/** Answers slice messages while this node leads the ledger shard. */
export class Ledger {
  constructor(private readonly options: LedgerOptions) {}

  /** Proposes a grant and replies once it is committed. */
  receiveRequest(from: NodeId, message: SliceRequest): void {
    const { group, holder, number, amount } = message;
    const budget = this.options.budgetOf(group);
    this.options.host.propose(
      { type: 'grantSlice', group, holder, number, amount, budget },
      (result) => {
        if (result.type === 'committed' && result.outcome.type === 'granted') {
          const { granted } = result.outcome;
          this.options.send(from, { type: 'sliceReply', holder, group, number, granted });
        }
      },
    );
  }

  /** Proposes a booking of returned tokens and replies once it is committed. */
  receiveReturn(from: NodeId, message: SliceReturn): void {
    const { group, holder, number, amount } = message;
    this.options.host.propose({ type: 'bookReturn', group, holder, number, amount }, (result) => {
      if (result.type === 'committed') {
        this.options.send(from, { type: 'sliceReturnSettled', holder, group, number });
      }
    });
  }
}
