/** The key-value port over the JSON gateway of etcd v3 (range, txn, watch). */
import * as E from 'fp-ts/lib/Either.js';
import { Agent, request } from 'undici';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { Runtime } from '../runtime/runtime.js';
import type {
  ChangeResult,
  GuardedChange,
  KeyValueError,
  KeyValueListener,
  KeyValuePort,
  RangeResult,
} from './key-value-port.js';

const REQUEST_TIMEOUT_MILLISECONDS = 2_000;
const WATCH_RETRY_DELAY_MILLISECONDS = 1_000;
const TOO_MANY_REQUESTS = 429;

interface WireRange {
  readonly header?: { readonly revision?: string };
  readonly kvs?: readonly { key: string; value?: string; mod_revision: string }[];
}

interface WireTransaction {
  readonly header?: { readonly revision?: string };
  readonly succeeded?: boolean;
}

function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}

/** The base64 `range_end` for all keys with a prefix: the prefix with its last byte incremented. */
export function encodeRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix, 'utf8');
  const last = bytes.length - 1;
  bytes[last] = bytes[last]! + 1;
  return bytes.toString('base64');
}

/** Options of `EtcdKeyValue`. */
export interface EtcdKeyValueOptions {
  /** Base URL of the JSON gateway, `http://address:port`. */
  readonly url: string;
  readonly runtime: Runtime;
}

/** Key-value client that sends each operation as one HTTP request to the JSON gateway of etcd. */
export class EtcdKeyValue implements KeyValuePort {
  private readonly agent = new Agent({
    bodyTimeout: 0,
    connect: { timeout: REQUEST_TIMEOUT_MILLISECONDS },
  });
  private closed = false;

  constructor(private readonly options: EtcdKeyValueOptions) {}

  range(prefix: string, listener: KeyValueListener<RangeResult>): void {
    const body = { key: encodeBase64(prefix), range_end: encodeRangeEnd(prefix) };
    this.post<WireRange, RangeResult>('/v3/kv/range', body, false, listener, (answer) => ({
      revision: Number(answer.header?.revision ?? 0),
      pairs: (answer.kvs ?? []).map((pair) => ({
        key: decodeBase64(pair.key),
        value: decodeBase64(pair.value ?? ''),
        modRevision: Number(pair.mod_revision),
      })),
    }));
  }

  change(change: GuardedChange, listener: KeyValueListener<ChangeResult>): void {
    const body = {
      compare: change.guards.map(({ key, modRevision }) => ({
        key: encodeBase64(key),
        target: 'MOD',
        result: 'EQUAL',
        mod_revision: String(modRevision),
      })),
      success: [
        ...change.puts.map(({ key, value }) => ({
          request_put: { key: encodeBase64(key), value: encodeBase64(value) },
        })),
        ...change.deletes.map((key) => ({ request_delete_range: { key: encodeBase64(key) } })),
      ],
    };
    this.post<WireTransaction, ChangeResult>('/v3/kv/txn', body, true, listener, (answer) => ({
      applied: answer.succeeded === true,
      revision: Number(answer.header?.revision ?? 0),
    }));
  }

  watch(prefix: string, fromRevision: number, onChange: () => void): () => void {
    const abort = new AbortController();
    let isOpen = false;
    const ensureOpen = (): void => {
      if (isOpen || this.closed) {
        return;
      }
      isOpen = true;
      this.readWatch(prefix, fromRevision, abort.signal, onChange).then(
        () => (isOpen = false),
        () => (isOpen = false),
      );
    };
    ensureOpen();
    const cancel = setRepeatingTimer(
      this.options.runtime,
      WATCH_RETRY_DELAY_MILLISECONDS,
      ensureOpen,
    );
    return () => {
      cancel();
      abort.abort();
    };
  }

  /** Closes all connections. */
  close(): void {
    this.closed = true;
    void this.agent.destroy();
  }

  private async readWatch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
    onChange: () => void,
  ): Promise<void> {
    const range = { key: encodeBase64(prefix), range_end: encodeRangeEnd(prefix) };
    const start = fromRevision > 0 ? { start_revision: String(fromRevision) } : {};
    const response = await request(`${this.options.url}/v3/watch`, {
      method: 'POST',
      dispatcher: this.agent,
      signal,
      body: JSON.stringify({ create_request: { ...range, ...start } }),
    });
    for await (const _chunk of response.body) {
      // The event itself is ignored: events may have been missed, so the follower reads the range.
      onChange();
    }
  }

  private post<Wire, Result>(
    path: string,
    body: unknown,
    isWrite: boolean,
    listener: KeyValueListener<Result>,
    convert: (answer: Wire) => Result,
  ): void {
    const report = (result: E.Either<KeyValueError, Result>): void => listener(result);
    request(this.options.url + path, {
      method: 'POST',
      dispatcher: this.agent,
      headers: { 'content-type': 'application/json' },
      headersTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      bodyTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      body: JSON.stringify(body),
    })
      .then(async (response) => {
        const answer = (await response.body.json()) as Wire;
        return { status: response.statusCode, answer };
      })
      .then(({ status, answer }) => {
        if (status === 200) {
          report(E.right(convert(answer)));
        } else if (status === TOO_MANY_REQUESTS) {
          const detail = 'too many requests';
          report(E.left({ tag: 'RateLimited', mayHaveApplied: false, detail }));
        } else {
          const detail = `status ${status}`;
          report(E.left({ tag: 'Unavailable', mayHaveApplied: isWrite, detail }));
        }
      })
      .catch((cause: unknown) => report(E.left(describeError(cause, isWrite))));
  }
}

function describeError(cause: unknown, isWrite: boolean): KeyValueError {
  const error = cause as { code?: string; message?: string };
  const neverConnected = error.code === 'ECONNREFUSED' || error.code === 'UND_ERR_CONNECT_TIMEOUT';
  const mayHaveApplied = isWrite && !neverConnected;
  const detail = error.message ?? 'no answer';
  return { tag: mayHaveApplied ? 'AnswerLost' : 'Unavailable', mayHaveApplied, detail };
}
