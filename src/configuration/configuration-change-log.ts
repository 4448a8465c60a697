/**
 * Log of recent configuration changes, so that a node that is slightly behind is sent only the
 * changes.
 */
import type { ConfigurationChanges } from '../wire/messages.js';
import { listDocuments } from './documents.js';
import type { ClusterConfiguration, ConfigurationDocument, DocumentKind } from './documents.js';

/** Maximum number of diffs kept; a node that is further behind is sent the whole configuration. */
const MAXIMUM_DIFFS = 256;

/** Kind and name of a document. */
export interface DocumentReference {
  readonly kind: DocumentKind;
  readonly name: string;
}

interface ConfigurationDiff {
  readonly fromRevision: number;
  readonly revision: number;
  readonly documents: readonly ConfigurationDocument[];
  readonly removed: readonly DocumentReference[];
}

function documentId(entry: ConfigurationDocument): string {
  return `${entry.kind}/${entry.document.name}`;
}

function byDocumentId(
  documents: readonly ConfigurationDocument[],
): Map<string, ConfigurationDocument> {
  return new Map(documents.map((entry) => [documentId(entry), entry]));
}

/** Returns the changes from one configuration to the next. */
function diffConfigurations(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): ConfigurationDiff {
  const documents: ConfigurationDocument[] = [];
  const removed: DocumentReference[] = [];
  for (const { kind, from, to } of pairDocumentMaps(before, after)) {
    for (const [key, document] of to) {
      if (!isSame(from.get(key), document)) {
        documents.push({ kind, document } as ConfigurationDocument);
      }
    }
    for (const [key, document] of from) {
      if (!to.has(key)) {
        removed.push({ kind, name: document.name });
      }
    }
  }
  // A replaced key has the same name but another hash, so it is not reported as removed.
  const kept = new Set(documents.map(documentId));
  const removedForGood = removed.filter(({ kind, name }) => !kept.has(`${kind}/${name}`));
  return {
    fromRevision: before.revision,
    revision: after.revision,
    documents,
    removed: removedForGood,
  };
}

type DocumentMap = ReadonlyMap<string, ConfigurationDocument['document']>;

function pairDocumentMaps(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
): { readonly kind: DocumentKind; readonly from: DocumentMap; readonly to: DocumentMap }[] {
  return [
    { kind: 'group', from: before.groups, to: after.groups },
    { kind: 'service', from: before.services, to: after.services },
    { kind: 'engine', from: before.engines, to: after.engines },
    { kind: 'key', from: before.keys, to: after.keys },
  ];
}

/**
 * Whether two documents are equal. Unchanged documents are usually the same object; only others are
 * compared by content.
 */
function isSame(known: object | undefined, document: object): boolean {
  return known === document || JSON.stringify(known) === JSON.stringify(document);
}

/** Returns the documents of a configuration after applying changes to it. */
export function applyChanges(
  configuration: ClusterConfiguration,
  changes: ConfigurationChanges,
): ConfigurationDocument[] {
  const documents = byDocumentId(listDocuments(configuration));
  for (const { kind, name } of JSON.parse(changes.removed) as DocumentReference[]) {
    documents.delete(`${kind}/${name}`);
  }
  for (const entry of JSON.parse(changes.documents) as ConfigurationDocument[]) {
    documents.set(documentId(entry), entry);
  }
  return [...documents.values()];
}

/** Keeps the newest diffs between configurations. */
export class ConfigurationChangeLog {
  private readonly diffs: ConfigurationDiff[] = [];

  /**
   * Records a change of the configuration. The first configuration is not recorded, since it
   * follows none.
   */
  add(before: ClusterConfiguration, after: ClusterConfiguration): void {
    if (before.revision === 0) {
      return;
    }
    this.diffs.push(diffConfigurations(before, after));
    if (this.diffs.length > MAXIMUM_DIFFS) {
      this.diffs.shift();
    }
  }

  /** Returns the changes since a revision; undefined if the log does not reach back to it. */
  since(revision: number): ConfigurationChanges | undefined {
    const newer = this.diffs.filter((diff) => diff.revision > revision);
    const first = newer[0];
    const last = newer[newer.length - 1];
    if (first === undefined || last === undefined || first.fromRevision > revision) {
      return undefined;
    }
    const documents = new Map<string, ConfigurationDocument>();
    const removed = new Map<string, DocumentReference>();
    for (const diff of newer) {
      for (const entry of diff.documents) {
        documents.set(documentId(entry), entry);
        removed.delete(documentId(entry));
      }
      for (const reference of diff.removed) {
        documents.delete(`${reference.kind}/${reference.name}`);
        removed.set(`${reference.kind}/${reference.name}`, reference);
      }
    }
    return {
      type: 'configurationChanges',
      fromRevision: first.fromRevision,
      revision: last.revision,
      documents: JSON.stringify([...documents.values()]),
      removed: JSON.stringify([...removed.values()]),
    };
  }
}
