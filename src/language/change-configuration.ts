/** Statements that change the configuration; each edits one document in one transaction. */
import { randomBytes } from 'node:crypto';
import * as E from 'fp-ts/lib/Either.js';
import type { DocumentEdit } from '../configuration/configuration-writer.js';
import type { ConfigurationDocument, EngineDocument } from '../configuration/documents.js';
import { checkDocument } from '../configuration/stored-documents.js';
import { hashKey } from '../gateway/authentication.js';
import { notRun } from '../model/verdict.js';
import type { CallError } from '../model/verdict.js';
import type { IvyloomNode } from '../node/node.js';
import type { InForceState, StatementListener } from './run-statement.js';
import type {
  CreateStatement,
  DeleteStatement,
  DrainStatement,
  ObjectKind,
  Properties,
  SetStatement,
} from './statement.js';

type ChangeStatement = SetStatement | CreateStatement | DeleteStatement | DrainStatement;

/** Time that a command waits for all nodes to acknowledge its change, in milliseconds. */
const IN_FORCE_TIMEOUT_MILLISECONDS = 12_000;
/** Interval at which acknowledgements are checked, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 100;
/** Random bytes of a new API key. */
const KEY_BYTES = 24;

/** Origin of a change, stored with it: request id, operator and statement. */
export interface ChangeOrigin {
  readonly id: string;
  readonly by: string;
  readonly statement: string;
}

interface PlannedEdit {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly edit: DocumentEdit;
  readonly secret?: string;
}

const DEFAULTS: Readonly<Record<ObjectKind, Readonly<Record<string, unknown>>>> = {
  group: { share: 1, budget: 0 },
  service: { kind: 'model', groups: [] },
  engine: { concurrency: 16, cacheTokens: 0, draining: false, zone: '', url: '', service: '' },
  key: { group: '', role: 'caller', sha256: '' },
};

function createNotFoundError(kind: ObjectKind, name: string): CallError {
  return notRun('NotFound', `There is no ${kind} ${name}.`);
}

function validateDocument(kind: ObjectKind, document: unknown): ReturnType<DocumentEdit> {
  const result = checkDocument(kind, document);
  return E.isRight(result)
    ? E.right({ put: result.right })
    : E.left(notRun('Malformed', result.left.join('; ')));
}

function findUnknownProperty(kind: ObjectKind, properties: Properties): CallError | undefined {
  const known = Object.keys(DEFAULTS[kind]).filter((name) => name !== 'sha256');
  const unknown = Object.keys(properties).find((name) => !known.includes(name));
  return unknown === undefined
    ? undefined
    : notRun('Malformed', `A ${kind} has no "${unknown}"; it has ${known.join(', ')}.`);
}

function planCreate(statement: CreateStatement): PlannedEdit {
  const { kind, name, properties } = statement;
  const secret = kind === 'key' ? `ivy_${randomBytes(KEY_BYTES).toString('base64url')}` : undefined;
  const hash = secret === undefined ? {} : { sha256: hashKey(secret) };
  const edit: DocumentEdit = (current) => {
    if (current !== undefined) {
      return E.left(notRun('Conflict', `The ${kind} ${name} exists; use "set" to change it.`));
    }
    return validateDocument(kind, { ...DEFAULTS[kind], ...properties, ...hash, name });
  };
  return { kind, name, edit, ...(secret === undefined ? {} : { secret }) };
}

function planSet(statement: SetStatement): PlannedEdit {
  const { kind, name, properties } = statement;
  return { kind, name, edit: (current) => mergeProperties(kind, name, current, properties) };
}

function mergeProperties(
  kind: ObjectKind,
  name: string,
  current: ConfigurationDocument | undefined,
  properties: Readonly<Partial<EngineDocument>> | Properties,
): ReturnType<DocumentEdit> {
  return current === undefined
    ? E.left(createNotFoundError(kind, name))
    : validateDocument(kind, { ...current.document, ...properties });
}

function plan(statement: ChangeStatement): PlannedEdit {
  switch (statement.type) {
    case 'create':
      return planCreate(statement);
    case 'set':
      return planSet(statement);
    case 'delete': {
      const { kind, name } = statement;
      const edit: DocumentEdit = (current) =>
        current === undefined ? E.left(createNotFoundError(kind, name)) : E.right({ remove: true });
      return { kind, name, edit };
    }
    case 'drain':
    case 'resume': {
      const { name } = statement;
      const draining = statement.type === 'drain';
      return {
        kind: 'engine',
        name,
        edit: (current) => mergeProperties('engine', name, current, { draining }),
      };
    }
  }
}

/** Applies a change, then waits until all nodes have it in force or the timeout passes. */
export function changeConfiguration(
  node: IvyloomNode,
  statement: ChangeStatement,
  origin: ChangeOrigin,
  listener: StatementListener,
): void {
  const hasProperties = statement.type === 'create' || statement.type === 'set';
  const propertyError = hasProperties
    ? findUnknownProperty(statement.kind, statement.properties)
    : undefined;
  if (propertyError !== undefined) {
    listener(E.left(propertyError));
    return;
  }
  const { kind, name, edit, secret } = plan(statement);
  node.writer.edit({ ...origin, kind, name, edit }, (result) => {
    if (E.isLeft(result)) {
      listener(result);
      return;
    }
    const revision = result.right;
    node.configuration.read();
    waitUntilInForce(node, revision, (inForce) => {
      const verdict = 'Ran' as const;
      const base = { columns: [], rows: [], unreachable: [], verdict, revision, inForce };
      listener(E.right({ ...base, ...(secret === undefined ? {} : { secret }) }));
    });
  });
}

function inForceState(node: IvyloomNode, revision: number): InForceState {
  const names = node.options.nodes.map((peer) => peer.node);
  const acknowledged = node.configuration.acknowledgedRevisions;
  const missing = names.filter((name) => (acknowledged.get(name) ?? 0) < revision);
  return { acknowledged: names.length - missing.length, total: names.length, missing };
}

function waitUntilInForce(
  node: IvyloomNode,
  revision: number,
  done: (state: InForceState) => void,
): void {
  const { runtime } = node.options;
  const started = runtime.now();
  const poll = (): void => {
    const state = inForceState(node, revision);
    if (state.missing.length === 0 || runtime.now() - started > IN_FORCE_TIMEOUT_MILLISECONDS) {
      done(state);
      return;
    }
    node.configuration.askPeers(state.missing);
    runtime.setTimer(POLL_INTERVAL_MILLISECONDS, poll);
  };
  poll();
}
