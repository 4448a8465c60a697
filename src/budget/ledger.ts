/** The ledger shard's side of budgets: grants slices and books returns, each once. */
import type { GroupName, NodeId } from '../model/identifiers.js';
import type { ShardHost } from '../replication/shard-host.js';
import type { Message, SliceRequest, SliceReturn } from '../wire/messages.js';

/** What the ledger is made with. */
export interface LedgerOptions {
  readonly host: ShardHost;
  /** The group's budget in tokens; 0 when the group is unknown. */
  readonly budgetOf: (group: GroupName) => number;
  readonly send: (to: NodeId, message: Message) => void;
}

/** Answers slice messages while its node leads the shard. */
export class Ledger {
  constructor(private readonly options: LedgerOptions) {}

  /** Grants a slice and answers when the grant is committed. */
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

  /** Books a return and answers when it is committed. */
  receiveReturn(from: NodeId, message: SliceReturn): void {
    const { group, holder, number, amount } = message;
    this.options.host.propose({ type: 'bookReturn', group, holder, number, amount }, (result) => {
      if (result.type === 'committed') {
        this.options.send(from, { type: 'sliceReturnSettled', holder, group, number });
      }
    });
  }
}
