/** A caller over HTTP: OpenAI-compatible chat calls, tool calls and ends of programs. */
import { Agent, request } from 'undici';
import type { CallError, Verdict } from '../model/verdict.js';
import { mayHaveRun, notRun } from '../model/verdict.js';
import type { CallerCall, CallerPort, CallerResult } from './program-runner.js';
import type { ProgramScript } from './program-script.js';

/** Nodes and API keys of the caller. */
export interface HttpCallerOptions {
  /** Base URLs of the nodes; requests use them round-robin. */
  readonly urls: readonly string[];
  /** API key of each group. */
  readonly keys: Readonly<Record<string, string>>;
}

interface ChatBody {
  readonly choices?: readonly { readonly message: { readonly content: string } }[];
  readonly usage?: { readonly prompt_tokens_details?: { readonly cached_tokens?: number } };
}

interface Problem {
  readonly title?: string;
  readonly verdict?: Verdict;
  readonly detail?: string;
}

const CONNECTION_REFUSED_CODE = 'ECONNREFUSED';

/** Sends the calls of programs to nodes over HTTP. */
export class HttpCaller implements CallerPort {
  private readonly agent = new Agent({ connections: 128, bodyTimeout: 0, headersTimeout: 0 });
  private urlIndex = 0;

  constructor(private readonly options: HttpCallerOptions) {}

  call(call: CallerCall, done: (result: CallerResult) => void): void {
    this.send(call).then(done, (cause: unknown) => done(resultOfBrokenConnection(cause)));
  }

  endProgram(script: ProgramScript): void {
    const path = `/v1/programs/${encodeURIComponent(script.name)}`;
    request(this.nextUrl() + path, {
      method: 'DELETE',
      dispatcher: this.agent,
      headers: { authorization: `Bearer ${this.options.keys[script.group] ?? ''}` },
    })
      .then((response) => response.body.dump())
      .catch(() => undefined);
  }

  /** Closes all connections. */
  close(): void {
    void this.agent.destroy();
  }

  private nextUrl(): string {
    this.urlIndex += 1;
    return this.options.urls[this.urlIndex % this.options.urls.length]!;
  }

  private async send(call: CallerCall): Promise<CallerResult> {
    const { script, step, sequence } = call;
    const chat = step.kind === 'chat';
    const path = chat ? '/v1/chat/completions' : `/v1/services/${step.service}/calls`;
    const response = await request(this.nextUrl() + path, {
      method: 'POST',
      dispatcher: this.agent,
      headers: {
        authorization: `Bearer ${this.options.keys[script.group] ?? ''}`,
        'content-type': 'application/json',
        'ivyloom-program': script.name,
        'ivyloom-sequence': String(sequence),
        'ivyloom-class': script.callClass,
        'ivyloom-repeatable': String(step.repeatable),
      },
      body: JSON.stringify(chat ? chatBody(call) : { input: call.input }),
    });
    const body = (await response.body.json()) as ChatBody & Problem;
    if (response.statusCode !== 200) {
      return { type: 'failed', error: errorOf(body, response.headers['retry-after']) };
    }
    const text = body.choices?.[0]?.message.content ?? JSON.stringify(body);
    const cachedTokens = body.usage?.prompt_tokens_details?.cached_tokens ?? 0;
    return { type: 'answered', text, cachedTokens };
  }
}

function chatBody(call: CallerCall): unknown {
  const system = call.instructions === '' ? [] : [{ role: 'system', content: call.instructions }];
  return {
    model: call.step.service,
    messages: [...system, { role: 'user', content: call.input }],
    max_tokens: Math.max(16, call.step.outputTokens),
  };
}

function errorOf(problem: Problem, retryAfter: string | string[] | undefined): CallError {
  const { title = 'Unavailable', verdict = 'MayHaveRun', detail = '' } = problem;
  return {
    tag: title as CallError['tag'],
    verdict,
    detail,
    retryAfterSeconds: Number(retryAfter ?? 0),
  };
}

function resultOfBrokenConnection(cause: unknown): CallerResult {
  const { code } = cause as { code?: string };
  const detail = cause instanceof Error ? cause.message : String(cause);
  const error =
    code === CONNECTION_REFUSED_CODE
      ? notRun('Unavailable', detail, 0.2)
      : mayHaveRun('Unavailable', detail);
  return { type: 'failed', error };
}
