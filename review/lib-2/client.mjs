/** A client that opens a connection for each request and tells whether the answer came whole. */
import { request as httpRequest } from 'node:http';

/**
 * Sends a request; resolves with its status, headers and body, whether it came whole, and the events of a stream. It never rejects.
 * `onEvent` is called with each event as it arrives.
 */
export function send({
  host,
  port,
  method = 'POST',
  path,
  headers,
  body = '',
  timeout = 5_000,
  agent = false,
  onEvent,
}) {
  return new Promise((resolve) => {
    let text = '';
    let seen = 0;
    let answer;
    const finish = (whole, error) => {
      clearTimeout(timer);
      if (!whole || agent === false) {
        client.destroy();
      }
      const { statusCode: status, headers: answerHeaders = {} } = answer ?? {};
      resolve({
        status,
        headers: answerHeaders,
        body: text,
        whole,
        error,
        events: eventsIn(text),
      });
    };
    const client = httpRequest(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: {
          ...headers,
          'timeout-ms': String(timeout),
          'content-length': Buffer.byteLength(body),
        },
      },
      (response) => {
        answer = response;
        response.setEncoding('utf8');
        response.on('data', (chunk) => {
          text += chunk;
          const events = eventsIn(text);
          for (; seen < events.length; seen += 1) {
            onEvent?.(events[seen]);
          }
        });
        response.on('end', () => finish(response.complete));
        response.on('error', (error) => finish(false, error.message));
      },
    );
    const timer = setTimeout(() => finish(false, 'no answer in time'), timeout + 500);
    client.on('error', (error) => finish(false, error.message));
    client.end(body);
  });
}

/** The whole events in the text of a stream. */
function eventsIn(text) {
  return text
    .split('\n\n')
    .slice(0, -1)
    .map((event) => ({
      id: /^id: (.*)$/m.exec(event)?.[1],
      data: /^data: (.*)$/m.exec(event)?.[1],
    }));
}
