/** Writes the initial configuration directly into an emulated key-value service. */
import type { ConfigurationDocument } from '../configuration/documents.js';
import { documentKey, encodeDocument, REVISION_KEY } from '../configuration/stored-documents.js';
import type { KeyValueModel } from './key-value-model.js';

/** Writes the documents and their revision key as one change, without validation. */
export function writeFirstConfiguration(
  keyValue: KeyValueModel,
  documents: readonly ConfigurationDocument[],
): void {
  const change = { id: 'setup', by: 'bench', at: 0, statement: 'setup' };
  const puts = documents.map((entry) => ({
    key: documentKey(entry.kind, entry.document.name),
    value: encodeDocument(entry, change),
  }));
  keyValue.applyChange({
    guards: [],
    puts: [...puts, { key: REVISION_KEY, value: change.id }],
    deletes: [],
  });
}
