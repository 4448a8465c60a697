/**
 * Forwards a runner's event stream. Only complete events are sent to the client, so that an interrupted stream can be
 * resumed after the last one. On routes that retain turns, the turn is stored before the end of the stream is sent.
 */
import { EventSplitter, hasOnlyLineEnds } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';
import { AnswerBody } from './answer-body.js';
import { FIRST_REDIRECT } from './answer-reader.js';
import type { AnsweredCall, AnswerHead, AnswerReader } from './answer-reader.js';
import type { MemoryAllocation } from '../memory/memory-accounts.js';
import { tenantScopedId } from '../request/tenant.js';
import { checksumAfter, MAXIMUM_OUTPUT_ID_LENGTH, NO_OUTPUT } from '../../turns/stream-outputs.js';
import type { FoundOutput, OutputEvent } from '../../turns/stream-outputs.js';

const LINE_FEED = Buffer.from('\n');
const EMPTY_BUFFER = Buffer.alloc(0);
/** Timeout for storing a turn. */
const STORE_TIMEOUT_MILLISECONDS = 1_500;
const MILLISECONDS_IN_SECOND = 1_000;
/** Bytes of line breaks, comments and other events without data that may follow one another. */
const MAXIMUM_BYTES_WITHOUT_DATA = 64 * 1024;
/** Events of a turn that is stored: each takes memory beside its data. */
const MAXIMUM_TURN_EVENTS = 65_536;

/** What an event adds to the output of its turn, and the id by which its client may resume after it. */
function outputEventOf({ id = '', data, hasData }: StreamEvent): OutputEvent {
  return {
    id: id.length <= MAXIMUM_OUTPUT_ID_LENGTH ? id : '',
    output: hasData ? Buffer.concat([data, LINE_FEED]) : EMPTY_BUFFER,
  };
}

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
  /** Largest number of tokens of an event, by all configurations seen since the request arrived. */
  private tokensPerEvent = 1;
  private bytesWithoutData = 0;
  /** Whether data of the turn was dropped, so that it can't be stored whole. */
  private isTurnIncomplete = false;
  /** Data of the events of a turn that will be stored, or the body of an error. */
  private readonly output: AnswerBody;
  /** What the client received of the turn before this request. */
  private received: FoundOutput = NO_OUTPUT;
  private readonly receivedAllocation: MemoryAllocation;
  /** Number of events that were recorded by this request, with or without data. */
  private recordedCount = 0;
  /** Checksum of all events that the client has received. */
  private checksum = NO_OUTPUT.checksum;

  constructor(private readonly call: AnsweredCall) {
    this.output = new AnswerBody(call.context.memory, 'turns');
    this.receivedAllocation = call.context.memory.allocate('turns');
    this.noteTokensPerEvent();
  }

  /** Upper bound of the tokens delivered to the client. */
  get deliveredTokens(): number {
    this.noteTokensPerEvent();
    return this.eventCount * this.tokensPerEvent;
  }

  /** Keeps the largest number of tokens per event: a later configuration may no longer list the service of the runner. */
  private noteTokensPerEvent(): void {
    const { route } = this.call.request;
    const services = this.call.context.currentTable()?.services;
    for (const { service } of route.services) {
      const { tokensPerEvent = 1 } = services?.get(service) ?? {};
      this.tokensPerEvent = Math.max(this.tokensPerEvent, tokensPerEvent);
    }
  }

  /** Continues a turn of which the client received events by an earlier request. */
  continueAfter(received: FoundOutput): void {
    this.received = received;
    this.checksum = received.checksum;
    this.receivedAllocation.set(received.output.length);
  }

  /** Prepares for another attempt; returns false if the stream has started and is not resumable. */
  prepareResume(): boolean {
    this.splitter = new EventSplitter();
    if ((this.head?.status ?? 0) >= FIRST_REDIRECT) {
      // Collected bytes of an error's body must not become part of the turn.
      this.output.clear();
    }
    this.bytesWithoutData = 0;
    this.head = undefined;
    const mayContinue = !this.call.answer.started || this.call.request.route.resumable;
    return mayContinue && !this.isTurnIncomplete;
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
      this.failIf(this.output.add(chunk));
      return;
    }
    let events: StreamEvent[];
    try {
      events = this.splitter.push(chunk);
    } catch (cause) {
      this.failIf(cause instanceof Error ? cause.message : String(cause));
      return;
    }
    this.forward(events);
  }

  onEnd(): void {
    const head = this.head;
    if (head === undefined) {
      return;
    }
    if (head.status >= FIRST_REDIRECT) {
      this.call.answer.sendWhole(head, this.output.content);
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
    this.output.release();
    this.receivedAllocation.release();
  }

  private failIf(mistake: string | undefined): void {
    if (mistake !== undefined) {
      this.call.failAttempt({ tag: 'BadAnswer', detail: mistake });
    }
  }

  /** Forwards events in one write, up to the first that shows that the stream is not a valid one. */
  private forward(events: readonly StreamEvent[]): void {
    const accepted: StreamEvent[] = [];
    let mistake: string | undefined;
    for (const event of events) {
      mistake = this.mistakeIn(event) ?? this.store(event);
      if (mistake !== undefined) {
        break;
      }
      this.note(event);
      accepted.push(event);
    }
    if (accepted.length > 0) {
      this.recordOutput(accepted);
      const [{ bytes }] = accepted as [StreamEvent];
      const all = accepted.length === 1 ? bytes : Buffer.concat(accepted.map((each) => each.bytes));
      this.call.answer.write(all);
    }
    this.failIf(mistake);
  }

  /** Records what the client is about to receive, if it may resume the turn elsewhere. */
  private recordOutput(events: readonly StreamEvent[]): void {
    const { retained, resumable } = this.call.request.route;
    if (retained && resumable) {
      const position = this.received.position + this.recordedCount;
      const { checksum } = this;
      const outputEvents = events.map(outputEventOf);
      this.call.recordOutput({ position, checksum, events: outputEvents });
      this.recordedCount += events.length;
      this.checksum = outputEvents.reduce(checksumAfter, checksum);
    }
  }

  private mistakeIn(event: StreamEvent): string | undefined {
    this.bytesWithoutData = event.hasData ? 0 : this.bytesWithoutData + event.bytes.length;
    return this.bytesWithoutData > MAXIMUM_BYTES_WITHOUT_DATA
      ? `no data within ${MAXIMUM_BYTES_WITHOUT_DATA} bytes`
      : undefined;
  }

  /** Keeps the data of an event of a turn; returns why the turn can't be stored. */
  private store({ data, hasData }: StreamEvent): string | undefined {
    if (!hasData || !this.call.request.route.retained) {
      return undefined;
    }
    const mistake =
      this.received.position + this.eventCount < MAXIMUM_TURN_EVENTS
        ? this.output.add(data, LINE_FEED)
        : `a turn of more than ${MAXIMUM_TURN_EVENTS} events`;
    this.isTurnIncomplete ||= mistake !== undefined;
    return mistake;
  }

  private note(event: StreamEvent): void {
    this.call.noteFirstByte();
    this.lastEventAt = this.call.context.runtime.now();
    if (this.firstEventAt === undefined) {
      this.firstEventAt = this.lastEventAt;
      this.call.noteFirstEvent();
    }
    this.lastEventId = event.id ?? this.lastEventId;
    this.eventCount += event.hasData ? 1 : 0;
  }

  /** What the client has received of the turn, also by earlier requests. */
  private get wholeOutput(): Buffer {
    const { output } = this.received;
    return output.length === 0
      ? this.output.concat()
      : Buffer.concat([output, this.output.concat()]);
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
      output: this.wholeOutput,
      retentionMilliseconds: request.route.retentionSeconds * MILLISECONDS_IN_SECOND,
    };
    const timeout = Math.min(STORE_TIMEOUT_MILLISECONDS, this.call.remainingMilliseconds);
    const handleStored = (stored: boolean): void => {
      if (stored) {
        this.call.answer.end();
        this.call.finishAnswered(status);
      } else {
        this.call.abort('the turn could not be stored');
      }
    };
    context.turns.storeTurn(turn, timeout, handleStored, this.call.prompt);
  }
}
