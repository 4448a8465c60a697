// Stand-in for the platform's metadata store, as PROTOCOL describes it: one counter of revisions, linearizable reads,
// watches, and transactions under conditions. Leases are granted and never run out.
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;

export class Store {
  constructor() {
    this.revision = 0;
    this.items = new Map();
    this.history = [];
    this.watches = new Set();
    this.calls = 0;
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(host, port) {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.watches.forEach((watch) => clearTimeout(watch.timer));
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value as the operator or a runner does; returns the revision. */
  put(key, value) {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
    this.wake();
    return this.revision;
  }

  remove(key) {
    this.drop(key);
    this.wake();
    return this.revision;
  }

  /** Reads a value as the operator does; undefined if the key is absent. */
  get(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.Value, 'base64').toString('utf8');
  }

  write(key, value, lease = 0) {
    this.revision += 1;
    const Created = this.items.get(key)?.Created ?? this.revision;
    const item = { Key: key, Value: value, Revision: this.revision, Created, Lease: lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  drop(key) {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.history.push({ Key: key, Revision: this.revision, Gone: true });
    }
  }

  wake() {
    for (const watch of [...this.watches]) {
      const events = this.eventsFor(watch);
      if (events.length > 0) {
        this.finishWatch(watch, events);
      }
    }
  }

  eventsFor({ prefix, after }) {
    return this.history.filter(({ Key, Revision }) => Revision > after && Key.startsWith(prefix));
  }

  finishWatch(watch, events) {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    this.send(watch.response, 200, { events, At: this.revision });
  }

  send(response, status, body) {
    if (!response.destroyed) {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    }
  }

  handle(request, response) {
    this.calls += 1;
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      this.answer(request.method, url, Buffer.concat(chunks).toString('utf8'), response);
    });
  }

  answer(method, { pathname, searchParams: query }, body, response) {
    if (method === 'GET' && pathname === '/api/kv-key') {
      const item = this.items.get(query.get('Key'));
      this.send(response, item ? 200 : 404, { ...item, At: this.revision });
    } else if (method === 'GET' && pathname === '/api/kv-range') {
      const prefix = query.get('PathPrefix') ?? '';
      const after = query.get('after') ?? '';
      const all = [...this.items.values()]
        .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
        .sort((left, right) => (left.Key < right.Key ? -1 : 1));
      const items = all.slice(0, PAGE_ITEMS);
      this.send(response, 200, { items, More: items.length < all.length, At: this.revision });
    } else if (method === 'GET' && pathname === '/api/kv-watch') {
      const watch = {
        prefix: query.get('PathPrefix') ?? '',
        after: Number(query.get('after')),
        response,
      };
      const waitMilliseconds = Math.min(30_000, Number(query.get('WaitMs')));
      watch.timer = setTimeout(() => this.finishWatch(watch, []), waitMilliseconds);
      this.watches.add(watch);
      response.on('close', () => {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
      });
      this.wake();
    } else if (method === 'POST' && pathname === '/api/kv-txn') {
      this.transact(JSON.parse(body), response);
    } else if (method === 'POST' && pathname === '/api/kv-lease') {
      this.revision += 1;
      this.send(response, 200, { Lease: this.revision, TtlMs: JSON.parse(body).TtlMs });
    } else if (method === 'POST' && pathname.startsWith('/api/kv-keep/')) {
      this.send(response, 200, { TtlMs: 3_000 });
    } else if (method === 'DELETE' && pathname.startsWith('/api/kv-lease-end/')) {
      this.send(response, 200, {});
    } else {
      this.send(response, 404, {});
    }
  }

  transact({ IfRevision = [], Put = [], Remove = [] }, response) {
    const keys = [...Put.map(({ Key }) => Key), ...Remove];
    if (keys.some((key) => key.startsWith('op/') || key.startsWith('servers/'))) {
      this.send(response, 403, {});
      return;
    }
    const isAsExpected = IfRevision.every(
      ({ Key, Revision }) => (this.items.get(Key)?.Revision ?? 0) === Revision,
    );
    if (!isAsExpected) {
      const items = IfRevision.flatMap(({ Key }) => this.items.get(Key) ?? []);
      this.send(response, 412, { items });
      return;
    }
    Put.forEach(({ Key, Value, Lease }) => this.write(Key, Value, Lease));
    Remove.forEach((key) => this.drop(key));
    this.wake();
    this.send(response, 200, { Revision: this.revision });
  }
}
