/**
 * Follows the accepted configuration. A few nodes read it from the key-value service, and all nodes
 * pass it on to one another. A node never returns to a lower revision.
 */
import * as E from 'fp-ts/lib/Either.js';
import type { NodeId } from '../model/identifiers.js';
import type { KeyValuePort, RangeResult } from '../platform/key-value-port.js';
import { setRepeatingTimer } from '../runtime/runtime.js';
import type { Runtime } from '../runtime/runtime.js';
import type {
  ConfigurationAnnounce,
  ConfigurationChanges,
  ConfigurationFetch,
  ConfigurationTransfer,
  Message,
} from '../wire/messages.js';
import { applyChanges, ConfigurationChangeLog } from './configuration-change-log.js';
import { buildConfiguration, EMPTY_CONFIGURATION, listDocuments } from './documents.js';
import type { ClusterConfiguration, ConfigurationDocument } from './documents.js';
import { CONFIGURATION_PREFIX, decodePairs } from './stored-documents.js';

/** Time between announcements, in milliseconds. */
const ANNOUNCE_MILLISECONDS = 1_000;
/** Number of peers that receive each announcement. */
const ANNOUNCE_PEERS = 2;
/** Time between reads of the key-value service when no watch fires, in milliseconds. */
const POLL_MILLISECONDS = 5_000;

/** Stores the newest configuration across restarts. */
export interface ConfigurationStore {
  save(revision: number, documents: string): void;
}

export interface ConfigurationFollowerOptions {
  readonly self: NodeId;
  readonly runtime: Runtime;
  readonly keyValue: KeyValuePort;
  /** Whether this node reads the key-value service itself. */
  readonly readsService: () => boolean;
  readonly peers: () => readonly NodeId[];
  readonly send: (to: NodeId, message: Message) => void;
  readonly store?: ConfigurationStore;
  readonly onChange: (configuration: ClusterConfiguration) => void;
}

/** Keeps the newest configuration and exchanges it with peers. */
export class ConfigurationFollower {
  private configuration: ClusterConfiguration = EMPTY_CONFIGURATION;
  private readonly acknowledged = new Map<NodeId, number>();
  private readonly cancels: (() => void)[] = [];
  private readonly changeLog = new ConfigurationChangeLog();
  private reading = false;

  constructor(private readonly options: ConfigurationFollowerOptions) {}

  /** The configuration in force on this node. */
  get current(): ClusterConfiguration {
    return this.configuration;
  }

  /** Newest revision that each peer is known to have in force. */
  get acknowledgedRevisions(): ReadonlyMap<NodeId, number> {
    return this.acknowledged;
  }

  /** Starts to follow the configuration, from the saved state of an earlier run if there is one. */
  start(saved?: { readonly revision: number; readonly documents: string }): void {
    const { runtime, keyValue } = this.options;
    if (saved !== undefined) {
      this.adopt(saved.revision, JSON.parse(saved.documents) as ConfigurationDocument[]);
    }
    const readIfDesignated = (): void => {
      if (this.options.readsService()) {
        this.read();
      }
    };
    readIfDesignated();
    this.cancels.push(keyValue.watch(CONFIGURATION_PREFIX, 0, readIfDesignated));
    this.cancels.push(setRepeatingTimer(runtime, POLL_MILLISECONDS, readIfDesignated));
    this.cancels.push(setRepeatingTimer(runtime, ANNOUNCE_MILLISECONDS, () => this.announce()));
    this.announce();
  }

  /** Stops all timers and watches. */
  stop(): void {
    this.cancels.forEach((cancel) => cancel());
  }

  /** Reads the key-value service now, unless a read is in progress. */
  read(): void {
    if (this.reading) {
      return;
    }
    this.reading = true;
    this.options.keyValue.range(CONFIGURATION_PREFIX, (result) => {
      this.reading = false;
      if (E.isRight(result)) {
        this.adoptRange(result.right);
      }
    });
  }

  /** Announces this node's revision to peers and asks for theirs. */
  askPeers(peers: readonly NodeId[]): void {
    const { revision } = this.configuration;
    for (const peer of peers) {
      this.options.send(peer, { type: 'configurationAnnounce', revision, wantsReply: true });
    }
  }

  /** Handles a peer's announcement. */
  receiveAnnounce(from: NodeId, message: ConfigurationAnnounce): void {
    const known = this.acknowledged.get(from) ?? 0;
    this.acknowledged.set(from, Math.max(known, message.revision));
    const { revision } = this.configuration;
    if (message.revision > revision) {
      this.options.send(from, { type: 'configurationFetch', revision });
    } else if (message.wantsReply || message.revision < revision) {
      const reply: ConfigurationAnnounce = {
        type: 'configurationAnnounce',
        revision,
        wantsReply: false,
      };
      this.options.send(from, reply);
    }
  }

  /** Answers a peer that is behind with the changes, or with the whole configuration. */
  receiveFetch(from: NodeId, message: ConfigurationFetch): void {
    if (message.revision < this.configuration.revision) {
      this.options.send(from, this.changeLog.since(message.revision) ?? this.transfer());
    }
  }

  /** Applies changes sent by a peer. */
  receiveChanges(from: NodeId, message: ConfigurationChanges): void {
    const { configuration } = this;
    if (message.fromRevision <= configuration.revision) {
      this.adopt(message.revision, applyChanges(configuration, message));
      const { revision } = this.configuration;
      this.options.send(from, { type: 'configurationAnnounce', revision, wantsReply: false });
    }
  }

  /** Adopts a whole configuration sent by a peer. */
  receiveTransfer(from: NodeId, message: ConfigurationTransfer): void {
    const documents = JSON.parse(message.documents) as ConfigurationDocument[];
    this.adopt(message.revision, documents);
    const { revision } = this.configuration;
    this.options.send(from, { type: 'configurationAnnounce', revision, wantsReply: false });
  }

  private transfer(): ConfigurationTransfer {
    const documents = JSON.stringify(listDocuments(this.configuration));
    return { type: 'configurationTransfer', revision: this.configuration.revision, documents };
  }

  private announce(): void {
    const { runtime, peers } = this.options;
    const others = peers().filter((peer) => peer !== this.options.self);
    for (let count = 0; count < ANNOUNCE_PEERS && others.length > 0; count += 1) {
      this.askPeers([runtime.random.pick(others)]);
    }
  }

  private adoptRange(range: RangeResult): void {
    const { documents, revision, rejected } = decodePairs(range.pairs);
    for (const mistake of rejected) {
      this.options.runtime.log('warn', 'configuration document ignored', { mistake });
    }
    this.adopt(revision, documents);
  }

  private adopt(revision: number, documents: readonly ConfigurationDocument[]): void {
    if (revision <= this.configuration.revision) {
      return;
    }
    const before = this.configuration;
    this.configuration = buildConfiguration(revision, documents);
    this.changeLog.add(before, this.configuration);
    this.acknowledged.set(this.options.self, revision);
    this.options.store?.save(revision, JSON.stringify(documents));
    this.options.onChange(this.configuration);
    this.announce();
  }
}
