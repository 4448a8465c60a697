/**
 * A stand-in for a runner: it answers one request at a time on a connection, runs only what is meant for it, drops a request
 * whose connection closes, and takes up a stream after `Last-Event-Id`.
 */
import { createServer } from 'node:http';

const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** One runner. */
export class Runner {
  /** The requests that it has begun to run. */
  runs = [];
  #server;
  #options;

  /**
   * `eventsOf(request)` gives the data of the events of a stream, `pauseOf(request)` the time before each of them, and `answerOf`
   * the body of a plain answer.
   */
  constructor(options) {
    this.#options = options;
    this.#server = createServer((request, response) => this.#receive(request, response));
  }

  get id() {
    return this.#options.id;
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #receive(request, response) {
    const { id, healthPath } = this.#options;
    const expected = request.headers['expect-instance'];
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'instance-id': id, 'not-executed': '1' }).end();
      } else if (request.url === healthPath) {
        response.writeHead(200, { 'instance-id': id, 'content-length': '0' }).end();
      } else if (request.url.startsWith('/api/')) {
        response.writeHead(404, { 'content-length': '0' }).end();
      } else if (request.headers['request-id'] === undefined) {
        response.writeHead(400, { 'not-executed': '1', 'content-length': '0' }).end();
      } else {
        this.#run(request, Buffer.concat(chunks).toString('utf8'), response);
      }
    });
  }

  async #run({ headers, method, url }, body, response) {
    const run = { runner: this.id, requestId: headers['request-id'], method, url, headers, body };
    this.runs.push(run);
    this.#options.onRun?.(run);
    const signed = {
      'request-id': run.requestId,
      'response-stamp': `${this.id}.${this.runs.length}`,
    };
    if (this.#options.eventsOf === undefined) {
      const answer = this.#options.answerOf?.(run) ?? `done ${run.requestId}\n`;
      await sleep(this.#options.pauseOf?.(run) ?? 5);
      response
        .writeHead(200, { ...signed, 'content-length': String(Buffer.byteLength(answer)) })
        .end(answer);
      return;
    }
    const events = this.#options.eventsOf(run);
    response.writeHead(200, { ...signed, 'content-type': 'text/event-stream' });
    response.flushHeaders();
    const from = Number(headers['last-event-id'] ?? 0);
    for (let number = from + 1; number <= events.length; number += 1) {
      await sleep(this.#options.pauseOf?.(run) ?? 10);
      if (response.destroyed) {
        return;
      }
      response.write(`id: ${number}\ndata: ${events[number - 1]}\n\n`);
    }
    response.end();
  }
}
