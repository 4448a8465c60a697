/** Collects the rows of one table from every node within a time limit; lists nodes that did not answer. */
import type { NodeId } from '../model/identifiers.js';
import type { Runtime } from '../runtime/runtime.js';
import type { Message, RowsReply, RowsRequest } from '../wire/messages.js';

/** Timeout of a collection, in milliseconds. */
const COLLECTION_MILLISECONDS = 2_000;

/** Value of one column of a row. */
export type RowValue = string | number | boolean;
/** One row of a table, by column name. */
export type Row = Readonly<Record<string, RowValue>>;

/** Rows of all nodes that answered, and the nodes that did not. */
export interface CollectedRows {
  readonly rows: readonly Row[];
  readonly unreachable: readonly NodeId[];
}

/** Identity and dependencies of a row collector. */
export interface RowCollectorOptions {
  readonly runtime: Runtime;
  readonly self: NodeId;
  readonly peers: () => readonly NodeId[];
  readonly send: (to: NodeId, message: Message) => void;
  readonly listLocalRows: (table: string) => Row[];
}

interface Collection {
  readonly rows: Row[];
  readonly missing: Set<NodeId>;
  readonly finish: () => void;
}

/** Queries the nodes' rows and answers the queries of other nodes. */
export class RowCollector {
  private readonly collections = new Map<string, Collection>();
  private queryCount = 0;

  constructor(private readonly options: RowCollectorOptions) {}

  /** Collects a table from all nodes; calls the listener once, at the timeout at the latest. */
  collect(table: string, listener: (result: CollectedRows) => void): void {
    const { runtime, self, peers, send, listLocalRows } = this.options;
    this.queryCount += 1;
    const query = `${self}:${this.queryCount}`;
    const others = peers().filter((peer) => peer !== self);
    const rows = listLocalRows(table);
    const missing = new Set(others);
    const finish = (): void => {
      if (this.collections.delete(query)) {
        cancel();
        listener({ rows, unreachable: [...missing] });
      }
    };
    const cancel = runtime.setTimer(COLLECTION_MILLISECONDS, finish);
    this.collections.set(query, { rows, missing, finish });
    others.forEach((peer) => send(peer, { type: 'rowsRequest', query, table }));
    if (others.length === 0) {
      finish();
    }
  }

  /** Answers another node's request for rows. */
  receiveRequest(from: NodeId, message: RowsRequest): void {
    const rows = JSON.stringify(this.options.listLocalRows(message.table));
    this.options.send(from, { type: 'rowsReply', query: message.query, rows });
  }

  /** Adds the rows of a node to their collection. */
  receiveReply(from: NodeId, message: RowsReply): void {
    const collection = this.collections.get(message.query);
    if (collection === undefined || !collection.missing.delete(from)) {
      return;
    }
    collection.rows.push(...(JSON.parse(message.rows) as Row[]));
    if (collection.missing.size === 0) {
      collection.finish();
    }
  }
}
