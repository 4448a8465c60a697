/** Helpers of the emulators' HTTP servers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

const MAXIMUM_BODY_BYTES = 32 * 1024 * 1024;

/**
 * Reads a request's JSON body; an empty body is read as `{}`.
 *
 * @throws RangeError when the body exceeds `MAXIMUM_BODY_BYTES`
 */
export async function readJson<Body>(request: IncomingMessage): Promise<Body> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAXIMUM_BODY_BYTES) {
      throw new RangeError('request body exceeds 32 MiB');
    }
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return JSON.parse(text === '' ? '{}' : text) as Body;
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

export function sendEvent(response: ServerResponse, data: string): void {
  response.write(`data: ${data}\n\n`);
}
