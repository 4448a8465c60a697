// Stand-in for a runner, as PROTOCOL describes it: it signs its answers, gives the request's id back, works on a number of
// requests at a time and queues the others, and answers 421 to a request for another instance.
import { createServer } from 'node:http';

export class Runner {
  /**
   * @param options `id`, `deployment`; `work(request)` gives the milliseconds of work; `answer(run, response)` may answer in
   *   place of the runner and then returns true
   */
  constructor(options) {
    Object.assign(
      this,
      { slots: 8, work: () => 40, answer: () => false, isStream: () => false, events: 4, gap: 15 },
      options,
    );
    this.runs = [];
    this.queue = [];
    this.running = 0;
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 30_000;
    this.server.requestTimeout = 0;
  }

  listen(host, port) {
    this.address = `${host}:${port}`;
    this.deployment.onClose(() => this.close());
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  handle(request, response) {
    const expected = request.headers['expect-instance'];
    if (request.url === '/healthz') {
      request.resume();
      response.writeHead(200, { 'instance-id': this.id }).end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const id = request.headers['request-id'];
      if (request.url === '/api/kv-list') {
        response.writeHead(200, { 'content-type': 'application/json' });
        response.end(JSON.stringify({ epoch: 1, NextPageToken: 0, held: [] }));
      } else if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'instance-id': this.id }).end();
      } else if (id === undefined) {
        response.writeHead(400, { 'not-executed': '1' }).end();
      } else {
        this.enqueue({ id, request, response, body: Buffer.concat(chunks) });
      }
    });
  }

  enqueue(run) {
    run.arrivedAt = this.deployment.now();
    this.onArrival?.(run);
    this.queue.push(run);
    this.next();
  }

  next() {
    while (this.running < this.slots && this.queue.length > 0) {
      const run = this.queue.shift();
      if (!run.response.destroyed) {
        this.begin(run);
      }
    }
  }

  begin(run) {
    this.running += 1;
    const { id, request } = run;
    run.startedAt = this.deployment.now();
    this.runs.push(run);
    this.deployment.note('run', {
      runner: this.id,
      request: id,
      path: request.url,
      arrivedAt: run.arrivedAt,
    });
    let isOver = false;
    run.end = () => {
      if (!isOver) {
        isOver = true;
        this.running -= 1;
        this.next();
      }
    };
    run.response.on('close', run.end);
    setTimeout(() => this.respond(run), this.work(run));
  }

  headers(run) {
    return { 'request-id': run.id, 'response-stamp': `stamp.${this.id}.${run.id}` };
  }

  respond(run) {
    const { response } = run;
    if (response.destroyed || this.answer(run, response)) {
      return;
    }
    if (this.isStream(run)) {
      this.stream(run);
      return;
    }
    const body = `answer of ${this.id} to ${run.id}`;
    response.writeHead(200, { ...this.headers(run), 'content-length': String(body.length) });
    response.end(body);
  }

  /** Sends a series of events whose ids rise, from the one after `Last-Event-Id`. */
  stream(run) {
    const { request, response } = run;
    response.writeHead(200, { ...this.headers(run), 'content-type': 'text/event-stream' });
    const sendFrom = (id) => {
      if (response.destroyed) {
        return;
      }
      if (id > this.events) {
        response.end();
        return;
      }
      response.write(`id: ${id}\ndata: event ${id} of ${run.id}\n\n`);
      setTimeout(() => sendFrom(id + 1), this.gap);
    };
    sendFrom(Number(request.headers['last-event-id'] ?? 0) + 1);
  }
}
