/**
 * Configuration documents of the cluster: groups, services, engines and keys, with their io-ts
 * codecs.
 */
import * as t from 'io-ts';
import type { EngineId, GroupName, ServiceName } from '../model/identifiers.js';

const nonNegativeNumber = t.refinement(
  t.number,
  (value) => Number.isFinite(value) && value >= 0,
  'number >= 0',
);
const name = t.refinement(
  t.string,
  (value) => /^[a-z0-9][a-z0-9._-]{0,62}$/.test(value),
  'name of lower-case letters, digits, dots, dashes',
);

/** A group of callers, with its share of the engines and its token budget. */
export const groupCodec = t.strict({
  name,
  /** Weight of the group when engines are scarce. */
  share: nonNegativeNumber,
  /** Total number of tokens that the group may use. */
  budget: nonNegativeNumber,
});

/** A service, provided by interchangeable engines. */
export const serviceCodec = t.strict({
  name,
  kind: t.keyof({ model: null, tool: null }),
  /** Groups that may call the service; an empty list allows all. */
  groups: t.array(name),
});

/** An engine: one back end of a service. */
export const engineCodec = t.strict({
  name,
  service: name,
  zone: t.string,
  /** Base URL of the engine, `http://address:port`. */
  url: t.string,
  /** Maximum number of concurrent calls. */
  concurrency: nonNegativeNumber,
  /** Capacity of the prompt cache in tokens; 0 for a tool. */
  cacheTokens: nonNegativeNumber,
  /** Whether the engine is draining and accepts no new calls. */
  draining: t.boolean,
});

/** A caller's or operator's key, stored as a hash. */
export const keyCodec = t.strict({
  name,
  /** Group that the key belongs to; empty for an operator's key. */
  group: t.string,
  role: t.keyof({ caller: null, operator: null, viewer: null }),
  /** SHA-256 of the key, in hexadecimal. */
  sha256: t.string,
});

export type GroupDocument = t.TypeOf<typeof groupCodec>;
export type ServiceDocument = t.TypeOf<typeof serviceCodec>;
export type EngineDocument = t.TypeOf<typeof engineCodec>;
export type KeyDocument = t.TypeOf<typeof keyCodec>;

/** Kinds of documents; also the segment before the name in their keys in the key-value service. */
export type DocumentKind = 'group' | 'service' | 'engine' | 'key';

/** Codec of each kind of document. */
export const DOCUMENT_CODECS = {
  group: groupCodec,
  service: serviceCodec,
  engine: engineCodec,
  key: keyCodec,
} as const;

/** A document with its kind, as it is stored and sent to peers. */
export type ConfigurationDocument =
  | { readonly kind: 'group'; readonly document: GroupDocument }
  | { readonly kind: 'service'; readonly document: ServiceDocument }
  | { readonly kind: 'engine'; readonly document: EngineDocument }
  | { readonly kind: 'key'; readonly document: KeyDocument };

/** The whole configuration at one revision of the key-value service. */
export interface ClusterConfiguration {
  /** 0 before the first configuration was read; never decreases. */
  readonly revision: number;
  readonly groups: ReadonlyMap<GroupName, GroupDocument>;
  readonly services: ReadonlyMap<ServiceName, ServiceDocument>;
  readonly engines: ReadonlyMap<EngineId, EngineDocument>;
  readonly keys: ReadonlyMap<string, KeyDocument>;
}

/** The configuration before any was read. */
export const EMPTY_CONFIGURATION: ClusterConfiguration = {
  revision: 0,
  groups: new Map(),
  services: new Map(),
  engines: new Map(),
  keys: new Map(),
};

/** Builds a configuration from its documents. */
export function buildConfiguration(
  revision: number,
  documents: readonly ConfigurationDocument[],
): ClusterConfiguration {
  const groups = new Map<GroupName, GroupDocument>();
  const services = new Map<ServiceName, ServiceDocument>();
  const engines = new Map<EngineId, EngineDocument>();
  const keys = new Map<string, KeyDocument>();
  for (const entry of documents) {
    switch (entry.kind) {
      case 'group':
        groups.set(entry.document.name, entry.document);
        break;
      case 'service':
        services.set(entry.document.name, entry.document);
        break;
      case 'engine':
        engines.set(entry.document.name, entry.document);
        break;
      case 'key':
        keys.set(entry.document.sha256, entry.document);
    }
  }
  return { revision, groups, services, engines, keys };
}

/** Returns the documents of a configuration, in a fixed order. */
export function listDocuments(configuration: ClusterConfiguration): ConfigurationDocument[] {
  return [
    ...[...configuration.groups.values()].map((document) => ({ kind: 'group', document }) as const),
    ...[...configuration.services.values()].map(
      (document) => ({ kind: 'service', document }) as const,
    ),
    ...[...configuration.engines.values()].map(
      (document) => ({ kind: 'engine', document }) as const,
    ),
    ...[...configuration.keys.values()].map((document) => ({ kind: 'key', document }) as const),
  ];
}

/** Returns the engines of one service. */
export function enginesOf(
  configuration: ClusterConfiguration,
  service: ServiceName,
): EngineDocument[] {
  return [...configuration.engines.values()].filter((engine) => engine.service === service);
}
