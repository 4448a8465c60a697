/**
 * The requests under which runners have ended, or may have ended, as far as this gateway knows. Empty while nothing ends.
 */
import type { SuspectNews } from './suspect-news.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Fingerprint } from './fingerprint.js';
import { SuspectRecord } from './suspect-record.js';
import type { Encounter } from './suspect-record.js';

/** Time since the last change after which a request is forgotten, and with it its quarantine, in milliseconds. */
export const SUSPECT_RETENTION_MILLISECONDS = 600_000;
/** The same for a request whose ends were cleared by an answer. */
const CLEARED_RETENTION_MILLISECONDS = 30_000;
const SWEEP_INTERVAL_MILLISECONDS = 5_000;
/** Number of ends under one request from which chance is an unlikely cause. */
const REPEATED_LOSSES = 2;
/** Largest number of requests; beyond, those with the fewest ends and the oldest go. */
const MAXIMUM_RECORDS = 4_096;
/** Share of the records that goes when there are too many, so that they are ranked only now and then. */
const EVICTED_SHARE = 0.1;
/** Largest number of requests in a message between gateways. */
const MAXIMUM_NEWS = 24;
/** Largest number of requests in the answer to a gateway that starts. */
const MAXIMUM_SNAPSHOT = 1_000;
/** Number of regular messages that carry a change, to make up for lost datagrams. */
const REPEATS = 3;
/** Requests that a message repeats in turn, for gateways that missed the change or started since. */
const REPEATED_IN_TURN = 2;
/** Requests that are looked at for that in each message. */
const MAXIMUM_PASSED = 32;

/** Called when something became known of a request. */
export type ChangeListener = () => void;

/** Holds what is known of suspected requests, and what is to be told of them. */
export class SuspectTable {
  /** Called when something became known here that other gateways should know at once. */
  onNews: () => void = () => undefined;
  /** Called when runners are known to have ended under a request of which that was not known before. */
  onSuspected: (fingerprint: Fingerprint) => void = () => undefined;
  private readonly records = new Map<Fingerprint, SuspectRecord>();
  /** Requests whose changes the next messages tell, with the number of messages. */
  private readonly untold = new Map<Fingerprint, number>();
  /** Requests whose changes are to be told at once. */
  private readonly urgent = new Set<Fingerprint>();
  /** Requests whose changes are to be kept by the members of the replicas. */
  private readonly unrecorded = new Set<Fingerprint>();
  /** Requests with an open encounter, by the runner. */
  private readonly openByRunner = new Map<number, Set<Fingerprint>>();
  private readonly listeners = new Map<Fingerprint, Set<ChangeListener>>();
  private sweptAt = -Infinity;

  constructor(private readonly runtime: Pick<Runtime, 'now'>) {}

  /** Number of requests of which something is known. */
  get size(): number {
    return this.records.size;
  }

  /** Returns what is known of a request. */
  find(fingerprint: Fingerprint): SuspectRecord | undefined {
    return this.records.get(fingerprint);
  }

  /** Returns the requests of which something is known, with their records. */
  entries(): IterableIterator<[Fingerprint, SuspectRecord]> {
    return this.records.entries();
  }

  /** Whether a suspected request may be at a runner. */
  hasOpenAt(runnerHash: number): boolean {
    return this.openByRunner.has(runnerHash);
  }

  /** Whether a request under which several runners have ended may be at a runner. */
  hasRepeatedAt(runnerHash: number): boolean {
    for (const fingerprint of this.openByRunner.get(runnerHash) ?? []) {
      if (this.records.get(fingerprint)!.lossCount >= REPEATED_LOSSES) {
        return true;
      }
    }
    return false;
  }

  /** Records what this gateway saw of a request, at a local time. */
  note(fingerprint: Fingerprint, encounter: Omit<Encounter, 'at'>, at = this.runtime.now()): void {
    const record = this.records.get(fingerprint) ?? this.add(fingerprint);
    if (this.apply(fingerprint, record, { ...encounter, at })) {
      this.tell(fingerprint);
      this.onNews();
    }
  }

  /** Records that a request was answered in full. */
  noteAnswered(fingerprint: Fingerprint): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      return;
    }
    const isNews = record.lost.length > 0 || record.openAt(this.runtime.now()).length > 0;
    record.noteAnswered(this.runtime.now());
    if (isNews) {
      this.change(fingerprint, record);
      this.tell(fingerprint);
      this.onNews();
    }
  }

  /**
   * Adds what another gateway knows; returns whether any of it is news.
   * @param forwards whether this gateway passes it on at once
   */
  merge(news: readonly SuspectNews[], forwards: boolean): boolean {
    this.sweep();
    let isNews = false;
    for (const { fingerprint, answeredAgeMilliseconds: age, encounters } of news) {
      const now = this.runtime.now();
      const id = fingerprint as Fingerprint;
      const record = this.records.get(id) ?? this.add(id);
      let isChanged = age !== undefined && record.learnAnswered(now - age);
      for (const { ageMilliseconds, ...encounter } of encounters) {
        isChanged =
          this.apply(id, record, { ...encounter, at: now - ageMilliseconds }) || isChanged;
      }
      if (isChanged) {
        this.change(id, record);
        this.untold.set(id, REPEATS);
        if (forwards) {
          this.urgent.add(id);
        }
        isNews = true;
      }
    }
    return isNews;
  }

  /** Returns what the next regular message tells. */
  takeNews(): readonly SuspectNews[] {
    if (this.records.size === 0) {
      return [];
    }
    this.sweep();
    const told = this.mostSerious(this.untold.keys(), MAXIMUM_NEWS);
    for (const fingerprint of told) {
      const left = this.untold.get(fingerprint)! - 1;
      if (left === 0) {
        this.untold.delete(fingerprint);
      } else {
        this.untold.set(fingerprint, left);
      }
    }
    return [...new Set([...told, ...this.takeInTurn()])].flatMap((each) => this.newsOf(each));
  }

  /** Returns what is to be told at once; call again until it is empty. */
  takeUrgentNews(): readonly SuspectNews[] {
    return this.takeFrom(this.urgent);
  }

  /** Returns what the members of the replicas should keep; call again until it is empty. */
  takeUnrecordedNews(): readonly SuspectNews[] {
    return this.takeFrom(this.unrecorded);
  }

  /** Returns what a process that starts should know. */
  snapshot(): readonly SuspectNews[] {
    this.sweep();
    const known = this.mostSerious(this.records.keys(), MAXIMUM_SNAPSHOT);
    return known.flatMap((each) => this.newsOf(each));
  }

  /** Calls a listener once with the next change of one of some requests; returns the function that cancels it. */
  onChange(fingerprints: readonly Fingerprint[], listener: ChangeListener): () => void {
    const cancel = (): void =>
      fingerprints.forEach((each) => {
        const listeners = this.listeners.get(each);
        listeners?.delete(once);
        if (listeners?.size === 0) {
          this.listeners.delete(each);
        }
      });
    const once = (): void => {
      cancel();
      listener();
    };
    for (const each of fingerprints) {
      this.listeners.set(each, (this.listeners.get(each) ?? new Set()).add(once));
    }
    return cancel;
  }

  private add(fingerprint: Fingerprint): SuspectRecord {
    if (this.records.size >= MAXIMUM_RECORDS) {
      this.evict();
    }
    const record = new SuspectRecord();
    record.changedAt = this.runtime.now();
    this.records.set(fingerprint, record);
    return record;
  }

  private apply(fingerprint: Fingerprint, record: SuspectRecord, encounter: Encounter): boolean {
    const before = record.find(encounter.runnerHash)?.state;
    const wasSuspected = record.lossCount > 0;
    if (!record.note(encounter)) {
      return false;
    }
    if (before === 'open') {
      this.removeOpen(fingerprint, encounter.runnerHash);
    }
    if (encounter.state === 'open') {
      const open = this.openByRunner.get(encounter.runnerHash) ?? new Set();
      this.openByRunner.set(encounter.runnerHash, open.add(fingerprint));
    }
    this.change(fingerprint, record);
    if (!wasSuspected && record.lossCount > 0) {
      this.onSuspected(fingerprint);
    }
    return true;
  }

  private removeOpen(fingerprint: Fingerprint, runnerHash: number): void {
    const open = this.openByRunner.get(runnerHash);
    open?.delete(fingerprint);
    if (open?.size === 0) {
      this.openByRunner.delete(runnerHash);
    }
  }

  private change(fingerprint: Fingerprint, record: SuspectRecord): void {
    record.changedAt = this.runtime.now();
    [...(this.listeners.get(fingerprint) ?? [])].forEach((listener) => listener());
  }

  private tell(fingerprint: Fingerprint): void {
    this.untold.set(fingerprint, REPEATS);
    this.urgent.add(fingerprint);
    this.unrecorded.add(fingerprint);
  }

  private takeFrom(waiting: Set<Fingerprint>): readonly SuspectNews[] {
    const taken = this.mostSerious(waiting, MAXIMUM_NEWS);
    taken.forEach((fingerprint) => waiting.delete(fingerprint));
    return taken.flatMap((each) => this.newsOf(each));
  }

  /** Returns the requests with the most ends, up to a number. */
  private mostSerious(fingerprints: Iterable<Fingerprint>, maximum: number): Fingerprint[] {
    const all = [...fingerprints];
    if (all.length <= maximum) {
      return all;
    }
    const weights = new Map(all.map((each) => [each, this.records.get(each)?.lossCount ?? 0]));
    return all.sort((left, right) => weights.get(right)! - weights.get(left)!).slice(0, maximum);
  }

  /** Returns the requests that are repeated in this message, and moves them to the end of the turn. */
  private takeInTurn(): Fingerprint[] {
    const taken: Fingerprint[] = [];
    const passed: [Fingerprint, SuspectRecord][] = [];
    for (const entry of this.records) {
      if (taken.length === REPEATED_IN_TURN || passed.length === MAXIMUM_PASSED) {
        break;
      }
      passed.push(entry);
      if (entry[1].lost.length > 0) {
        taken.push(entry[0]);
      }
    }
    for (const [fingerprint, record] of passed) {
      this.records.delete(fingerprint);
      this.records.set(fingerprint, record);
    }
    return taken;
  }

  private newsOf(fingerprint: Fingerprint): SuspectNews[] {
    const record = this.records.get(fingerprint);
    if (record === undefined) {
      return [];
    }
    const now = this.runtime.now();
    const { answeredAt } = record;
    const encounters = record.all.map(({ at, ...encounter }) => ({
      ...encounter,
      ageMilliseconds: now - at,
    }));
    const answeredAgeMilliseconds = answeredAt === -Infinity ? undefined : now - answeredAt;
    return [{ fingerprint, answeredAgeMilliseconds, encounters }];
  }

  private sweep(): void {
    const now = this.runtime.now();
    if (now - this.sweptAt < SWEEP_INTERVAL_MILLISECONDS) {
      return;
    }
    this.sweptAt = now;
    for (const [fingerprint, record] of this.records) {
      record.expireOpen(now).forEach((runnerHash) => this.removeOpen(fingerprint, runnerHash));
      const isCleared = record.lost.length === 0;
      const retention = isCleared ? CLEARED_RETENTION_MILLISECONDS : SUSPECT_RETENTION_MILLISECONDS;
      if (now - record.changedAt > retention) {
        this.forget(fingerprint, record);
      }
    }
  }

  private evict(): void {
    const ranked = [...this.records].sort(
      ([, left], [, right]) => left.lossCount - right.lossCount || left.changedAt - right.changedAt,
    );
    const count = Math.ceil(MAXIMUM_RECORDS * EVICTED_SHARE);
    ranked.slice(0, count).forEach(([fingerprint, record]) => this.forget(fingerprint, record));
  }

  private forget(fingerprint: Fingerprint, record: SuspectRecord): void {
    for (const { state, runnerHash } of record.all) {
      if (state === 'open') {
        this.removeOpen(fingerprint, runnerHash);
      }
    }
    this.records.delete(fingerprint);
    this.untold.delete(fingerprint);
    this.urgent.delete(fingerprint);
    this.unrecorded.delete(fingerprint);
    this.change(fingerprint, record);
  }
}
