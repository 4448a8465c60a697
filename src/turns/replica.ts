/**
 * One replica of turns and accounts: takes writes, answers reads, and tells others what it has.
 * What it acknowledges is on its disk. State is commutative, so it takes writes in any order; only
 * its acknowledgements count towards a majority, and only while it is active.
 */
import type { Runtime } from '../runtime/runtime.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { CancelTimer } from '../runtime/runtime.js';
import type { MemberDirectory } from './member-directory.js';
import { hasMember } from './membership.js';
import type { JoinToken } from './membership.js';
import type {
  AccountEntry,
  MembersMessage,
  ReplicaOutcome,
  ReplicaReply,
  ReplicaRequest,
} from './messages.js';
import type { SilenceReport } from './silence-tracker.js';
import type { ConversationTurn } from './conversation-turn.js';
import { QuotaBuckets } from './quota-buckets.js';
import type { QuotaAllowance, QuotaDecision } from './quota-buckets.js';
import { encodeKindCount } from './protocol-negotiation.js';
import { ReplicaState } from './replica-state.js';
import { unpackDigests } from './reservation-digests.js';
import type {
  ReplicaMeta,
  StorageChange,
  TurnStorage,
  WriteUrgency,
  WrittenChange,
} from './turn-storage.js';

const EXPIRY_INTERVAL_MILLISECONDS = 5_000;
/** Largest reply to a fetch, in bytes; at least one turn is sent. */
const MAXIMUM_FETCH_BYTES = 1024 * 1024;

/** What a replica is made with. */
export interface ReplicaOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly storage: TurnStorage;
  readonly directory: MemberDirectory;
  /** What may be given out beyond the limits of tenants. @default nothing */
  readonly quotaAllowance?: QuotaAllowance;
}

/** Sends one message back on the connection a request came from. */
export type ReplySender = (message: ReplicaReply | MembersMessage) => void;

/** Where another member has come in this replica's log. */
export interface PullerProgress {
  readonly position: number;
  /** Local time of the pull, in milliseconds. */
  readonly at: number;
}

type ChainLookup = ReturnType<ReplicaState['chainOf']>;

/** A chain that is missing here is denied only where the replica may say so. */
function downgradeMissing(chain: ChainLookup, mayReportMissing: boolean): ChainLookup {
  return chain.state === 'missing' && !mayReportMissing ? { ...chain, state: 'unsure' } : chain;
}

/** See the head of this file. */
export class Replica {
  readonly state = new ReplicaState();
  /** Names this life of the log: positions of another life mean nothing. */
  readonly logName: string;
  readonly pullers = new Map<string, PullerProgress>();
  /** Whether a majority of the members is known to know no newer record. */
  holdsQuorum: () => boolean = () => true;
  /** Whether what was acknowledged under earlier members is known to be here, or with those of now. */
  hasReadEarlierEpochs: () => boolean = () => true;
  /** What this replica can say of how long other members have been silent. */
  silenceReports: () => readonly SilenceReport[] = () => [];
  private readonly quotas: QuotaBuckets;
  private isReady = false;
  /**
   * What the disk says, or will once it has written what it was given: whatever is written of this replica
   * is made from this, so that no write takes back the one before it.
   */
  private readyOnDisk = false;
  /** Set from before this replica joins until it is complete. */
  private joinToken: JoinToken | undefined;
  private storedMeta: ReplicaMeta | undefined;
  private readonly cancelExpiry: CancelTimer;

  constructor(private readonly options: ReplicaOptions) {
    const { id, runtime, directory } = options;
    this.quotas = new QuotaBuckets(runtime.now(), options.quotaAllowance);
    this.logName = `${id} ${runtime.wallTime()} ${runtime.random.uniform()}`;
    this.cancelExpiry = setRepeatingTimer(runtime, EXPIRY_INTERVAL_MILLISECONDS, () =>
      this.expire(),
    );
    directory.onChange(() => this.saveMeta());
  }

  /** Takes one change that was on the disk; the last word of itself counts. */
  restore(change: WrittenChange): void {
    switch (change.tag) {
      case 'entry':
        this.state.mergeEntry(change.entry);
        return;
      case 'turn':
        this.state.addTurn(change.turn);
        return;
      case 'joining':
        this.joinToken = change.token;
        return;
      case 'meta':
        this.storedMeta = change.meta;
        this.joinToken = change.meta.ready ? undefined : this.joinToken;
    }
  }

  /**
   * Begins to serve with what was restored. Where a newer build wrote what can't be read here, the state is not
   * complete, whatever that build declared: it is read from the others first.
   */
  endRestore(unknownRecords = 0): void {
    const { storedMeta, options } = this;
    this.state.expire(options.runtime.wallTime());
    if (storedMeta !== undefined) {
      this.isReady = storedMeta.ready && unknownRecords === 0;
      this.readyOnDisk = this.isReady;
      options.directory.offerText(storedMeta.members, 'disk');
    }
    const { programs, turns } = this.state.counts;
    options.runtime.log('info', 'state read from disk', {
      event: 'replica.restored',
      ready: this.isReady,
      unknownRecords,
      emptyDisk: this.startedEmpty,
      epoch: options.directory.current?.epoch ?? 0,
      programs,
      turns,
    });
  }

  /** Whether it began without anything on its disk: the disk is new, or was lost. */
  get startedEmpty(): boolean {
    return this.storedMeta === undefined;
  }

  /** Whether its state is complete: it holds all that it ever acknowledged. */
  get ready(): boolean {
    return this.isReady;
  }

  /** Whether its acknowledgements count. */
  get active(): boolean {
    return this.isReady && hasMember(this.options.directory.current, this.options.id);
  }

  /** Declares the state complete, durably; calls back when it is so. */
  markReady(reason: string, done: () => void = () => undefined): void {
    this.readyOnDisk = true;
    this.saveMeta((durable) => {
      if (!durable || !this.readyOnDisk) {
        return;
      }
      this.isReady = true;
      this.joinToken = undefined;
      this.options.runtime.log('info', 'replica ready', { event: 'replica.ready', reason });
      done();
    });
  }

  /** Declares the state incomplete: it left the members and others no longer write to it. */
  markIncomplete(): void {
    this.isReady = false;
    this.readyOnDisk = false;
    this.joinToken = undefined;
    this.saveMeta();
  }

  /** Calls back with the token to join with, once the disk says that nothing was acknowledged under it. */
  prepareJoin(done: (token: JoinToken) => void): void {
    const { id, runtime, storage } = this.options;
    const newToken = `${id} ${runtime.wallTime()} ${runtime.random.uniform()}` as JoinToken;
    const token = this.joinToken ?? newToken;
    this.joinToken = token;
    storage.write([{ tag: 'joining', token }], (durable) => durable && done(token));
  }

  /** Whether this replica has acknowledged nothing as the member that it is. */
  get isFresh(): boolean {
    const { id, directory } = this.options;
    const own = directory.current?.members.find((member) => member.id === id);
    return !this.isReady && this.joinToken !== undefined && own?.joinToken === this.joinToken;
  }

  /** Takes a settlement: until it is on disk the reservation stands, which spends no more. */
  settle(entry: AccountEntry): void {
    this.storeEntries([entry], () => undefined, 'lazy');
  }

  /** Answers one request. */
  handle(request: ReplicaRequest, send: ReplySender): void {
    const { call } = request;
    switch (request.type) {
      case 'reserve':
        this.storeEntries([request.entry], (durable) => {
          const outcome = this.outcomeOf(request.epoch, durable, send);
          const entries = this.state.entriesOf(request.entry.program);
          send({ type: 'account', call, outcome, entries });
        });
        return;
      case 'keep':
        this.storeTurns([request.turn], (durable) => {
          send({ type: 'taken', call, outcome: this.outcomeOf(request.epoch, durable, send) });
        });
        return;
      case 'chain': {
        const chain = downgradeMissing(this.state.chainOf(request.turn), false);
        const body = request.turn === '' ? encodeKindCount() : chain.body;
        send({ type: 'chained', call, state: chain.state, body });
        return;
      }
      case 'chainUnder':
        send({ type: 'chained', call, ...this.readChain(request.turn, request.epoch, send) });
        return;
      case 'pull':
        this.answerPull(request, send);
        return;
      case 'fetch':
        send({ type: 'fetched', call, turns: this.readTurns(request.turns) });
        return;
      case 'readEntries': {
        const entries = this.state.entriesByDigest(unpackDigests(request.digests));
        send({ type: 'entriesRead', call, entries });
        return;
      }
      case 'askSilences': {
        const reports = [...this.silenceReports()];
        send({ type: 'silencesTold', call, from: this.options.id, words: reports });
        return;
      }
      case 'spend':
        send({ type: 'spent', call, ...this.spend(request, send) });
    }
  }

  /** Takes reservations; calls back when they are on disk. */
  storeEntries(
    entries: readonly AccountEntry[],
    done: (durable: boolean) => void,
    urgency: WriteUrgency = 'urgent',
  ): void {
    const storedAt = this.options.runtime.wallTime();
    const changes = entries.map((entry): StorageChange => {
      this.state.mergeEntry({ entry, storedAt });
      const merged = this.state.entryOf(entry.program, entry.turn) ?? entry;
      return { tag: 'entry', entry: { entry: merged, storedAt } };
    });
    this.options.storage.write(changes, done, urgency);
  }

  /** Takes turns; calls back when they are on disk. */
  storeTurns(turns: readonly ConversationTurn[], done: (durable: boolean) => void): void {
    const storedAt = this.options.runtime.wallTime();
    const changes = turns.map((turn): StorageChange => {
      this.state.addTurn({ turn, storedAt });
      return { tag: 'turn', turn: { turn, storedAt } };
    });
    this.options.storage.write(changes, done);
  }

  /** Everything it holds, as changes that make it again; it may go on changing meanwhile. */
  *liveChanges(): Generator<StorageChange> {
    const { directory, runtime } = this.options;
    yield { tag: 'meta', meta: { ready: this.readyOnDisk, members: directory.currentText } };
    if (this.joinToken !== undefined) {
      yield { tag: 'joining', token: this.joinToken };
    }
    yield* this.state.liveChanges(() => runtime.wallTime());
  }

  /** Stops its timers. */
  close(): void {
    this.cancelExpiry();
  }

  private outcomeOf(epoch: number, durable: boolean, send: ReplySender): ReplicaOutcome {
    const { current, currentText } = this.options.directory;
    if (!durable) {
      return 'diskFailed';
    }
    if (current !== undefined && epoch < current.epoch) {
      send({ type: 'members', record: currentText });
      return 'staleEpoch';
    }
    if (!hasMember(current, this.options.id)) {
      return 'inactive';
    }
    if (!this.isReady) {
      return 'incomplete';
    }
    return epoch === current?.epoch ? 'done' : 'olderEpoch';
  }

  /** Decides on a tenant's request, as long as this replica is sure to be one of the members. */
  private spend(
    request: Extract<ReplicaRequest, { type: 'spend' }>,
    send: ReplySender,
  ): QuotaDecision & { readonly outcome: ReplicaOutcome } {
    const outcome = this.outcomeOf(request.epoch, true, send);
    const { current } = this.options.directory;
    if (outcome !== 'done' || current === undefined || !this.holdsQuorum()) {
      const refusedOutcome = outcome === 'done' ? 'inactive' : outcome;
      return { outcome: refusedOutcome, granted: false, waitMilliseconds: 0 };
    }
    const share = 1 / current.members.length;
    const { quota, beginsRequests, patienceMilliseconds } = request;
    const now = this.options.runtime.now();
    return {
      outcome,
      ...this.quotas.take(quota, share, beginsRequests, now, patienceMilliseconds),
    };
  }

  private readChain(turn: string, epoch: number, send: ReplySender): ChainLookup {
    // A client gives up for good what is denied: only who surely has what was ever acknowledged may say so, and
    // only to one that counts denials by the same members.
    const isSameEpoch = this.outcomeOf(epoch, true, send) === 'done';
    return downgradeMissing(this.state.chainOf(turn), isSameEpoch && this.hasReadEarlierEpochs());
  }

  private readTurns(ids: readonly string[]): ConversationTurn[] {
    const turns: ConversationTurn[] = [];
    let bytes = 0;
    for (const id of ids) {
      const turn = this.state.getTurn(id);
      if (turn !== undefined && (turns.length === 0 || bytes < MAXIMUM_FETCH_BYTES)) {
        turns.push(turn);
        bytes += turn.input.length + turn.output.length;
      }
    }
    return turns;
  }

  private answerPull(request: Extract<ReplicaRequest, { type: 'pull' }>, send: ReplySender): void {
    const { directory, runtime } = this.options;
    const after = request.log === this.logName ? request.after : 0;
    this.pullers.set(request.from, { position: after, at: runtime.now() });
    const answer = (): void =>
      send({
        type: this.isFresh ? 'pulledFresh' : 'pulled',
        call: request.call,
        active: this.active,
        epoch: directory.current?.epoch ?? 0,
        log: this.logName,
        ...this.state.readLog(after),
      });
    // A newer epoch is on disk before the puller may rely on it.
    if (directory.offerText(request.members, request.from)) {
      this.saveMeta(answer);
    } else {
      answer();
    }
  }

  private saveMeta(done: (durable: boolean) => void = () => undefined): void {
    const meta = { ready: this.readyOnDisk, members: this.options.directory.currentText };
    this.options.storage.write([{ tag: 'meta', meta }], done);
  }

  private expire(): void {
    const changes = this.state.expire(this.options.runtime.wallTime());
    if (changes.length > 0) {
      this.options.storage.write(changes, () => undefined);
    }
  }
}
