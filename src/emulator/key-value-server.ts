/** Serves the emulated key-value service with the JSON gateway API of etcd v3. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { GuardedChange } from '../platform/key-value-port.js';
import { readJson, sendJson } from './http-helpers.js';
import type { KeyValueModel } from './key-value-model.js';

interface WireTransaction {
  readonly compare?: readonly { key: string; mod_revision?: string }[];
  readonly success?: readonly {
    request_put?: { key: string; value?: string };
    request_delete_range?: { key: string };
  }[];
}

interface WireWatch {
  readonly create_request?: { readonly key: string };
}

function decodeBase64(text: string | undefined): string {
  return Buffer.from(text ?? '', 'base64').toString('utf8');
}

function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

/** HTTP server of an emulated key-value service; while it is down, connections are closed. */
export class KeyValueServer {
  private readonly server: Server;

  constructor(private readonly model: KeyValueModel) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
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
    if (this.model.isDown) {
      request.socket.destroy();
      return;
    }
    if (!this.model.admitRequest()) {
      sendJson(response, 429, { message: 'too many requests' });
      return;
    }
    switch (request.url) {
      case '/v3/kv/range':
        this.range(await readJson<{ key: string; range_end?: string }>(request), response);
        return;
      case '/v3/kv/txn':
        this.transact(await readJson<WireTransaction>(request), response);
        return;
      case '/v3/watch':
        this.watch(await readJson<WireWatch>(request), response);
        return;
      default:
        sendJson(response, 404, { message: 'not found' });
    }
  }

  private range(body: { key: string; range_end?: string }, response: ServerResponse): void {
    const key = decodeBase64(body.key);
    const { revision, pairs } = this.model.readRange(key);
    const found = body.range_end === undefined ? pairs.filter((pair) => pair.key === key) : pairs;
    sendJson(response, 200, {
      header: { revision: String(revision) },
      kvs: found.map((pair) => ({
        key: encodeBase64(pair.key),
        value: encodeBase64(pair.value),
        mod_revision: String(pair.modRevision),
      })),
    });
  }

  private transact(body: WireTransaction, response: ServerResponse): void {
    const operations = body.success ?? [];
    const change: GuardedChange = {
      guards: (body.compare ?? []).map((compare) => ({
        key: decodeBase64(compare.key),
        modRevision: Number(compare.mod_revision ?? 0),
      })),
      puts: operations.flatMap(({ request_put: put }) =>
        put === undefined ? [] : [{ key: decodeBase64(put.key), value: decodeBase64(put.value) }],
      ),
      deletes: operations.flatMap(({ request_delete_range: range }) =>
        range === undefined ? [] : [decodeBase64(range.key)],
      ),
    };
    const { applied, revision } = this.model.applyChange(change);
    sendJson(response, 200, { header: { revision: String(revision) }, succeeded: applied });
  }

  private watch(body: WireWatch, response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.write(`${JSON.stringify({ result: { created: true } })}\n`);
    const stop = this.model.addWatcher(decodeBase64(body.create_request?.key), () => {
      response.write(`${JSON.stringify({ result: { events: [{}] } })}\n`);
    });
    response.on('close', stop);
  }
}
