/**
 * What a turn needs before it may run: the chain that it goes on from, and a reservation in its
 * program's token account. Both need the replicas; requests without them pass at once.
 */
import type { RelayContext } from './relay-context.js';
import type { RelayRequest } from './relay-request.js';
import { nameForTenant } from './tenant.js';

/** Longest time for a reservation or a chain, in milliseconds. */
const STATE_MILLISECONDS = 700;

/** Whether a request may run, and with which body. */
export type Preparation =
  | { readonly tag: 'Ready'; readonly body: Buffer }
  /** Enough replicas say that there is no such earlier turn. */
  | { readonly tag: 'NoSuchTurn' }
  | { readonly tag: 'BudgetSpent' }
  /** Too few replicas answered in time. */
  | { readonly tag: 'OutOfReach'; readonly what: 'turns' | 'account' };

/** Prepares one request and settles its reservation afterwards. */
export class TurnPreparation {
  private reserved = false;

  constructor(
    private readonly context: RelayContext,
    private readonly request: RelayRequest,
    /** Milliseconds until the request's time is over. */
    private readonly remainingMilliseconds: () => number,
  ) {}

  /** Reads the chain, then reserves; calls back once. */
  prepare(done: (preparation: Preparation) => void): void {
    const { previousTurn, route, body, tenant } = this.request;
    if (!route.retained || previousTurn === undefined) {
      this.reserve(body, done);
      return;
    }
    const turn = nameForTenant(tenant, previousTurn);
    this.context.turns.readChain(turn, this.timeout(), (chain) => {
      if (chain.tag === 'found') {
        this.reserve(Buffer.concat([chain.body, body]), done);
      } else {
        done(
          chain.tag === 'missing' ? { tag: 'NoSuchTurn' } : { tag: 'OutOfReach', what: 'turns' },
        );
      }
    });
  }

  /** Gives back what was reserved beyond the tokens handed out. */
  settle(usedTokens: number): void {
    const { program, id, maximumOutputTokens, tenant } = this.request;
    if (this.reserved && program !== undefined) {
      this.reserved = false;
      const account = nameForTenant(tenant, program.program);
      this.context.turns.settle(account, id, maximumOutputTokens, usedTokens);
    }
  }

  private timeout(): number {
    return Math.min(STATE_MILLISECONDS, this.remainingMilliseconds());
  }

  private reserve(body: Buffer, done: (preparation: Preparation) => void): void {
    const { id: turn, program, route, maximumOutputTokens: mostTokens } = this.request;
    const budgetTokens = program?.budgetTokens;
    if (route.kind !== 'stream' || program === undefined || budgetTokens === undefined) {
      done({ tag: 'Ready', body });
      return;
    }
    const account = nameForTenant(this.request.tenant, program.program);
    const reservation = { program: account, turn, mostTokens, budgetTokens };
    this.context.turns.reserve(reservation, this.timeout(), (outcome) => {
      this.reserved = outcome !== 'spent';
      if (outcome === 'granted') {
        done({ tag: 'Ready', body });
      } else {
        done(outcome === 'spent' ? { tag: 'BudgetSpent' } : { tag: 'OutOfReach', what: 'account' });
      }
    });
  }
}
