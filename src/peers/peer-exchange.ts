/**
 * HTTP exchange of store snapshots between gateways. It lets few gateways follow the store, and
 * lets a gateway that starts or is cut off during an outage of the store learn the configuration
 * and the runners from its peers. Items carry revisions, so a peer's snapshot never replaces a
 * newer item by an older one.
 */
import { createServer, request } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import * as t from 'io-ts';
import { parseIpEndpoint } from '../http-client/ip-endpoint.js';
import { limitAnswer } from '../http-client/answer-limits.js';
import { readWholeBody } from '../http-client/read-body.js';
import { ResetAwareAgent } from '../http-client/reset-aware-agent.js';
import { serveInOrder } from '../http-server/serve-in-order.js';
import type { KeySpaceChanges } from '../mirror/key-space-copy.js';
import { Listeners } from '../runtime/listeners.js';
import type { Runtime } from '../runtime/runtime.js';
import { ExceptionLog } from '../telemetry/exception-log.js';

const VersionReportType = t.type({
  knownMilliseconds: t.number,
  versions: t.readonlyArray(
    t.intersection([
      t.type({ service: t.string, version: t.string, ageMilliseconds: t.number }),
      t.partial({ listedMilliseconds: t.number }),
    ]),
  ),
});

const SnapshotType = t.intersection([
  t.type({
    since: t.number,
    revision: t.number,
    items: t.array(t.type({ key: t.string, value: t.string, revision: t.number })),
    gone: t.array(t.type({ key: t.string, revision: t.number })),
    members: t.string,
    peers: t.array(t.string),
  }),
  t.partial({ versions: VersionReportType }),
]);

/** The answer of a gateway: changes of the store and what else it knows. */
export interface PeerSnapshot extends KeySpaceChanges {
  /** Newest member record, as text. */
  readonly members: string;
  /** Software versions of runners; undefined if the sender's list is not proved recent, or its build is older. */
  readonly versions?: t.TypeOf<typeof VersionReportType> | undefined;
  /** Addresses (`host:port`) of gateways known to the sender. */
  readonly peers: readonly string[];
}

export interface PeerExchangeOptions {
  readonly runtime: Runtime;
  /** `host:port` at which this gateway serves snapshots. */
  readonly ownAddress: string;
  readonly seeds: () => readonly string[];
  /** Revision of the store up to which this gateway has all changes. */
  readonly ownRevision: () => number;
  /** Returns the changes after a revision, and the member record. */
  readonly snapshotSince: (revision: number) => Omit<PeerSnapshot, 'peers'>;
  readonly onSnapshot: (snapshot: PeerSnapshot, from: string) => void;
  /** How urgently this gateway needs snapshots from its peers. */
  readonly isNeeded: () => 'urgently' | 'now and then' | 'no';
  /** Whether a host is known to be in the own region; such hosts are asked first. @default all are */
  readonly isInOwnRegion?: (host: string) => boolean;
  /** Records the exceptions of single exchanges. @default a log of its own */
  readonly exceptions?: ExceptionLog;
  /** Listeners of the process. @default some of its own */
  readonly listeners?: Listeners;
  /** Most connections of other gateways at a time. @default unlimited */
  readonly maximumConnections?: number;
  /** Called with the size of each snapshot that is sent. */
  readonly onSent?: (host: string, bytes: number) => void;
}

const PATH = '/ivyloom/snapshot';
const FROM_PARAMETER = 'from';
const SINCE_PARAMETER = 'since';
const URGENT_INTERVAL_MILLISECONDS = 150;
const NORMAL_INTERVAL_MILLISECONDS = 500;
const CALL_TIMEOUT_MILLISECONDS = 600;
/** Bounds the memory of a snapshot that is received. */
const MAXIMUM_SNAPSHOT_BYTES = 16 * 1024 * 1024;
const MAXIMUM_PEERS = 400;
/** Maximum number of peers listed in an answer. */
const NAMED_PEERS = 8;
/** Peers asked in one round. */
const FAN_OUT = 2;
/** Every so many rounds peers of all regions are asked: those of the own region may be cut off from the store. */
const ANY_REGION_ROUNDS = 4;

/** Returns the host of an address `host:port`. */
function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}

/** Serves snapshots to other gateways and fetches theirs. */
export class PeerExchange {
  private readonly known = new Set<string>();
  private readonly server: Server;
  private readonly agent = new ResetAwareAgent();
  private readonly exceptions: ExceptionLog;
  private round = 0;

  constructor(private readonly options: PeerExchangeOptions) {
    this.exceptions = options.exceptions ?? new ExceptionLog(options.runtime);
    this.server = createServer();
    const { runtime, maximumConnections = Infinity } = options;
    serveInOrder(this.server, runtime, maximumConnections, (incoming, response) => {
      this.exceptions.contain('snapshot', () => this.answer(incoming, response));
    });
  }

  /** Starts the server and the periodic rounds of requests. */
  start(host: string, port: number): void {
    const { runtime, listeners = new Listeners(runtime) } = this.options;
    listeners.listen(this.server, { purpose: 'exchange', host, port });
    this.scheduleAsk(0);
  }

  /**
   * Fetches the missing changes from one gateway; `done` is called at the end, also after a
   * failure.
   */
  fetchFrom(address: string, done: () => void): void {
    this.ask(address, done);
  }

  /** Stops serving. */
  close(): void {
    this.server.close();
  }

  /**
   * Returns some of the known gateways: each answer lists only a few, which keeps answers small
   * with hundreds of gateways.
   */
  private namedPeers(): string[] {
    const newest = [...this.known].slice(-NAMED_PEERS);
    return [...newest, this.options.ownAddress];
  }

  private answer(incoming: IncomingMessage, response: ServerResponse): void {
    const [path, query = ''] = (incoming.url ?? '').split('?');
    if (path !== PATH) {
      response.writeHead(404).end();
      return;
    }
    const { snapshotSince, onSent } = this.options;
    const parameters = new URLSearchParams(query);
    const asker = parameters.get(FROM_PARAMETER) ?? '';
    this.addPeer(asker);
    const since = Number(parameters.get(SINCE_PARAMETER) ?? 0);
    const changes = snapshotSince(Number.isFinite(since) ? since : 0);
    const body = JSON.stringify({ ...changes, peers: this.namedPeers() });
    response.writeHead(200, { 'content-type': 'application/json' });
    onSent?.(hostOf(asker), Buffer.byteLength(body));
    response.end(body);
  }

  private addPeer(address: string): void {
    if (
      parseIpEndpoint(address) !== undefined &&
      address !== this.options.ownAddress &&
      this.known.size < MAXIMUM_PEERS
    ) {
      this.known.add(address);
    }
  }

  private scheduleAsk(pause: number): void {
    const { runtime, isNeeded } = this.options;
    runtime.setTimer(pause, () => {
      const need = isNeeded();
      if (need !== 'no') {
        this.askRandomPeers();
      }
      this.scheduleAsk(
        need === 'urgently' ? URGENT_INTERVAL_MILLISECONDS : NORMAL_INTERVAL_MILLISECONDS,
      );
    });
  }

  private askRandomPeers(): void {
    const { seeds, ownAddress, runtime } = this.options;
    const others = [...new Set([...seeds(), ...this.known])].filter((peer) => peer !== ownAddress);
    const all = this.nearPeers(others);
    for (let asked = 0; asked < FAN_OUT && all.length > 0; asked += 1) {
      const [peer] = all.splice(runtime.random.integer(0, all.length - 1), 1);
      this.ask(peer!);
    }
  }

  /** Returns the peers of the own region if any are known, except in some rounds. */
  private nearPeers(peers: string[]): string[] {
    const { isInOwnRegion } = this.options;
    this.round += 1;
    if (isInOwnRegion === undefined || this.round % ANY_REGION_ROUNDS === 0) {
      return peers;
    }
    const near = peers.filter((peer) => isInOwnRegion(hostOf(peer)));
    return near.length > 0 ? near : peers;
  }

  private ask(peer: string, done: () => void = () => undefined): void {
    const endpoint = parseIpEndpoint(peer);
    if (endpoint === undefined) {
      done();
      return;
    }
    const { host, port } = endpoint;
    const { ownAddress, ownRevision } = this.options;
    const query = new URLSearchParams({
      [FROM_PARAMETER]: ownAddress,
      [SINCE_PARAMETER]: String(ownRevision()),
    });
    const { agent } = this;
    const client = request({ host, port, path: `${PATH}?${query}`, agent }, (response) => {
      readWholeBody(response, 'GET', MAXIMUM_SNAPSHOT_BYTES, (body) => {
        if (isRight(body)) {
          this.handleSnapshot(body.right.toString('utf8'), peer);
        } else {
          client.destroy();
        }
      });
    });
    limitAnswer(client);
    const cancel = this.options.runtime.setTimer(CALL_TIMEOUT_MILLISECONDS, () => client.destroy());
    client.on('close', () => {
      cancel();
      done();
    });
    client.on('error', () => undefined);
    client.end();
  }

  private handleSnapshot(text: string, from: string): void {
    let parsed: unknown;
    try {
      parsed = JSON.parse(text);
    } catch {
      return;
    }
    const snapshot = SnapshotType.decode(parsed);
    if (!isLeft(snapshot)) {
      snapshot.right.peers.forEach((peer) => this.addPeer(peer));
      const { onSnapshot } = this.options;
      this.exceptions.contain('snapshot', () => onSnapshot(snapshot.right, from), { from });
    }
  }
}
