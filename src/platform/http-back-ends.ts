/**
 * The back-end port over HTTP: OpenAI-compatible streaming for models, one POST for tools, and the
 * extension endpoints of docs/reference/back-ends.md for resume, cancel, holds and reports.
 */
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { CallId, EngineId, ProgramId } from '../model/identifiers.js';
import type { Usage } from '../model/call.js';
import { NO_USAGE } from '../model/call.js';
import type { Verdict } from '../model/verdict.js';
import { VERDICTS } from '../model/verdict.js';
import { UNREACHABLE_REPORT } from './back-end-port.js';
import type {
  BackEndListener,
  BackEndRequest,
  BackEndPort,
  BackEndReport,
  CancelRequest,
  Fence,
} from './back-end-port.js';
import { EventStreamReader } from './event-stream.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Upper bound of concurrent connections to one back end. */
const CONNECTIONS_PER_ENGINE = 256;
/** Time without a byte after which a request fails, in milliseconds. */
const INACTIVITY_TIMEOUT_MILLISECONDS = 60_000;
/** Codes of connection errors after which the back end cannot have received the request. */
const NOT_DELIVERED_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Options of `HttpBackEnds`. */
export interface HttpBackEndsOptions {
  /** Base URL of a back end; undefined when the back end is not configured. */
  readonly urlOf: (engine: EngineId) => string | undefined;
}

interface StreamChunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  };
  readonly error?: { readonly verdict?: Verdict; readonly detail?: string };
}

function isVerdict(value: unknown): value is Verdict {
  return VERDICTS.some((verdict) => verdict === value);
}

function usageOf(chunk: StreamChunk): Usage | undefined {
  const { usage } = chunk;
  return usage === undefined
    ? undefined
    : {
        promptTokens: usage.prompt_tokens,
        cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
        completionTokens: usage.completion_tokens,
      };
}

function classifyFailure(cause: unknown): { verdict: Verdict; detail: string } {
  const error = cause as { code?: string; message?: string };
  const verdict = NOT_DELIVERED_ERROR_CODES.has(error.code ?? '') ? 'NotRun' : 'MayHaveRun';
  return { verdict, detail: error.message ?? 'the request failed' };
}

/** Back ends that are called over HTTP. */
export class HttpBackEnds implements BackEndPort {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_ENGINE,
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    bodyTimeout: INACTIVITY_TIMEOUT_MILLISECONDS,
    headersTimeout: INACTIVITY_TIMEOUT_MILLISECONDS,
  });

  constructor(private readonly options: HttpBackEndsOptions) {}

  start(
    engine: EngineId,
    backEndRequest: BackEndRequest,
    listener: BackEndListener,
  ): CancelRequest {
    const isChat = backEndRequest.messages.length > 0;
    const extension = {
      call: backEndRequest.call,
      program: backEndRequest.program,
      fence: backEndRequest.fence,
      continue_text: backEndRequest.continueText,
      last_of_program: backEndRequest.lastOfProgram,
    };
    const body = isChat
      ? {
          model: backEndRequest.service,
          messages: backEndRequest.messages,
          stream: true,
          stream_options: { include_usage: true },
          max_tokens: backEndRequest.maximumTokens,
          priority: backEndRequest.priority,
          ivyloom: extension,
        }
      : { service: backEndRequest.service, payload: backEndRequest.payload, ivyloom: extension };
    const path = isChat ? '/v1/chat/completions' : '/ivyloom/invocations';
    return this.openStream(
      engine,
      'POST',
      path,
      body,
      backEndRequest.continueText,
      listener,
      (abort) => {
        abort();
        this.cancel(engine, backEndRequest.call);
      },
    );
  }

  resume(engine: EngineId, call: CallId, fence: Fence, listener: BackEndListener): CancelRequest {
    const path = `/ivyloom/streams/${encodeURIComponent(call)}?shard=${fence.shard}&term=${fence.term}`;
    const reportAsMayHaveRun: BackEndListener = (event) =>
      listener(event.type === 'failed' ? { ...event, verdict: 'MayHaveRun' } : event);
    return this.openStream(engine, 'GET', path, undefined, '', reportAsMayHaveRun, (abort) => {
      abort();
      this.cancel(engine, call);
    });
  }

  cancel(engine: EngineId, call: CallId): void {
    this.sendCommand(engine, 'DELETE', `/ivyloom/streams/${encodeURIComponent(call)}`);
  }

  hold(engine: EngineId, program: ProgramId, milliseconds: number, fence: Fence): void {
    const path = `/ivyloom/holds/${encodeURIComponent(program)}`;
    this.sendCommand(engine, 'PUT', path, { milliseconds, fence });
  }

  report(engine: EngineId, listener: (report: BackEndReport) => void): void {
    const url = this.options.urlOf(engine);
    if (url === undefined) {
      listener(UNREACHABLE_REPORT);
      return;
    }
    request(`${url}/ivyloom/report`, { dispatcher: this.agent })
      .then((response) => response.body.json())
      .then((body) => listener(body as BackEndReport))
      .catch(() => listener(UNREACHABLE_REPORT));
  }

  /** Closes all connections. */
  close(): void {
    void this.agent.destroy();
  }

  private sendCommand(
    engine: EngineId,
    method: 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
  ): void {
    const url = this.options.urlOf(engine);
    if (url === undefined) {
      return;
    }
    request(url + path, this.requestOptions(method, body))
      .then((response) => response.body.dump())
      .catch(() => undefined);
  }

  private requestOptions(
    method: Dispatcher.HttpMethod,
    body: unknown,
    signal?: AbortSignal,
  ): Parameters<typeof request>[1] {
    return {
      method,
      dispatcher: this.agent,
      headers: { 'content-type': 'application/json' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      ...(signal === undefined ? {} : { signal }),
    };
  }

  private openStream(
    engine: EngineId,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    precedingText: string,
    listener: BackEndListener,
    cancel: (abort: () => void) => void,
  ): CancelRequest {
    const url = this.options.urlOf(engine);
    if (url === undefined) {
      setImmediate(() =>
        listener({ type: 'failed', verdict: 'NotRun', detail: 'the back end is not configured' }),
      );
      return () => undefined;
    }
    const abort = new AbortController();
    let hasEnded = false;
    const emit: BackEndListener = (event) => {
      if (!hasEnded) {
        hasEnded = event.type !== 'piece';
        listener(event);
      }
    };
    this.readStream(
      url + path,
      this.requestOptions(method, body, abort.signal),
      precedingText,
      emit,
    ).catch((cause: unknown) => emit({ type: 'failed', ...classifyFailure(cause) }));
    return () => {
      hasEnded = true;
      cancel(() => abort.abort());
    };
  }

  private async readStream(
    url: string,
    options: Parameters<typeof request>[1],
    known: string,
    listener: BackEndListener,
  ): Promise<void> {
    const response = await request(url, options);
    if (response.statusCode !== 200) {
      const problem = (await response.body.json()) as { verdict?: unknown; detail?: string };
      const verdict = isVerdict(problem.verdict) ? problem.verdict : 'MayHaveRun';
      listener({
        type: 'failed',
        verdict,
        detail: problem.detail ?? `status ${response.statusCode}`,
      });
      return;
    }
    const reader = new EventStreamReader();
    let text = known;
    let usage: Usage = NO_USAGE;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      for (const data of reader.push(chunk)) {
        if (data === '[DONE]') {
          listener({ type: 'finished', text, usage });
          return;
        }
        const parsed = JSON.parse(data) as StreamChunk;
        if (parsed.error !== undefined) {
          const { verdict = 'MayHaveRun', detail = 'the back end failed' } = parsed.error;
          listener({ type: 'failed', verdict, detail });
          return;
        }
        const piece = parsed.choices?.[0]?.delta?.content ?? '';
        if (piece !== '') {
          listener({ type: 'piece', offset: text.length, text: piece });
          text += piece;
        }
        usage = usageOf(parsed) ?? usage;
      }
    }
    listener({ type: 'failed', verdict: 'MayHaveRun', detail: 'the stream ended early' });
  }
}
