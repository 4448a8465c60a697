/** Answers to callers: OpenAI-compatible bodies and event streams. */
import type { ServerResponse } from 'node:http';
import type { Answer, CallEvent, CallRequest } from '../model/call.js';
import { problemOf, sendProblem } from './problem.js';

function usageBody(answer: Answer): Record<string, unknown> {
  const { promptTokens, cachedTokens, completionTokens } = answer.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: cachedTokens },
  };
}

/** Sets the headers that identify the call, its program and its sequence number. */
function setCallHeaders(response: ServerResponse, request: CallRequest, answer?: Answer): void {
  // A duplicate gets the answer of the original call, and only that call can be looked up.
  response.setHeader('ivyloom-call', answer?.call ?? request.call);
  response.setHeader('ivyloom-program', request.program);
  if (answer !== undefined) {
    response.setHeader('ivyloom-sequence', String(answer.sequence));
  }
}

/** Sends the complete answer to a chat call. */
export function sendChatAnswer(
  response: ServerResponse,
  request: CallRequest,
  created: number,
  answer: Answer,
): void {
  setCallHeaders(response, request, answer);
  const message = { role: 'assistant', content: answer.text, refusal: null };
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(
    JSON.stringify({
      id: answer.call,
      object: 'chat.completion',
      created,
      model: request.service,
      choices: [{ index: 0, message, logprobs: null, finish_reason: 'stop' }],
      usage: usageBody(answer),
    }),
  );
}

/** Sends the answer to a tool call. */
export function sendToolAnswer(
  response: ServerResponse,
  request: CallRequest,
  answer: Answer,
): void {
  setCallHeaders(response, request, answer);
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(answer.text);
}

/** Streams a chat call to its caller; returns the listener for the call's events. */
export function streamChat(
  response: ServerResponse,
  request: CallRequest,
  created: number,
): (event: CallEvent) => void {
  let headersSent = false;
  const sendHeaders = (): void => {
    if (!headersSent) {
      headersSent = true;
      setCallHeaders(response, request);
      response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
    }
  };
  const chunkFields = {
    id: request.call,
    object: 'chat.completion.chunk',
    created,
    model: request.service,
  };
  const write = (body: unknown): void => {
    response.write(`data: ${JSON.stringify(body)}\n\n`);
  };
  return (event) => {
    if (event.type === 'piece') {
      sendHeaders();
      const delta = { role: 'assistant', content: event.text };
      write({ ...chunkFields, choices: [{ index: 0, delta, finish_reason: null }] });
    } else if (event.type === 'answered') {
      sendHeaders();
      const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
      write({ ...chunkFields, choices, usage: usageBody(event.answer) });
      response.end('data: [DONE]\n\n');
    } else if (headersSent) {
      // The status has been sent already, so the error is sent as an event, as OpenAI does.
      write(problemOf(event.error, request.call));
      response.end();
    } else {
      sendProblem(response, event.error, request.call);
    }
  };
}
