/**
 * A stand-in for the platform's store. Each machine has an address of its own to reach it, so that the store can turn some
 * machines away and serve the others. It loses nothing that it has acknowledged, and its answers are linearizable.
 */
import { createServer } from 'node:http';

const JSON_TYPE = { 'content-type': 'application/json' };
const PAGE_ITEMS = 500;

/** The items, their history, and the machines that are turned away. */
export class Store {
  #items = new Map();
  #history = [];
  #revision = 0;
  #watches = new Set();
  #servers = [];
  #refused = new Set();

  /** Serves one machine at an address. */
  listen(machine, host, port) {
    const server = createServer((request, response) => this.#receive(machine, request, response));
    this.#servers.push(server);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Answers 503 to a machine until it is served again; what waits is cut with 503 as well. */
  refuse(machine) {
    this.#refused.add(machine);
    for (const watch of [...this.#watches]) {
      if (watch.machine === machine) {
        this.#finish(watch, 503, {});
      }
    }
  }

  /** Serves a machine again. */
  serve(machine) {
    this.#refused.delete(machine);
  }

  /** Writes as the operator or a runner does; returns the revision of the acknowledgement. */
  put(key, value) {
    this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.#notify();
    return this.#revision;
  }

  /** The parsed value of an item; undefined if there is none. */
  read(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.Value, 'base64').toString('utf8'));
  }

  /** Closes all connections. */
  close() {
    for (const watch of this.#watches) {
      clearTimeout(watch.timer);
    }
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.Created ?? this.#revision;
    const item = {
      Key: key,
      Value: value,
      Revision: this.#revision,
      Created: created,
      Lease: lease,
    };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#history.push({ Key: key, Revision: this.#revision, Gone: true });
    }
  }

  #receive(machine, request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (this.#refused.has(machine)) {
        response.writeHead(503).end();
        return;
      }
      const url = new URL(request.url, 'http://store');
      const body = Buffer.concat(chunks).toString('utf8');
      this.#answer(machine, url, body, response);
    });
  }

  #answer(machine, url, body, response) {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/api/kv-key': {
        const item = this.#items.get(query.get('Key') ?? '');
        this.#send(response, item ? 200 : 404, { ...item, At: this.#revision });
        return;
      }
      case '/api/kv-range': {
        const after = query.get('after') ?? '';
        const items = this.#withPrefix(query.get('PathPrefix') ?? '').filter(
          ({ Key }) => Key > after,
        );
        const page = items.slice(0, PAGE_ITEMS);
        const More = page.length < items.length;
        this.#send(response, 200, { items: page, More, At: this.#revision });
        return;
      }
      case '/api/kv-watch': {
        const watch = {
          machine,
          prefix: query.get('PathPrefix') ?? '',
          after: Number(query.get('after')),
          response,
        };
        const wait = Math.min(30_000, Number(query.get('WaitMs')));
        watch.timer = setTimeout(
          () => this.#finish(watch, 200, { events: [], At: this.#revision }),
          wait,
        );
        response.on('close', () => {
          clearTimeout(watch.timer);
          this.#watches.delete(watch);
        });
        this.#watches.add(watch);
        this.#notify();
        return;
      }
      case '/api/kv-txn':
        this.#transact(JSON.parse(body), response);
        return;
      default:
        this.#send(response, 404, {});
    }
  }

  #withPrefix(prefix) {
    const items = [...this.#items.values()].filter(({ Key }) => Key.startsWith(prefix));
    return items.sort((left, right) => (left.Key < right.Key ? -1 : 1));
  }

  #transact({ IfRevision = [], Put = [], Remove = [] }, response) {
    const failed = IfRevision.filter(
      ({ Key, Revision }) => (this.#items.get(Key)?.Revision ?? 0) !== Revision,
    );
    if (failed.length > 0) {
      this.#send(response, 412, {
        items: failed.map(({ Key }) => this.#items.get(Key) ?? { Key, Revision: 0 }),
      });
      return;
    }
    Put.forEach(({ Key, Value, Lease = 0 }) => this.#write(Key, Value, Lease));
    Remove.forEach((key) => this.#remove(key));
    const Revision = this.#revision;
    this.#notify();
    this.#send(response, 200, { Revision });
  }

  #notify() {
    for (const watch of [...this.#watches]) {
      const events = this.#history.filter(
        ({ Key, Revision }) => Revision > watch.after && Key.startsWith(watch.prefix),
      );
      if (events.length > 0) {
        this.#finish(watch, 200, { events, At: this.#revision });
      }
    }
  }

  #finish(watch, status, body) {
    clearTimeout(watch.timer);
    this.#watches.delete(watch);
    this.#send(watch.response, status, body);
  }

  #send(response, status, body) {
    response.writeHead(status, JSON_TYPE).end(JSON.stringify(body));
  }
}
