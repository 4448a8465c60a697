/** Authenticates and authorises requests by bearer keys, of which only hashes are stored. */
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import type { ClusterConfiguration, KeyDocument } from '../configuration/documents.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';

const BEARER = /^Bearer ([\x21-\x7e]{8,256})$/;

/** SHA-256 of a key in hexadecimal, the form in which keys are stored. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The key document of a request's bearer key, or an `Unauthorised` error. */
export function authenticate(
  request: IncomingMessage,
  configuration: ClusterConfiguration,
): E.Either<CallError, KeyDocument> {
  const match = BEARER.exec(request.headers.authorization ?? '');
  const key = match?.[1];
  if (key === undefined) {
    return E.left(notRun('Unauthorised', 'Send a key in the header "authorization: Bearer KEY".'));
  }
  // The duration of a lookup by hash reveals nothing about the key.
  const document = configuration.keys.get(hashKey(key));
  return document === undefined
    ? E.left(notRun('Unauthorised', 'This key is not known.'))
    : E.right(document);
}

/** The key if it has one of the roles, else a `Forbidden` error. */
export function requireRole(
  key: KeyDocument,
  roles: readonly KeyDocument['role'][],
): E.Either<CallError, KeyDocument> {
  return roles.includes(key.role)
    ? E.right(key)
    : E.left(notRun('Forbidden', `A key with role ${key.role} may not do this.`));
}
