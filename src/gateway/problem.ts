/** Errors as RFC 9457 problem documents that OpenAI clients understand too. */
import type { ServerResponse } from 'node:http';
import type { CallError } from '../model/verdict.js';
import { httpStatusOf } from '../model/verdict.js';

/** Body of every error response. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly verdict: CallError['verdict'];
  readonly call_id?: string;
  /** The same error in the shape that OpenAI clients expect. */
  readonly error: { readonly message: string; readonly type: string; readonly code: string };
}

/** Builds the document of an error. */
export function problemOf(error: CallError, call?: string): ProblemDocument {
  return {
    type: `urn:ivyloom:error:${error.tag}`,
    title: error.tag,
    status: httpStatusOf(error),
    detail: error.detail,
    verdict: error.verdict,
    ...(call === undefined ? {} : { call_id: call }),
    error: { message: error.detail, type: error.tag, code: error.verdict },
  };
}

/** Sends a problem document, with a `retry-after` header if the error gives a time for a retry. */
export function sendProblem(response: ServerResponse, error: CallError, call?: string): void {
  const problem = problemOf(error, call);
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    // Clients that retry on their own must not repeat a call that may have run.
    'x-should-retry': error.verdict === 'NotRun' && error.retryAfterSeconds > 0 ? 'true' : 'false',
  };
  if (error.retryAfterSeconds > 0) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterSeconds));
  }
  response.writeHead(problem.status, headers);
  response.end(JSON.stringify(problem));
}
