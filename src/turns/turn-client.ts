/**
 * The gateway's client for stored turns and token accounts. Writes wait for a majority of the replicas and are retried
 * until their deadline, under the newest membership record; reads ask the replicas in the gateway's own zone first.
 */
import type { Runtime } from '../runtime/runtime.js';
import type { ZoneDistances } from '../topology/zone-distances.js';
import { fitsBudget } from './account.js';
import type { Account } from './account.js';
import { mergeReservation } from './account.js';
import { ChainCache } from './chain-cache.js';
import { FailedWriteLog } from './failed-write-log.js';
import { withoutPredecessors } from './conversation-turn.js';
import type { ConversationTurn } from './conversation-turn.js';
import type { MemberDirectory } from './member-directory.js';
import { majorityOf, readQuorumOf } from './membership.js';
import type { Member, MemberRecord } from './membership.js';
import type { ReplicaReply } from './messages.js';
import { sortByRank, writeToQuorum } from './quorum-write.js';
import type { MemberOutcomes } from './quorum-write.js';
import type { ReplicaCaller, UnnumberedRequest } from './replica-caller.js';
import { StreamOriginClient } from './stream-origin-client.js';
import { StreamOutputClient } from './stream-output-client.js';
import { VersionExchange } from './version-exchange.js';

/** The outcome of a reservation. */
export type ReserveOutcome = 'granted' | 'spent' | 'unavailable';

/** The result of reading a chain of turns. */
export type ChainResult =
  | { readonly tag: 'found'; readonly body: Buffer }
  /** The turn does not exist: a read quorum of replicas with complete state lacks it. */
  | { readonly tag: 'missing' }
  /** Too few replicas replied conclusively. */
  | { readonly tag: 'unsure' };

/** Dependencies of a {@link TurnClient}. */
export interface TurnClientOptions {
  readonly runtime: Runtime;
  readonly directory: MemberDirectory;
  readonly caller: ReplicaCaller;
  /** Zone of this process; replicas in the same zone are read first. */
  readonly zone: string;
  /** Distances to the zones of the members; orders reads and writes where there are several regions. @default none */
  readonly distances?: ZoneDistances | undefined;
  /** Whether a majority of the replicas is reachable; while it is not, operations fail at once. @default always */
  readonly isReachable?: () => boolean;
  /** How to order replicas in several zones. @default by the hash of the key, and nothing is known to be silent */
  readonly locality?: ReplicaLocality | undefined;
}

/** What a client in a deployment of several zones knows of its replicas. */
export interface ReplicaLocality {
  /** Whether a replica is known not to reply; it is asked last. */
  readonly isSilent: (member: Member) => boolean;
  /** Whether a majority of the replicas may reply; operations that need one fail at once while it is false. */
  readonly mayReachMajority: () => boolean;
}

/** Ranks replicas: those known to be silent last, and otherwise those in the client's own zone first. */
export function rankByLocality(
  zone: string,
  { isSilent }: ReplicaLocality,
): (member: Member) => number {
  return (member) => (isSilent(member) ? 2 : 0) + (member.zone === zone ? 0 : 1);
}

/** The parameters of a reservation. */
export interface ReserveRequest {
  readonly program: string;
  readonly turn: string;
  readonly mostTokens: number;
  readonly budgetTokens: number;
}

/** Pause before an exhausted account is read again, in milliseconds; settlements of ended turns may be in flight. */
const SETTLING_MILLISECONDS = 40;
/** Number of times that an exhausted account is read again. */
const SETTLING_RETRIES = 2;
/** Pause before a failed write is retried, in milliseconds. */
const EPOCH_RETRY_MILLISECONDS = 60;
/** Time after which the next replica is also asked for a chain, in milliseconds. */
const HEDGE_MILLISECONDS = 40;

/** A write to a majority of the members, repeated until its deadline. */
interface ClientWrite {
  /** Determines the order of the members. */
  readonly key: string;
  /** Builds the request for the members of an epoch. */
  readonly request: (epoch: number) => UnnumberedRequest;
  /** Local time, in milliseconds. */
  readonly deadline: number;
  /** Called when no majority acknowledged; returns whether the request is different now and is worth sending at once. */
  readonly adapt?: (outcomes: MemberOutcomes) => boolean;
}

/** Reserves and settles tokens, stores and reads turns, and gives access to what members know of the origins of streams. */
export class TurnClient {
  /** Where streams began that clients may resume. */
  readonly origins: StreamOriginClient;
  /** What clients have received of turns that they may resume. */
  readonly outputs: StreamOutputClient;
  /** Which versions were listed lately. */
  readonly versions: VersionExchange;
  private readonly chains = new ChainCache();
  private readonly failedWrites: FailedWriteLog;
  private readonly rankOf: ((member: Member) => number) | undefined;

  constructor(private readonly options: TurnClientOptions) {
    const { locality, zone } = options;
    this.rankOf = locality && rankByLocality(zone, locality);
    this.failedWrites = new FailedWriteLog(options.runtime);
    this.origins = new StreamOriginClient(options);
    this.outputs = new StreamOutputClient(options);
    this.versions = new VersionExchange(options);
  }

  /** Reserves tokens for a turn; grants only what is durable at a majority of the replicas. */
  reserve(
    request: ReserveRequest,
    timeoutMilliseconds: number,
    done: (outcome: ReserveOutcome) => void,
  ): void {
    if (!this.mayReachMajority) {
      done('unavailable');
      return;
    }
    this.tryReserve(
      request,
      this.options.runtime.now() + timeoutMilliseconds,
      SETTLING_RETRIES,
      done,
    );
  }

  /** Whether a majority of the replicas is reachable. */
  get isReachable(): boolean {
    return this.options.isReachable?.() ?? true;
  }

  /** Whether an operation that needs a majority may succeed. */
  private get mayReachMajority(): boolean {
    return this.isReachable && (this.options.locality?.mayReachMajority() ?? true);
  }

  /** Settles a turn to the tokens that it returned, best effort; replicas propagate the settlement to each other. */
  settle(program: string, turn: string, mostTokens: number, usedTokens: number): void {
    const entry = { program, turn, mostTokens, usedTokens };
    const members = this.options.directory.current?.members ?? [];
    members.forEach((member) => this.options.caller.notify(member, { type: 'settle', entry }));
  }

  /**
   * Stores a turn; calls back with true once it is durable at a majority of the replicas, together with all its predecessors.
   * @param prompt the chain of the predecessors, followed by the input of the turn. It is stored in place of the input if the
   * predecessors expired while the turn ran. @default such a turn is not stored
   */
  storeTurn(
    turn: ConversationTurn,
    timeoutMilliseconds: number,
    done: (stored: boolean) => void,
    prompt?: Buffer,
  ): void {
    const { runtime } = this.options;
    let turnToStore = turn;
    const write: ClientWrite = {
      key: turn.id,
      request: (epoch) => ({ type: 'keep', epoch, turn: turnToStore }),
      deadline: runtime.now() + timeoutMilliseconds,
      adapt: (outcomes) => {
        const canAdapt = prompt !== undefined && turnToStore === turn;
        if (!canAdapt || ![...outcomes.values()].includes('lacksPredecessor')) {
          return false;
        }
        turnToStore = withoutPredecessors(turn, prompt);
        const fields = { event: 'turn.selfContained', turn: turn.id, bytes: prompt.length };
        runtime.log('info', 'the predecessors of a turn are stored with it', fields);
        return true;
      },
    };
    this.write(write, (replies) => {
      if (replies !== undefined) {
        this.chains.add(turn);
      }
      done(replies !== undefined);
    });
  }

  /** Reads the chain that ends with a turn. */
  readChain(turn: string, timeoutMilliseconds: number, done: (result: ChainResult) => void): void {
    const cached = this.chains.get(turn);
    if (cached !== undefined) {
      done({ tag: 'found', body: cached });
      return;
    }
    const record = this.options.directory.current;
    if (record === undefined || !this.mayReachMajority) {
      done({ tag: 'unsure' });
      return;
    }
    new ChainRead(this.options, record, turn, timeoutMilliseconds, (result) => {
      if (result.tag === 'found') {
        this.chains.put(turn, result.body);
      }
      done(result);
    }).start();
  }

  private tryReserve(
    request: ReserveRequest,
    deadline: number,
    retriesLeft: number,
    done: (outcome: ReserveOutcome) => void,
  ): void {
    const { program, turn, mostTokens, budgetTokens } = request;
    const entry = { program, turn, mostTokens, usedTokens: undefined };
    const write: ClientWrite = {
      key: program,
      request: (epoch) => ({ type: 'reserve', epoch, entry }),
      deadline,
    };
    this.write(write, (replies) => {
      if (replies === undefined) {
        done('unavailable');
        return;
      }
      const account = mergeReplies(replies);
      if (fitsBudget(account, turn, mostTokens, budgetTokens)) {
        done('granted');
      } else if (retriesLeft > 0) {
        this.options.runtime.setTimer(SETTLING_MILLISECONDS, () =>
          this.tryReserve(request, deadline, retriesLeft - 1, done),
        );
      } else {
        this.settle(program, turn, mostTokens, 0);
        done('spent');
      }
    });
  }

  /** Writes to the current members; calls back with the replies of a majority, or undefined at the deadline. */
  private write(
    clientWrite: ClientWrite,
    done: (replies: readonly ReplicaReply[] | undefined) => void,
  ): void {
    const { runtime, directory } = this.options;
    const { key, request, deadline, adapt = () => false } = clientWrite;
    const record = directory.current;
    const remainingMilliseconds = deadline - runtime.now();
    if (record === undefined || remainingMilliseconds <= 0) {
      done(undefined);
      return;
    }
    let isFull = false;
    let isAdapted = false;
    const write = {
      record,
      request: request(record.epoch),
      key,
      timeoutMilliseconds: remainingMilliseconds,
      distances: this.options.distances,
      rankOf: this.rankOf,
      onFailed: (outcomes: MemberOutcomes) => {
        isAdapted = adapt(outcomes);
        isFull = hasMajorityOfFullDisks(record, outcomes);
        this.failedWrites.recordFailure(record.epoch, outcomes);
      },
    };
    writeToQuorum(runtime, this.options.caller, write, (replies) => {
      const hasNewerRecord = (directory.current?.epoch ?? 0) > record.epoch;
      const pause = isAdapted ? 0 : EPOCH_RETRY_MILLISECONDS;
      const mayRetry = isAdapted || hasNewerRecord || (!isFull && deadline - runtime.now() > pause);
      if (replies === undefined && mayRetry) {
        runtime.setTimer(pause, () => this.write(clientWrite, done));
      } else {
        done(replies);
      }
    });
  }
}

/** Whether so many disks are full that no majority can acknowledge; a retry would only keep the caller waiting. */
function hasMajorityOfFullDisks(record: MemberRecord, outcomes: MemberOutcomes): boolean {
  const full = [...outcomes.values()].filter((outcome) => outcome === 'diskFailed').length;
  return record.members.length - full < majorityOf(record);
}

function mergeReplies(replies: readonly ReplicaReply[]): Account {
  const account: Account = new Map();
  for (const reply of replies) {
    if (reply.type === 'account') {
      reply.entries.forEach((entry) => mergeReservation(account, entry));
    }
  }
  return account;
}

/** Reads one chain: asks the replicas one by one, own zone first, and the next one early when a reply is slow. */
class ChainRead {
  private readonly unaskedMembers: Member[];
  private pendingCalls = 0;
  private missingReplies = 0;
  private finished = false;
  private readonly deadline: number;

  constructor(
    private readonly options: TurnClientOptions,
    private readonly record: MemberRecord,
    private readonly turn: string,
    timeoutMilliseconds: number,
    private readonly done: (result: ChainResult) => void,
  ) {
    const locality = options.locality ?? { isSilent: () => false, mayReachMajority: () => true };
    const nearestFirst = options.distances?.nearestFirst(record.members) ?? record.members;
    this.unaskedMembers = sortByRank(nearestFirst, rankByLocality(options.zone, locality));
    this.deadline = options.runtime.now() + timeoutMilliseconds;
  }

  start(): void {
    this.askNext();
  }

  private askNext(): void {
    const member = this.unaskedMembers.shift();
    const remainingMilliseconds = this.deadline - this.options.runtime.now();
    if (this.finished || member === undefined || remainingMilliseconds <= 0) {
      this.finishIfExhausted();
      return;
    }
    this.pendingCalls += 1;
    const { epoch } = this.record;
    const request = { type: 'chainUnder' as const, epoch, turn: this.turn };
    this.options.caller.call(member, request, remainingMilliseconds, (reply) => {
      this.pendingCalls -= 1;
      this.handleReply(reply);
    });
    const allowance = this.options.distances?.allowanceMilliseconds(member.zone) ?? 0;
    this.options.runtime.setTimer(HEDGE_MILLISECONDS + allowance, () => {
      if (!this.finished && this.unaskedMembers.length > 0) {
        this.askNext();
      }
    });
  }

  private handleReply(reply: ReplicaReply | undefined): void {
    if (this.finished) {
      return;
    }
    if (reply?.type === 'chained' && reply.state === 'found') {
      this.finish({ tag: 'found', body: reply.body });
      return;
    }
    if (reply?.type === 'chained' && reply.state === 'missing') {
      this.missingReplies += 1;
    }
    if (this.missingReplies >= readQuorumOf(this.record)) {
      this.finish({ tag: 'missing' });
      return;
    }
    this.askNext();
  }

  private finishIfExhausted(): void {
    if (!this.finished && this.pendingCalls === 0) {
      this.finish({ tag: 'unsure' });
    }
  }

  private finish(result: ChainResult): void {
    this.finished = true;
    this.done(result);
  }
}
