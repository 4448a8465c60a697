/**
 * Forwards a runner's event stream. Only complete events are sent to the client, so that an interrupted stream can be
 * resumed after the last one. On routes that retain turns, the turn is stored before the end of the stream is sent.
 */
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import { EventSplitter, hasOnlyLineEnds } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';
import { FIRST_REDIRECT } from './answer-reader.js';
import type { AnsweredCall, AnswerHead, AnswerReader } from './answer-reader.js';
import { tenantScopedId } from '../request/tenant.js';

const LINE_FEED = Buffer.from('\n');
/** Timeout for storing a turn. */
const STORE_TIMEOUT_MILLISECONDS = 1_500;
const MILLISECONDS_IN_SECOND = 1_000;

/** Reader of one call's stream; it stays in use across attempts. */
export class StreamAnswer implements AnswerReader {
  /** Id of the last forwarded event; undefined before the first event with an id. */
  lastEventId: string | undefined;
  /** Number of forwarded events with data. */
  eventCount = 0;
  /** Local times of the first and the last forwarded event, in milliseconds. */
  firstEventAt: number | undefined;
  lastEventAt = 0;
  private splitter = new EventSplitter();
  private head: AnswerHead | undefined;
  private readonly output: Buffer[] = [];
  private readonly allocation: MemoryAllocation;

  constructor(private readonly call: AnsweredCall) {
    this.allocation = call.context.memory.allocate('turns');
  }

  /** Upper bound of the tokens delivered to the client. */
  get deliveredTokens(): number {
    const { route } = this.call.request;
    const services = this.call.context.currentTable()?.services;
    const perEvent = Math.max(
      1,
      ...route.services.map((part) => services?.get(part.service)?.tokensPerEvent ?? 1),
    );
    return this.eventCount * perEvent;
  }

  /** Prepares for another attempt; returns false if the stream has started and is not resumable. */
  prepareResume(): boolean {
    this.splitter = new EventSplitter();
    if ((this.head?.status ?? 0) >= FIRST_REDIRECT) {
      // Collected bytes of an error's body must not become part of the turn.
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
    if (!hasOnlyLineEnds(rest)) {
      this.call.failAttempt({ tag: 'Lost', detail: 'the stream ended within an event' });
      return;
    }
    if (rest.length > 0) {
      this.call.answer.write(rest);
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
    if (this.firstEventAt === undefined) {
      this.firstEventAt = this.lastEventAt;
      this.call.noteFirstEvent();
    }
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
    context.turns.storeTurn(turn, timeout, (stored) => {
      if (stored) {
        this.call.answer.end();
        this.call.finishAnswered(status);
      } else {
        this.call.abort('the turn could not be stored');
      }
    });
  }
}
