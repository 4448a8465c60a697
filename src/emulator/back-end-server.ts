/** An emulated back end behind HTTP, as docs/reference/back-ends.md describes it. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ChatMessage } from '../model/chat.js';
import type { BackEndEvent, BackEndListener, Fence } from '../platform/back-end-port.js';
import type { EmulatedBackEnd } from './emulated-back-end.js';
import { readJson, sendEvent, sendJson } from './http-helpers.js';

interface RequestExtension {
  readonly call?: string;
  readonly program?: string;
  readonly fence?: Fence;
  readonly continue_text?: string;
  readonly last_of_program?: boolean;
}

interface ChatBody {
  readonly model?: string;
  readonly messages?: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly priority?: number;
  readonly ivyloom?: RequestExtension;
}

interface InvocationBody {
  readonly service?: string;
  readonly payload?: string;
  readonly ivyloom?: RequestExtension;
}

const NO_FENCE: Fence = { shard: -1, term: 0 };
const DEFAULT_MAXIMUM_TOKENS = 256;

/** Serves one emulated back end; while the back end is down, connections are closed. */
export class BackEndServer {
  private readonly server: Server;
  private directCalls = 0;

  constructor(private readonly backEnd: EmulatedBackEnd) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Starts listening; port 0 selects a free one. Calls `done` with the port. */
  listen(host: string, port: number, done: (port: number) => void): void {
    this.server.listen(port, host, () => done((this.server.address() as AddressInfo).port));
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://back-end');
    const [, root = '', kind = '', name = ''] = url.pathname.split('/').map(decodeURIComponent);
    if (!this.backEnd.isUp) {
      request.socket.destroy();
    } else if (request.method === 'POST' && url.pathname === '/v1/chat/completions') {
      this.startChat(await readJson<ChatBody>(request), response);
    } else if (request.method === 'POST' && url.pathname === '/ivyloom/invocations') {
      this.startInvocation(await readJson<InvocationBody>(request), response);
    } else if (root === 'ivyloom' && kind === 'streams' && request.method === 'GET') {
      const shard = Number(url.searchParams.get('shard') ?? NO_FENCE.shard);
      const term = Number(url.searchParams.get('term') ?? 0);
      this.backEnd.resume(name, { shard, term }, this.streamTo(response));
    } else if (root === 'ivyloom' && kind === 'streams' && request.method === 'DELETE') {
      this.backEnd.cancel(name);
      sendJson(response, 200, {});
    } else if (root === 'ivyloom' && kind === 'holds' && request.method === 'PUT') {
      const body = await readJson<{ milliseconds: number; fence: Fence }>(request);
      this.backEnd.hold(name, body.milliseconds, body.fence);
      sendJson(response, 200, {});
    } else if (url.pathname === '/ivyloom/report') {
      sendJson(response, 200, this.backEnd.report());
    } else {
      sendJson(response, 404, { detail: 'no such endpoint', verdict: 'NotRun' });
    }
  }

  private startChat(body: ChatBody, response: ServerResponse): void {
    const { messages = [], max_tokens, priority = 1, model = '' } = body;
    this.backEnd.start(
      {
        ...this.createRequestFields(body.ivyloom, model),
        messages,
        payload: '',
        maximumTokens: max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
        priority,
      },
      this.streamTo(response, body.ivyloom?.continue_text),
    );
  }

  private startInvocation(body: InvocationBody, response: ServerResponse): void {
    this.backEnd.start(
      {
        ...this.createRequestFields(body.ivyloom, body.service ?? ''),
        messages: [],
        payload: body.payload ?? '',
        maximumTokens: 0,
        priority: 1,
      },
      this.streamTo(response),
    );
  }

  private createRequestFields(
    extension: RequestExtension = {},
    service: string,
  ): {
    call: string;
    program: string;
    service: string;
    fence: Fence;
    continueText: string;
    lastOfProgram: boolean;
  } {
    this.directCalls += 1;
    return {
      call: extension.call ?? `direct-${this.directCalls}`,
      program: extension.program ?? `direct-${this.directCalls}`,
      service,
      fence: extension.fence ?? NO_FENCE,
      continueText: extension.continue_text ?? '',
      lastOfProgram: extension.last_of_program ?? false,
    };
  }

  private streamTo(response: ServerResponse, precedingText = ''): BackEndListener {
    let isOpen = false;
    let sentLength = precedingText.length;
    return (event: BackEndEvent) => {
      if (event.type === 'failed') {
        this.writeFailure(response, isOpen, event);
        return;
      }
      if (!isOpen) {
        isOpen = true;
        response.writeHead(200, { 'content-type': 'text/event-stream' });
      }
      if (event.type === 'piece') {
        writePiece(response, event.text);
        sentLength = event.offset + event.text.length;
        return;
      }
      writePiece(response, event.text.slice(sentLength));
      this.writeEnd(response, event);
    };
  }

  private writeFailure(
    response: ServerResponse,
    isOpen: boolean,
    event: Extract<BackEndEvent, { type: 'failed' }>,
  ): void {
    const { verdict, detail } = event;
    if (!this.backEnd.isUp) {
      response.destroy();
    } else if (isOpen) {
      sendEvent(response, JSON.stringify({ error: { verdict, detail } }));
      response.end();
    } else {
      sendJson(response, 409, { verdict, detail });
    }
  }

  private writeEnd(
    response: ServerResponse,
    event: Extract<BackEndEvent, { type: 'finished' }>,
  ): void {
    const { promptTokens, cachedTokens, completionTokens } = event.usage;
    const usage = {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      prompt_tokens_details: { cached_tokens: cachedTokens },
    };
    const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
    sendEvent(response, JSON.stringify({ object: 'chat.completion.chunk', choices, usage }));
    sendEvent(response, '[DONE]');
    response.end();
  }
}

function writePiece(response: ServerResponse, text: string): void {
  if (text === '') {
    return;
  }
  const choices = [{ index: 0, delta: { content: text }, finish_reason: null }];
  sendEvent(response, JSON.stringify({ object: 'chat.completion.chunk', choices }));
}
