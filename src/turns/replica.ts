/**
 * A replica of conversation turns and token accounts: accepts writes, answers reads, and serves its log to other
 * replicas. Writes are durable before they are acknowledged. Changes commute, so writes may arrive in any order and are
 * accepted at any time; acknowledgements count towards a majority only while the replica is active.
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
import type {
  ProgramDecision,
  QuotaAllowance,
  QuotaDecision,
  TenantQuota,
} from './quota-buckets.js';
import { NOTHING_LENT, QuotaShares } from './quota-shares.js';
import type { HeldShare, LentShares } from './quota-shares.js';
import { encodeKindCount } from './protocol-negotiation.js';
import type { ReplyListener, UnnumberedRequest } from './replica-caller.js';
import type { TurnMemory } from './memory-limit.js';
import { ReplicaState } from './replica-state.js';
import { unpackDigests } from './reservation-digests.js';
import { StoredSuspects } from './stored-suspects.js';
import { StreamContents, StreamOrigins } from './stream-origins.js';
import type { StreamOrigin } from './stream-origins.js';
import { NO_OUTPUT, StreamOutputs } from './stream-outputs.js';
import type { FoundOutput } from './stream-outputs.js';
import { VersionReports } from './version-reports.js';
import type {
  ReplicaMeta,
  StorageChange,
  TurnStorage,
  WriteUrgency,
  WrittenChange,
} from './turn-storage.js';

const EXPIRY_INTERVAL_MILLISECONDS = 5_000;
/** Origins of streams in a generation; two generations take at most 28 MB. */
const MAXIMUM_STREAM_ORIGINS = 200_000;
/** Contents of streams in a generation. */
const MAXIMUM_STREAM_CONTENTS = 100_000;
/** Memory of the origins of streams in a generation, in bytes. */
const MAXIMUM_ORIGIN_BYTES = 20 * 1024 * 1024;
/** Memory of the contents of streams in a generation, in bytes. */
const MAXIMUM_CONTENT_BYTES = 10 * 1024 * 1024;
/** Memory of the output of unfinished turns, in bytes. */
const MAXIMUM_OUTPUT_BYTES = 16 * 1024 * 1024;
/** Size of a fetch reply beyond which no further turn is added, in bytes; at least one turn is sent. */
const MAXIMUM_FETCH_BYTES = 1024 * 1024;

/** Dependencies of a {@link Replica}. */
export interface ReplicaOptions {
  readonly id: string;
  readonly runtime: Runtime;
  readonly storage: TurnStorage;
  readonly directory: MemberDirectory;
  /** Storage of the requests under which runners ended. @default they are held in memory only */
  readonly suspectStorage?: TurnStorage;
  /** Bounds the turns that are held. @default none */
  readonly memoryLimit?: TurnMemory;
  /** The amount by which tenants' limits may be exceeded. @default nothing */
  readonly quotaAllowance?: QuotaAllowance;
  /** Window in which the requests of tenants are counted, in milliseconds. @default 5 s */
  readonly quotaWindowMilliseconds?: number | undefined;
  /** Whether the whole system starts for the first time, so that no stream can have begun. @default false */
  readonly isFirstStart?: boolean;
}

/** Sends a message on the connection that the request came from. */
export type ReplySender = (message: ReplicaReply | MembersMessage) => void;

/** How far another replica has read this replica's log. */
export interface PullerProgress {
  readonly position: number;
  /** Local time of its last pull, in milliseconds. */
  readonly at: number;
}

type ChainLookup = ReturnType<ReplicaState['chainOf']>;

/** Requests about what a replica answers from its memory. */
type MemoryRequest = Extract<
  ReplicaRequest,
  {
    type:
      | 'recordOrigins'
      | 'findOrigin'
      | 'recordSuspects'
      | 'readSuspects'
      | 'exchangeVersions'
      | 'recordContents'
      | 'findContent'
      | 'recordOutput'
      | 'findOutput';
  }
>;

type SpendForProgram = Extract<ReplicaRequest, { type: 'spendForProgram' }>;

/** The decision of a replica that may not grant anything. */
const UNDECIDED: ProgramDecision = {
  granted: false,
  reason: 'lent',
  waitMilliseconds: 0,
  share: 0,
  tokens: 0,
  reserved: 0,
  needed: 0,
};

/** Turns `missing` into `unsure` where this replica cannot rule out that the chain exists. */
function downgradeMissing(chain: ChainLookup, mayReportMissing: boolean): ChainLookup {
  return chain.state === 'missing' && !mayReportMissing ? { ...chain, state: 'unsure' } : chain;
}

/** Handles the requests to one replica and persists its state. */
export class Replica {
  readonly state = new ReplicaState();
  /** Where streams began; lost with this process, since other members hold the same. */
  readonly streamOrigins: StreamOrigins;
  /** Which stream has which content. */
  readonly streamContents: StreamContents;
  /** What clients have received of turns that they may resume. */
  readonly streamOutputs: StreamOutputs;
  /** Which versions gateways have listed lately. */
  private readonly versionReports: VersionReports;
  /** Requests under which runners ended. */
  readonly suspects: StoredSuspects;
  /** Identifies the log of this process; positions are only valid within the log of one process. */
  readonly logName: string;
  /** Read progress of other replicas in this replica's log, keyed by replica id. */
  readonly pullers = new Map<string, PullerProgress>();
  /** Whether a majority of the members has recently confirmed that it knows no newer record. */
  holdsQuorum: () => boolean = () => true;
  /** Whether this replica holds every write that was acknowledged under earlier epochs. */
  hasReadEarlierEpochs: () => boolean = () => true;
  /** This replica's observations of the silence of the other members. */
  silenceReports: () => readonly SilenceReport[] = () => [];
  /** Passes a quota request on to another member, on behalf of a gateway that could not reach it. */
  forwardToMember: (member: string, request: UnnumberedRequest, listener: ReplyListener) => void = (
    _member,
    _request,
    listener,
  ) => listener(undefined);
  private readonly quotas: QuotaBuckets;
  private readonly quotaShares: QuotaShares;
  private knowsQuotas = false;
  private isReady = false;
  /**
   * Whether the last submitted metadata marks the state as ready. All metadata writes use this value, so that a later
   * write does not revert an earlier one that is still in flight.
   */
  private readyOnDisk = false;
  /** Set before this replica joins and cleared once its state is complete. */
  private joinToken: JoinToken | undefined;
  private storedMeta: ReplicaMeta | undefined;
  /** Whether it is known that the state was never complete since the disk was empty. */
  private neverReady = false;
  /** Whether the disk holds records that this build cannot decode. */
  private hasUnknownRecords = false;
  private readonly cancelExpiry: CancelTimer;

  constructor(private readonly options: ReplicaOptions) {
    const { id, runtime, directory } = options;
    this.quotas = new QuotaBuckets(
      runtime.now(),
      options.quotaAllowance,
      options.quotaWindowMilliseconds,
    );
    this.quotaShares = new QuotaShares(id, runtime.now());
    this.streamOrigins = new StreamOrigins({
      runtime,
      maximumEntries: MAXIMUM_STREAM_ORIGINS,
      maximumBytes: MAXIMUM_ORIGIN_BYTES,
    });
    this.streamContents = new StreamContents({
      runtime,
      maximumEntries: MAXIMUM_STREAM_CONTENTS,
      maximumBytes: MAXIMUM_CONTENT_BYTES,
      isFirst: options.isFirstStart,
    });
    this.streamOutputs = new StreamOutputs({ runtime, maximumBytes: MAXIMUM_OUTPUT_BYTES });
    this.versionReports = new VersionReports(runtime);
    this.suspects = new StoredSuspects({ runtime, storage: options.suspectStorage });
    this.logName = `${id} ${runtime.wallTime()} ${runtime.random.uniform()}`;
    this.cancelExpiry = setRepeatingTimer(runtime, EXPIRY_INTERVAL_MILLISECONDS, () =>
      this.expire(),
    );
    directory.onChange(() => this.saveMeta());
  }

  /** Applies one change read from disk; the last metadata record wins. */
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
        return;
      case 'suspects':
        this.suspects.restore(change.suspects);
    }
  }

  /**
   * Ends the restore. If the disk holds records of a newer build that this one cannot decode, the state is incomplete
   * regardless of its ready mark, and has to be read from other members first.
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
    this.hasUnknownRecords = unknownRecords > 0;
    const isMarked = storedMeta?.neverReady === true && unknownRecords === 0;
    this.neverReady = storedMeta === undefined ? this.holdsNothing : isMarked;
    options.runtime.log('info', 'replica state restored from disk', {
      event: 'replica.restored',
      ready: this.isReady,
      unknownRecords,
      emptyDisk: this.startedEmpty,
      epoch: options.directory.current?.epoch ?? 0,
      programs,
      turns,
    });
  }

  /** Whether no metadata was on the disk at the start, because the disk is new or was lost. */
  get startedEmpty(): boolean {
    return this.storedMeta === undefined;
  }

  /** Whether the replica may hold acknowledged writes, as far as it knows since its disk was empty. */
  get mayHoldAcknowledgedWrites(): boolean {
    return !this.neverReady && !this.holdsNothing;
  }

  private get holdsNothing(): boolean {
    const { programs, turns } = this.state.counts;
    return programs === 0 && turns === 0 && !this.hasUnknownRecords;
  }

  /** Whether the state is complete: the replica holds every write that it ever acknowledged. */
  get ready(): boolean {
    return this.isReady;
  }

  /** Whether the replica's acknowledgements count: it is ready and a member. */
  get active(): boolean {
    return this.isReady && hasMember(this.options.directory.current, this.options.id);
  }

  /** Marks the state as complete; calls back once the mark is durable, unless it was revoked meanwhile. */
  markReady(reason: string, done: () => void = () => undefined): void {
    this.readyOnDisk = true;
    this.neverReady = false;
    this.saveMeta((durable) => {
      if (!durable || !this.readyOnDisk) {
        return;
      }
      this.isReady = true;
      this.joinToken = undefined;
      this.options.runtime.log('info', 'replica state complete', {
        event: 'replica.ready',
        reason,
      });
      done();
    });
  }

  /** Marks the state as incomplete, for a replica that left the record and receives no more writes. */
  markIncomplete(): void {
    this.isReady = false;
    this.readyOnDisk = false;
    this.joinToken = undefined;
    this.saveMeta();
  }

  /** Persists a join token, under which nothing was acknowledged yet; calls back with the token once it is durable. */
  prepareJoin(done: (token: JoinToken) => void): void {
    const { id, runtime, storage } = this.options;
    const newToken = `${id} ${runtime.wallTime()} ${runtime.random.uniform()}` as JoinToken;
    const token = this.joinToken ?? newToken;
    this.joinToken = token;
    storage.write([{ tag: 'joining', token }], (durable) => durable && done(token));
  }

  /** Whether this replica has acknowledged nothing since it joined as the current member. */
  get isFresh(): boolean {
    const { id, directory } = this.options;
    const own = directory.current?.members.find((member) => member.id === id);
    return !this.isReady && this.joinToken !== undefined && own?.joinToken === this.joinToken;
  }

  /**
   * Applies a settlement. Until it is durable the reservation counts in full, which never exceeds the budget. With a
   * full disk it is dropped, and copied from other members later, so that settlements do not pile up in memory.
   */
  settle(entry: AccountEntry): void {
    if (!this.isDiskFull) {
      this.storeEntries([entry], () => undefined, 'lazy');
    }
  }

  /** Handles one request and sends its reply. */
  handle(request: ReplicaRequest, send: ReplySender): void {
    const { call } = request;
    switch (request.type) {
      case 'reserve': {
        const answer = (durable: boolean): void => {
          const outcome = this.outcomeOf(request.epoch, durable, send);
          const entries = this.state.entriesOf(request.entry.program);
          send({ type: 'account', call, outcome, entries });
        };
        this.unlessFull(answer, () => this.storeEntries([request.entry], answer, 'answered'));
        return;
      }
      case 'keep': {
        const answer = (durable: boolean): void =>
          send({ type: 'taken', call, outcome: this.outcomeOf(request.epoch, durable, send) });
        if (this.lacksPredecessor(request.turn)) {
          send({ type: 'taken', call, outcome: 'lacksPredecessor' });
        } else {
          this.unlessFull(answer, () => this.keepTurn(request.turn, answer));
        }
        return;
      }
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
      case 'pullAndBorrow':
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
        return;
      case 'spendForProgram':
        this.spendForProgram(request, send);
        return;
      default:
        this.handleInMemory(request, send);
    }
  }

  /** Handles a request about what this replica answers from its memory. */
  private handleInMemory(request: MemoryRequest, send: ReplySender): void {
    const { call } = request;
    switch (request.type) {
      case 'recordOrigins':
        request.entries.forEach((entry) => this.streamOrigins.record(entry));
        send({ type: 'originsRecorded', call });
        return;
      case 'findOrigin':
        send({ type: 'originFound', call, ...this.findOrigin(request.stream) });
        return;
      case 'recordSuspects':
        this.suspects.record(request.news);
        send({ type: 'suspectsRecorded', call });
        return;
      case 'readSuspects':
        send({ type: 'suspectsRead', call, news: this.suspects.snapshot() });
        return;
      case 'exchangeVersions': {
        this.versionReports.merge(request);
        const { knownMilliseconds, versions } = this.versionReports.report();
        send({ type: 'versionsExchanged', call, knownMilliseconds, versions: [...versions] });
        return;
      }
      case 'recordContents':
        request.entries.forEach((entry) => this.streamContents.record(entry));
        send({ type: 'contentsRecorded', call });
        return;
      case 'findContent':
        send({ type: 'contentFound', call, ...this.streamContents.find(request.content) });
        return;
      case 'recordOutput':
        this.streamOutputs.record(request);
        send({ type: 'outputRecorded', call });
        return;
      case 'findOutput':
        send({ type: 'outputFound', call, ...this.findOutput(request.stream, request.lastEvent) });
    }
  }

  private findOutput(stream: string, lastEvent: string): FoundOutput & { readonly found: boolean } {
    const known = this.streamOutputs.find(stream, lastEvent);
    return { found: known !== undefined, ...(known ?? NO_OUTPUT) };
  }

  private findOrigin(stream: string): StreamOrigin & { readonly found: boolean } {
    const origin = this.streamOrigins.find(stream);
    return { service: '', version: '', ...origin, found: origin !== undefined };
  }

  /** Whether gateways have asked this replica as the home of a tenant, so that shares are worth borrowing. */
  get servesQuotas(): boolean {
    return this.knowsQuotas;
  }

  /** Records what another member lends; `askedAt` is the local time of the request, in milliseconds. */
  borrowShares(from: string, lent: LentShares, epoch: number, askedAt: number): void {
    const { directory, runtime } = this.options;
    if (directory.current !== undefined) {
      this.quotaShares.borrow(from, lent, epoch, directory.current, askedAt, runtime.now());
    }
  }

  /** Whether the disk takes no writes: what was stored last may not be durable yet. */
  get isDiskFull(): boolean {
    return this.options.storage.isFull === true;
  }

  /** Takes a write unless the disk takes none; the replica then copies it from others once it does. */
  private unlessFull(answer: (durable: boolean) => void, store: () => void): void {
    if (this.isDiskFull) {
      answer(false);
    } else {
      store();
    }
  }

  /** Whether there is no memory for turns of other members. */
  get isMemoryExhausted(): boolean {
    return this.options.memoryLimit?.isExhausted === true;
  }

  /**
   * Whether a turn can't be read here, once it is stored, since a predecessor has expired or has not been copied yet. While this
   * replica's state is incomplete, predecessors are still being copied, and nothing that it stores counts.
   */
  private lacksPredecessor({ id, previous }: ConversationTurn): boolean {
    return this.isReady && !this.state.hasChain(previous) && !this.state.hasChain(id);
  }

  /** Keeps a turn, unless there is no memory for it. */
  private keepTurn(turn: ConversationTurn, answer: (durable: boolean) => void): void {
    const { memoryLimit } = this.options;
    if (memoryLimit?.isFull === true) {
      memoryLimit.noteRefused();
      answer(false);
    } else {
      this.storeTurns([turn], answer, 'answered');
    }
  }

  /** Merges reservations; calls back once they are durable. */
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

  /** Stores turns; calls back once they are durable. */
  storeTurns(
    turns: readonly ConversationTurn[],
    done: (durable: boolean) => void,
    urgency: WriteUrgency = 'urgent',
  ): void {
    const storedAt = this.options.runtime.wallTime();
    const changes = turns.map((turn): StorageChange => {
      this.state.addTurn({ turn, storedAt });
      // The state has a copy; what waits for the disk would keep the received message as well. It may hold the turn in its other
      // form, with or without predecessors.
      const { previous, input, output } = this.state.getTurn(turn.id) ?? turn;
      return { tag: 'turn', turn: { turn: { ...turn, previous, input, output }, storedAt } };
    });
    this.options.storage.write(changes, done, urgency);
  }

  /** Iterates over the live state as changes that recreate it; the state may change during the iteration. */
  *liveChanges(): Generator<StorageChange> {
    const { runtime } = this.options;
    yield { tag: 'meta', meta: this.currentMeta };
    if (this.joinToken !== undefined) {
      yield { tag: 'joining', token: this.joinToken };
    }
    yield* this.state.liveChanges(() => runtime.wallTime());
  }

  /** Stops the replica's timers. */
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

  /** Decides on a tenant's request, if a majority confirms that this replica is still a member. */
  private spend(
    request: Extract<ReplicaRequest, { type: 'spend' }>,
    send: ReplySender,
  ): QuotaDecision & { readonly outcome: ReplicaOutcome } {
    const { outcome, held } = this.heldShareOf(request, send);
    if (held === undefined || held.share === 0) {
      return { outcome, granted: false, waitMilliseconds: held?.waitMilliseconds ?? 0 };
    }
    const { quota, beginsRequests, patienceMilliseconds } = request;
    const now = this.options.runtime.now();
    return {
      outcome,
      ...this.quotas.take(quota, held, beginsRequests, now, patienceMilliseconds),
    };
  }

  private spendForProgram(message: SpendForProgram, send: ReplySender): void {
    const { call, quota, request } = message;
    this.knowsQuotas = true;
    const { outcome, held } = this.heldShareOf(message, send);
    if (held === undefined) {
      send({ type: 'spentForProgram', call, outcome, ...UNDECIDED });
      return;
    }
    const decide = (): void => {
      const decision = this.quotas.decide(quota, request, held, this.options.runtime.now());
      send({ type: 'spentForProgram', call, outcome, ...decision });
    };
    if (held.share > 0 || !request.isFallback) {
      decide();
      return;
    }
    // The sender could not reach the home, but this replica may.
    this.forwardToMember(held.home, message, (reply) => {
      if (reply?.type === 'spentForProgram' && reply.outcome === 'done') {
        send({ ...reply, call });
        return;
      }
      const { directory, runtime } = this.options;
      if (directory.current !== undefined) {
        this.quotaShares.keep(quota.tenant, directory.current, runtime.now());
      }
      decide();
    });
  }

  /** Returns the share that this replica may grant; undefined if the outcome is not `done`. */
  private heldShareOf(
    { epoch, quota }: { readonly epoch: number; readonly quota: TenantQuota },
    send: ReplySender,
  ): { readonly outcome: ReplicaOutcome; readonly held: HeldShare | undefined } {
    const outcome = this.outcomeOf(epoch, true, send);
    const { current } = this.options.directory;
    if (outcome !== 'done' || current === undefined || !this.holdsQuorum()) {
      return { outcome: outcome === 'done' ? 'inactive' : outcome, held: undefined };
    }
    const held = this.quotaShares.shareOf(quota.tenant, current, this.options.runtime.now());
    return { outcome, held };
  }

  /** Lends the shares of the tenants whose home is another member, if this replica may grant them itself. */
  private lendShares(to: string): LentShares {
    const { directory, runtime } = this.options;
    return directory.current !== undefined && this.active && this.holdsQuorum()
      ? this.quotaShares.lend(to, directory.current, runtime.now())
      : NOTHING_LENT;
  }

  private readChain(turn: string, epoch: number, send: ReplySender): ChainLookup {
    // Clients treat a missing chain as permanent. Only a replica that holds every acknowledged write may report it, and
    // only to a client that counts such replies under the same epoch.
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

  private answerPull(
    request: Extract<ReplicaRequest, { type: 'pull' | 'pullAndBorrow' }>,
    send: ReplySender,
  ): void {
    const { directory, runtime } = this.options;
    const after = request.log === this.logName ? request.after : 0;
    this.pullers.set(request.from, { position: after, at: runtime.now() });
    this.quotaShares.noteHeard(request.from, runtime.now());
    const answer = (): void => {
      const pulled = {
        call: request.call,
        active: this.active,
        epoch: directory.current?.epoch ?? 0,
        log: this.logName,
        ...this.state.readLog(after),
      };
      if (request.type === 'pull') {
        send({ type: this.isFresh ? 'pulledFresh' : 'pulled', ...pulled });
      } else {
        const lent = this.lendShares(request.from);
        send({ type: 'pulledAndLent', fresh: this.isFresh, lent, ...pulled });
      }
    };
    // A newer record must be durable before the puller may rely on the reply.
    if (directory.offerText(request.members, request.from)) {
      this.saveMeta(answer);
    } else {
      answer();
    }
  }

  private saveMeta(done: (durable: boolean) => void = () => undefined): void {
    this.options.storage.write([{ tag: 'meta', meta: this.currentMeta }], done);
  }

  private get currentMeta(): ReplicaMeta {
    const members = this.options.directory.currentText;
    return { ready: this.readyOnDisk, members, ...(this.neverReady && { neverReady: true }) };
  }

  private expire(): void {
    const changes = this.state.expire(this.options.runtime.wallTime());
    if (changes.length > 0) {
      this.options.storage.write(changes, () => undefined);
    }
  }
}
