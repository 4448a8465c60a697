/**
 * Settings of a daemon, read from a YAML file and flags. Validation reports every mistake with its
 * path.
 */
import { readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as t from 'io-ts';
import { parse } from 'yaml';
import { POLICY_NAMES } from '../scheduling/create-policy.js';

/** Creates a codec from a type guard; `name` describes the expected value in error messages. */
function refinedType<Type>(name: string, is: (value: unknown) => value is Type): t.Type<Type> {
  return new t.Type<Type>(
    name,
    is,
    (value, context) => (is(value) ? t.success(value) : t.failure(value, context)),
    t.identity,
  );
}

const MAXIMUM_PORT = 65_535;
const MAXIMUM_SHARD_COUNT = 65_536;

function isIntegerBetween(value: unknown, low: number, high: number): value is number {
  return Number.isInteger(value) && (value as number) >= low && (value as number) <= high;
}

const nodeName = refinedType(
  'a name of letters, digits, dots and hyphens',
  (value): value is string =>
    typeof value === 'string' && /^[A-Za-z0-9][A-Za-z0-9.-]{0,62}$/.test(value),
);
const ipAddress = refinedType(
  'an IP address',
  (value): value is string => typeof value === 'string' && isIP(value) !== 0,
);
const port = refinedType('a port from 0 to 65535', (value): value is number =>
  isIntegerBetween(value, 0, MAXIMUM_PORT),
);
const shardCount = refinedType('an integer from 1 to 65536', (value): value is number =>
  isIntegerBetween(value, 1, MAXIMUM_SHARD_COUNT),
);
const httpUrl = refinedType('a URL http://IP:PORT', (value): value is string => {
  if (typeof value !== 'string' || !URL.canParse(value)) {
    return false;
  }
  const { protocol, hostname } = new URL(value);
  return protocol === 'http:' && isIP(hostname.replace(/^\[|\]$/g, '')) !== 0;
});
const oneOf = (names: readonly string[]): t.Type<string> =>
  refinedType(`one of ${names.join(', ')}`, (value): value is string =>
    names.some((name) => name === value),
  );

const peer = t.exact(t.type({ node: nodeName, zone: nodeName, host: ipAddress, port }));

const settingsCodec = t.exact(
  t.intersection([
    t.type({
      /** Name of the cluster, the same on all its nodes. */
      cluster: nodeName,
      /** Name of this node, unique in the region. */
      node: nodeName,
      /** Zone of this machine. */
      zone: nodeName,
      /** Address on which this node listens. */
      host: ipAddress,
      /** Port for other nodes. */
      peerPort: port,
      /** Port for callers and operators. */
      httpPort: port,
      /** All nodes of the region, including this one. */
      peers: t.array(peer),
      /** Base URL of the key-value service. */
      keyValueUrl: httpUrl,
    }),
    t.partial({
      /**
       * Number of shards of the region; must never be changed.
       * @default 16
       */
      shardCount,
      /** Folder of the replicas; without one, no data survives the process. */
      dataFolder: t.string,
      /**
       * Scheduling policy for calls.
       * @default ivyloom
       */
      policy: oneOf(POLICY_NAMES),
      /**
       * Minimum severity of log lines.
       * @default info
       */
      logLevel: oneOf(['debug', 'info', 'warn', 'error']),
    }),
  ]),
);

/** Settings of one daemon. */
export type Settings = t.TypeOf<typeof settingsCodec>;

/** Names of all settings that are not lists; each is also a command-line flag. */
export const FLAG_SETTINGS = [
  'cluster',
  'node',
  'zone',
  'host',
  'peerPort',
  'httpPort',
  'keyValueUrl',
  'shardCount',
  'dataFolder',
  'policy',
  'logLevel',
] as const;

const KNOWN_SETTINGS: readonly string[] = [...FLAG_SETTINGS, 'peers'];

function describe(error: t.ValidationError): string {
  const indexed = error.context
    .slice(1)
    .map((step) => step.key)
    .join('.');
  const expected = error.context[error.context.length - 1]?.type.name ?? 'a different value';
  const found = error.value === undefined ? 'nothing' : JSON.stringify(error.value);
  // Inside an intersection, the first step of the path is the index of the part.
  const place = indexed.replace(/^[01]\.?/, '') || 'settings';
  return `${place}: expected ${expected}, found ${found}`;
}

function checkOwnEntry(settings: Settings): E.Either<string[], Settings> {
  const own = settings.peers.find((candidate) => candidate.node === settings.node);
  if (own === undefined) {
    return E.left([`peers: expected an entry for this node, ${settings.node}`]);
  }
  return own.zone === settings.zone
    ? E.right(settings)
    : E.left([`zone: expected ${own.zone} as in the entry of ${own.node} in peers`]);
}

function unknownSettings(raw: object): string[] {
  return Object.keys(raw)
    .filter((name) => !KNOWN_SETTINGS.includes(name))
    .map((name) => `${name}: unknown setting; the settings are ${KNOWN_SETTINGS.join(', ')}`);
}

/** Validates settings; returns either the settings or all mistakes, one per entry. */
export function checkSettings(raw: unknown): E.Either<string[], Settings> {
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw)) {
    return E.left(['settings: expected a mapping of names to values']);
  }
  const unknown = unknownSettings(raw);
  const decoded = settingsCodec.decode(raw);
  if (E.isLeft(decoded) || unknown.length > 0) {
    const mistakes = E.isLeft(decoded) ? decoded.left.map(describe) : [];
    return E.left([...unknown, ...new Set(mistakes)]);
  }
  return checkOwnEntry(decoded.right);
}

function readText(path: string): E.Either<string[], string> {
  return E.tryCatch(
    () => readFileSync(path, 'utf8'),
    (cause) => [`${path}: ${cause instanceof Error ? cause.message : String(cause)}`],
  );
}

function parseYaml(path: string, text: string): E.Either<string[], unknown> {
  return E.tryCatch(
    () => parse(text) as unknown,
    (cause) => [`${path}: ${cause instanceof Error ? cause.message : String(cause)}`],
  );
}

/** Reads a settings file, if any, and overrides its values by flags. */
export function readSettings(
  path: string | undefined,
  flags: Readonly<Record<string, unknown>>,
): E.Either<string[], Settings> {
  const file =
    path === undefined
      ? E.right({})
      : pipe(
          readText(path),
          E.chain((text) => parseYaml(path, text)),
        );
  const flagValues = Object.fromEntries(
    Object.entries(flags).filter(([, value]) => value !== undefined),
  );
  return pipe(
    file,
    E.chain((raw) => checkSettings({ ...(raw as object), ...flagValues })),
  );
}
