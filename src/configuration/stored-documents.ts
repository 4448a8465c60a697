/** Storage format of configuration documents in the key-value service. */
import * as E from 'fp-ts/lib/Either.js';
import type * as t from 'io-ts';
import { PathReporter } from 'io-ts/lib/PathReporter.js';
import type { KeyValue } from '../platform/key-value-port.js';
import { DOCUMENT_CODECS } from './documents.js';
import type { ConfigurationDocument, DocumentKind } from './documents.js';

/** Prefix of all configuration keys. */
export const CONFIGURATION_PREFIX = '/ivyloom/configuration/';
/** Key written with every change, so that deletions raise the revision too. */
export const REVISION_KEY = `${CONFIGURATION_PREFIX}revision`;
/** Prefix of the change records, by change id; outside the prefix that nodes follow. */
export const CHANGE_PREFIX = '/ivyloom/change/';

/** Author and time of a change, stored with the document that it wrote. */
export interface ChangeMetadata {
  readonly id: string;
  readonly by: string;
  /** Time of the change, in milliseconds since 1970. */
  readonly at: number;
  readonly statement: string;
}

/** A document as stored, with the change that wrote it. */
export interface StoredDocument {
  readonly document: unknown;
  readonly change: ChangeMetadata;
}

/** Returns the key of a document. */
export function documentKey(kind: DocumentKind, name: string): string {
  return `${CONFIGURATION_PREFIX}${kind}/${name}`;
}

/** Encodes a document with the metadata of the change that wrote it. */
export function encodeDocument(entry: ConfigurationDocument, change: ChangeMetadata): string {
  const stored: StoredDocument = { document: entry.document, change };
  return JSON.stringify(stored);
}

/** Validates a document of a kind; every mistake names its path and the expected value. */
export function checkDocument(
  kind: DocumentKind,
  document: unknown,
): E.Either<string[], ConfigurationDocument> {
  const codec = DOCUMENT_CODECS[kind] as t.Decoder<unknown, ConfigurationDocument['document']>;
  const result = codec.decode(document);
  return E.isRight(result)
    ? E.right({ kind, document: result.right } as ConfigurationDocument)
    : E.left(PathReporter.report(result));
}

/** Documents read from the service, and descriptions of those that were rejected. */
export interface DecodedPairs {
  readonly revision: number;
  readonly documents: readonly ConfigurationDocument[];
  readonly rejected: readonly string[];
}

function isKind(text: string): text is DocumentKind {
  return text in DOCUMENT_CODECS;
}

function decodePair(pair: KeyValue): E.Either<string[], ConfigurationDocument> {
  const [kind = ''] = pair.key.slice(CONFIGURATION_PREFIX.length).split('/');
  if (!isKind(kind)) {
    return E.left([`${pair.key}: unknown kind`]);
  }
  try {
    const stored = JSON.parse(pair.value) as StoredDocument;
    return checkDocument(kind, stored.document);
  } catch {
    return E.left([`${pair.key}: not JSON`]);
  }
}

/** Decodes all documents of a range; invalid ones are left out and described in `rejected`. */
export function decodePairs(pairs: readonly KeyValue[]): DecodedPairs {
  const documents: ConfigurationDocument[] = [];
  const rejected: string[] = [];
  let revision = 0;
  for (const pair of pairs) {
    revision = Math.max(revision, pair.modRevision);
    if (pair.key === REVISION_KEY) {
      continue;
    }
    const decoded = decodePair(pair);
    if (E.isRight(decoded)) {
      documents.push(decoded.right);
    } else {
      rejected.push(...decoded.left);
    }
  }
  return { revision, documents, rejected };
}
