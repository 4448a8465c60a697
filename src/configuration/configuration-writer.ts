/**
 * Writes the configuration by compare-and-swap under a change id. If an answer is lost, a read of
 * the change id tells whether the change took effect; of two concurrent edits of a document, the
 * later one is reported as a conflict.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { KeyValue, KeyValueError, KeyValuePort } from '../platform/key-value-port.js';
import type { CallError } from '../model/verdict.js';
import { mayHaveRun, notRun } from '../model/verdict.js';
import type { Runtime } from '../runtime/runtime.js';
import type { ConfigurationDocument, DocumentKind } from './documents.js';
import {
  CHANGE_PREFIX,
  checkDocument,
  CONFIGURATION_PREFIX,
  documentKey,
  encodeDocument,
  REVISION_KEY,
} from './stored-documents.js';
import type { ChangeMetadata, StoredDocument } from './stored-documents.js';

/** Pause between attempts to find out whether a change took effect, in milliseconds. */
const RESOLVE_PAUSE_MILLISECONDS = 500;
/** Maximum number of attempts to find out whether a change took effect. */
const RESOLVE_TRIES = 20;

/** A change of documents, applied as a whole or not at all. */
export interface DocumentChange {
  readonly id: string;
  readonly by: string;
  readonly statement: string;
  readonly puts: readonly ConfigurationDocument[];
  readonly deletes: readonly { readonly kind: DocumentKind; readonly name: string }[];
}

/**
 * Computes a change from the stored document, which is undefined if there is none, or rejects it.
 */
export type DocumentEdit = (
  current: ConfigurationDocument | undefined,
) => E.Either<CallError, { put?: ConfigurationDocument; remove?: boolean }>;

/** An operator's edit of one document. */
export interface EditRequest {
  readonly id: string;
  readonly by: string;
  readonly statement: string;
  readonly kind: DocumentKind;
  readonly name: string;
  readonly edit: DocumentEdit;
}

/** Receives the result of a change: the revision at which it was accepted, or the error. */
export type ChangeListener = (result: E.Either<CallError, number>) => void;

export interface ConfigurationWriterOptions {
  readonly runtime: Runtime;
  readonly keyValue: KeyValuePort;
}

interface PreparedChange {
  readonly id: string;
  readonly puts: readonly { readonly key: string; readonly value: string }[];
  readonly deletes: readonly string[];
  readonly guards: readonly { readonly key: string; readonly modRevision: number }[];
}

/** Writes documents with the metadata of the change that wrote them. */
export class ConfigurationWriter {
  constructor(private readonly options: ConfigurationWriterOptions) {}

  /** Reads a document, edits it and writes it back, on condition that it has not changed since. */
  edit(request: EditRequest, listener: ChangeListener): void {
    const key = documentKey(request.kind, request.name);
    this.options.keyValue.range(key, (result) => {
      if (E.isLeft(result)) {
        listener(E.left(notRun('Unavailable', describe(result.left), 2)));
        return;
      }
      const pair = result.right.pairs.find((candidate) => candidate.key === key);
      this.writeEdited(request, key, pair, listener);
    });
  }

  /** Writes documents regardless of what is stored; used for the first setup. */
  replace(change: DocumentChange, listener: ChangeListener): void {
    const metadata = this.metadataOf(change);
    const puts = change.puts.map((entry) => ({
      key: documentKey(entry.kind, entry.document.name),
      value: encodeDocument(entry, metadata),
    }));
    const deletes = change.deletes.map(({ kind, name }) => documentKey(kind, name));
    this.write({ id: change.id, puts, deletes, guards: [] }, metadata, listener);
  }

  private metadataOf(change: { id: string; by: string; statement: string }): ChangeMetadata {
    const { id, by, statement } = change;
    return { id, by, statement, at: this.options.runtime.wallTime() };
  }

  private writeEdited(
    request: EditRequest,
    key: string,
    pair: KeyValue | undefined,
    listener: ChangeListener,
  ): void {
    const current = pair === undefined ? undefined : readStored(request.kind, pair);
    const edited = request.edit(current);
    if (E.isLeft(edited)) {
      listener(edited);
      return;
    }
    const metadata = this.metadataOf(request);
    const { put, remove } = edited.right;
    const puts = put === undefined ? [] : [{ key, value: encodeDocument(put, metadata) }];
    const deletes = remove === true ? [key] : [];
    const guards = [{ key, modRevision: pair?.modRevision ?? 0 }];
    this.write({ id: request.id, puts, deletes, guards }, metadata, listener);
  }

  private write(change: PreparedChange, metadata: ChangeMetadata, listener: ChangeListener): void {
    const changeKey = CHANGE_PREFIX + change.id;
    const guarded = {
      guards: [...change.guards, { key: changeKey, modRevision: 0 }],
      puts: [
        ...change.puts,
        { key: REVISION_KEY, value: change.id },
        { key: changeKey, value: JSON.stringify(metadata) },
      ],
      deletes: change.deletes,
    };
    this.options.keyValue.change(guarded, (result) => {
      if (E.isLeft(result)) {
        this.handleWriteError(change, result.left, listener);
      } else if (result.right.applied) {
        listener(E.right(result.right.revision));
      } else {
        this.resolve(change, RESOLVE_TRIES, true, listener);
      }
    });
  }

  private handleWriteError(
    change: PreparedChange,
    error: KeyValueError,
    listener: ChangeListener,
  ): void {
    if (error.mayHaveApplied) {
      this.resolve(change, RESOLVE_TRIES, false, listener);
    } else {
      listener(E.left(notRun('Unavailable', describe(error), 2)));
    }
  }

  /**
   * Reads whether the change took effect: its id is stored in the same transaction.
   * @param wasRejected whether a guard of the change failed, so that it cannot take effect later
   */
  private resolve(
    change: PreparedChange,
    tries: number,
    wasRejected: boolean,
    listener: ChangeListener,
  ): void {
    const { keyValue, runtime } = this.options;
    const changeKey = CHANGE_PREFIX + change.id;
    keyValue.range(changeKey, (result) => {
      if (E.isRight(result)) {
        const found = result.right.pairs.find((pair) => pair.key === changeKey);
        if (found !== undefined) {
          listener(E.right(found.modRevision));
        } else if (wasRejected) {
          this.reportConflict(change, listener);
        } else {
          this.writeTombstone(change, tries, listener);
        }
        return;
      }
      if (tries <= 1) {
        const detail = 'The key-value service did not say whether the change took effect.';
        listener(E.left(mayHaveRun('Unavailable', detail)));
        return;
      }
      runtime.setTimer(RESOLVE_PAUSE_MILLISECONDS, () =>
        this.resolve(change, tries - 1, wasRejected, listener),
      );
    });
  }

  /**
   * Handles a change that is not stored, though its request may still be in flight. Claiming its id
   * in a guarded write ensures that the change cannot take effect later.
   */
  private writeTombstone(change: PreparedChange, tries: number, listener: ChangeListener): void {
    const changeKey = CHANGE_PREFIX + change.id;
    const tombstone = {
      guards: [{ key: changeKey, modRevision: 0 }],
      puts: [{ key: changeKey, value: '' }],
      deletes: [],
    };
    this.options.keyValue.change(tombstone, (result) => {
      if (E.isRight(result) && result.right.applied) {
        const detail = 'The key-value service lost the change; nothing was changed.';
        listener(E.left(notRun('Unavailable', detail, 1)));
      } else if (E.isRight(result) || tries > 1) {
        this.resolveAfterTombstone(change, tries - 1, listener);
      } else {
        const detail = 'The key-value service did not say whether the change took effect.';
        listener(E.left(mayHaveRun('Unavailable', detail)));
      }
    });
  }

  private resolveAfterTombstone(
    change: PreparedChange,
    tries: number,
    listener: ChangeListener,
  ): void {
    const changeKey = CHANGE_PREFIX + change.id;
    const { keyValue, runtime } = this.options;
    runtime.setTimer(RESOLVE_PAUSE_MILLISECONDS, () => {
      keyValue.range(changeKey, (result) => {
        const found = E.isRight(result)
          ? result.right.pairs.find((pair) => pair.key === changeKey)
          : undefined;
        if (found === undefined) {
          if (tries > 1) {
            this.writeTombstone(change, tries, listener);
          } else {
            const detail = 'The key-value service did not say whether the change took effect.';
            listener(E.left(mayHaveRun('Unavailable', detail)));
          }
        } else if (found.value === '') {
          const detail = 'The key-value service lost the change; nothing was changed.';
          listener(E.left(notRun('Unavailable', detail, 1)));
        } else {
          listener(E.right(found.modRevision));
        }
      });
    });
  }

  private reportConflict(change: PreparedChange, listener: ChangeListener): void {
    const key = change.guards[0]?.key ?? CONFIGURATION_PREFIX;
    this.options.keyValue.range(key, (result) => {
      const pair = E.isRight(result)
        ? result.right.pairs.find((candidate) => candidate.key === key)
        : undefined;
      const metadata = pair === undefined ? undefined : readChangeMetadata(pair);
      const what =
        metadata === undefined ? 'it was deleted' : `${metadata.by} ran: ${metadata.statement}`;
      const detail = `The document changed in the meantime (${what}); nothing was changed.`;
      listener(E.left(notRun('Conflict', detail, 1)));
    });
  }
}

function describe(error: KeyValueError): string {
  return `The key-value service refused (${error.tag}): ${error.detail}`;
}

function readStored(kind: DocumentKind, pair: KeyValue): ConfigurationDocument | undefined {
  try {
    const stored = JSON.parse(pair.value) as StoredDocument;
    const checked = checkDocument(kind, stored.document);
    return E.isRight(checked) ? checked.right : undefined;
  } catch {
    return undefined;
  }
}

function readChangeMetadata(pair: KeyValue): ChangeMetadata | undefined {
  try {
    return (JSON.parse(pair.value) as StoredDocument).change;
  } catch {
    return undefined;
  }
}
