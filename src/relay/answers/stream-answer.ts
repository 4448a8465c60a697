/**
 * A runner's stream, passed on event by event. Only whole events go to the client, so a broken
 * stream can be taken up after the last one. A kept turn is stored before the stream's end goes out.
 */
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import { EventSplitter } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';
import { FIRST_REDIRECT } from './answer-reader.js';
import type { AnsweredCall, AnswerHead, AnswerReader } from './answer-reader.js';
import { tenantScopedId } from '../request/tenant.js';

const LINE_FEED = Buffer.from('\n');
/** Longest time for storing a turn, in milliseconds. */
const STORE_TIMEOUT_MILLISECONDS = 1_500;
const MILLISECONDS_IN_SECOND = 1_000;

/** See the head of this file. */
export class StreamAnswer implements AnswerReader {
  /** Identifier of the last event passed on; undefined before the first. */
  lastEventId: string | undefined;
  /** Events with data that were passed on. */
  eventCount = 0;
  /** Local times of the first and the last event of this try, in milliseconds. */
  firstEventAt: number | undefined;
  lastEventAt = 0;
  private splitter = new EventSplitter();
  private head: AnswerHead | undefined;
  private readonly output: Buffer[] = [];
  private readonly allocation: MemoryAllocation;

  constructor(private readonly call: AnsweredCall) {
    this.allocation = call.context.memory.allocate('turns');
  }

  /** Tokens handed to the client. */
  get deliveredTokens(): number {
    const { route } = this.call.request;
    const services = this.call.context.currentTable()?.services;
    const perEvent = Math.max(
      1,
      ...route.services.map((part) => services?.get(part.service)?.tokensPerEvent ?? 1),
    );
    return this.eventCount * perEvent;
  }

  /** Prepares for another runner; false when the stream has begun and may not be taken up. */
  prepareResume(): boolean {
    this.splitter = new EventSplitter();
    if ((this.head?.status ?? 0) >= FIRST_REDIRECT) {
      // The part of an error's body is of no turn.
      this.output.length = 0;
      this.allocation.set(0);
    }
    this.head = undefined;
    return !this.call.answer.started || this.call.request.route.resumable;
  }

  onHead(head: AnswerHead): void {
    this.head = head;
    if (head.status < FIRST_REDIRECT && !this.call.answer.started) {
      this.call.answer.beginStream(head);
    }
  }

  onData(chunk: Buffer): void {
    const status = this.head?.status ?? 0;
    if (status >= FIRST_REDIRECT) {
      this.output.push(chunk);
      this.allocation.add(chunk.length);
      return;
    }
    try {
      this.splitter.push(chunk).forEach((event) => this.forward(event));
    } catch (cause) {
      const detail = cause instanceof Error ? cause.message : String(cause);
      this.call.failAttempt({ tag: 'BadAnswer', detail });
    }
  }

  onEnd(): void {
    const head = this.head;
    if (head === undefined) {
      return;
    }
    if (head.status >= FIRST_REDIRECT) {
      this.call.answer.sendWhole(head, Buffer.concat(this.output));
      this.call.finishAnswered(head.status);
      return;
    }
    const rest = this.splitter.takeRest();
    if (rest.length > 0) {
      this.call.failAttempt({ tag: 'Lost', detail: 'the stream ended inside an event' });
      return;
    }
    this.storeThenEnd(head.status);
  }

  release(): void {
    this.output.length = 0;
    this.allocation.release();
  }

  private forward(event: StreamEvent): void {
    this.call.noteFirstByte();
    this.lastEventAt = this.call.context.runtime.now();
    this.firstEventAt ??= this.lastEventAt;
    this.lastEventId = event.id ?? this.lastEventId;
    if (event.hasData) {
      this.eventCount += 1;
      if (this.call.request.route.retained) {
        this.output.push(event.data, LINE_FEED);
        this.allocation.add(event.data.length + LINE_FEED.length);
      }
    }
    this.call.answer.write(event.bytes);
  }

  private storeThenEnd(status: number): void {
    const { request, context } = this.call;
    if (!request.route.retained) {
      this.call.answer.end();
      this.call.finishAnswered(status);
      return;
    }
    const turn = {
      id: tenantScopedId(request.tenant, request.id),
      previous:
        request.previousTurn === undefined
          ? ''
          : tenantScopedId(request.tenant, request.previousTurn),
      input: request.body,
      output: Buffer.concat(this.output),
      retentionMilliseconds: request.route.retentionSeconds * MILLISECONDS_IN_SECOND,
    };
    const timeout = Math.min(STORE_TIMEOUT_MILLISECONDS, this.call.remainingMilliseconds);
    context.turns.storeTurn(turn, timeout, (kept) => {
      if (kept) {
        this.call.answer.end();
        this.call.finishAnswered(status);
      } else {
        this.call.abort('the turn could not be kept');
      }
    });
  }
}
