/**
 * A stand-in for a runner of plain requests: it works on `slots` requests at a time, queues a few, and sheds the rest as not run.
 * It can be faulty: then it also sends a second copy of some of its answers, late.
 */
import { createServer } from 'node:http';

/** One runner. */
export class PlainRunner {
  /** The requests that it has begun to run. */
  runs = [];
  shedCount = 0;
  extraCount = 0;
  /** Share of the answers of which a second copy is sent. */
  extraShare = 0;
  #server;
  #options;
  #working = 0;
  #queue = [];

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
    const { id, healthPath, slots, queue } = this.#options;
    const { headers, url } = request;
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const expected = headers['expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'instance-id': id }).end();
      } else if (url === healthPath) {
        response.writeHead(200, { 'instance-id': id, 'content-length': '0' }).end();
      } else if (headers['request-id'] === undefined) {
        response.writeHead(400, { 'not-executed': '1', 'content-length': '0' }).end();
      } else if (this.#working < slots) {
        this.#run(request, response);
      } else if (this.#queue.length < queue) {
        this.#queue.push([request, response]);
      } else {
        this.shedCount += 1;
        this.#options.onShed?.({ runner: id, requestId: headers['request-id'] });
        this.#answer(response, 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n', '');
      }
    });
  }

  #run(request, response) {
    const { id, workMilliseconds } = this.#options;
    const { headers, method, url } = request;
    const requestId = headers['request-id'];
    const run = { runner: id, requestId, method, url };
    this.runs.push(run);
    this.#options.onRun?.(run);
    this.#working += 1;
    setTimeout(() => {
      const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Stamp: ${id}.${this.runs.length}\r\n`;
      this.#answer(response, head, `done ${requestId}\n`);
      this.#working -= 1;
      this.#startNext();
    }, workMilliseconds());
  }

  #startNext() {
    for (let next = this.#queue.shift(); next !== undefined; next = this.#queue.shift()) {
      const [request, response] = next;
      // A request whose connection has closed is dropped.
      if (!response.destroyed && !request.socket.destroyed) {
        this.#run(request, response);
        return;
      }
    }
  }

  /** Answers as Node's server does, and perhaps once more, late. */
  #answer(response, head, body) {
    const { socket } = response;
    const [, status, ...fields] = /^HTTP\/1\.1 (\d+) [^\r]*\r\n([^]*)$/.exec(head);
    const headers = Object.fromEntries(
      fields[0]
        .split('\r\n')
        .filter((line) => line !== '')
        .map((line) => line.split(': ')),
    );
    response
      .writeHead(Number(status), { ...headers, 'content-length': String(body.length) })
      .end(body);
    if (Math.random() < this.extraShare) {
      setTimeout(() => {
        if (socket !== null && socket.writable) {
          this.extraCount += 1;
          this.#options.onExtra?.({ runner: this.id, status, requestId: headers['Request-Id'] });
          socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
        }
      }, this.#options.extraMilliseconds());
    }
  }
}
