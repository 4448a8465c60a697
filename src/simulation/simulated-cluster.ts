/** A cluster in virtual time: production node code on emulated back ends, disks and network. */
import type { EngineId, NodeId, ZoneName } from '../model/identifiers.js';
import type { ConfigurationDocument } from '../configuration/documents.js';
import type { EmulatedBackEnd } from '../emulator/emulated-back-end.js';
import { EngineModel } from '../emulator/engine-model.js';
import type { EngineModelOptions } from '../emulator/engine-model.js';
import { writeFirstConfiguration } from '../emulator/first-configuration.js';
import { KeyValueModel } from '../emulator/key-value-model.js';
import { ToolModel } from '../emulator/tool-model.js';
import type { ToolModelOptions } from '../emulator/tool-model.js';
import { IvyloomNode } from '../node/node.js';
import type { BackEndPort } from '../platform/back-end-port.js';
import { DEFAULT_OWNER_LIMITS } from '../program/program-limits.js';
import type { OwnerLimits } from '../program/program-limits.js';
import { createShardMap } from '../replication/shard-map.js';
import type { PlacedNode, ShardMap } from '../replication/shard-map.js';
import { createRandom } from '../runtime/random.js';
import type { RandomSource } from '../runtime/random.js';
import type { LogFunction, Runtime } from '../runtime/runtime.js';
import type { SchedulingPolicy } from '../scheduling/pool-view.js';
import { createPolicy } from '../scheduling/create-policy.js';
import type { Message } from '../wire/messages.js';
import { SimulatedBackEnds } from './simulated-back-ends.js';
import { SimulatedDisk } from './simulated-disk.js';
import { SimulatedNetwork } from './simulated-network.js';
import type { NetworkEndpoint } from './simulated-network.js';
import { SimulatedProcess, silentLog } from './simulated-process.js';
import { VirtualClock } from './virtual-clock.js';

/** Configuration of a simulated service and its back ends. */
export interface SimulatedService {
  readonly name: string;
  readonly kind: 'model' | 'tool';
  readonly runners: number;
  /** Maximum number of concurrent calls per runner. */
  readonly concurrency: number;
  readonly engine?: Omit<EngineModelOptions, 'name'>;
  readonly tool?: Omit<ToolModelOptions, 'name'>;
}

/** Configuration of a simulated group: its share of the engines and its token budget. */
export interface SimulatedGroup {
  readonly name: string;
  readonly share: number;
  readonly budget: number;
}

/** Topology, network delays and configuration of a simulated cluster. */
export interface SimulatedClusterOptions {
  readonly seed: number;
  readonly zones: readonly ZoneName[];
  /** Nodes in each zone. @default 1 */
  readonly nodesPerZone?: number;
  /** One-way network delay between zones. */
  readonly interZoneMilliseconds: number;
  readonly shardCount: number;
  readonly services: readonly SimulatedService[];
  readonly groups: readonly SimulatedGroup[];
  readonly limits?: OwnerLimits;
  readonly createPolicy?: () => SchedulingPolicy;
  readonly log?: LogFunction;
  /** Called with every message that one node sends to another. */
  readonly onMessage?: (from: NodeId, message: Message) => void;
}

interface Machine {
  readonly placed: PlacedNode;
  readonly endpoint: NetworkEndpoint;
  readonly disk: SimulatedDisk;
  node: IvyloomNode | undefined;
}

/** Time that a new cluster takes to elect its leaders and read its configuration. */
export const SETTLE_MILLISECONDS = 4_000;

/** Runs the nodes, back ends and key-value service of a cluster; a seed makes a run repeatable. */
export class SimulatedCluster {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly network: SimulatedNetwork;
  readonly keyValue: KeyValueModel;
  readonly map: ShardMap;
  readonly backEnds = new Map<EngineId, EmulatedBackEnd>();
  private readonly backEndEndpoints = new Map<EngineId, NetworkEndpoint>();
  private readonly machines = new Map<NodeId, Machine>();
  private readonly placed: readonly PlacedNode[];

  constructor(readonly options: SimulatedClusterOptions) {
    const { seed, zones, interZoneMilliseconds } = options;
    this.random = createRandom(seed, 'cluster');
    this.network = new SimulatedNetwork(this.clock, createRandom(seed, 'network'), {
      interZoneMilliseconds,
    });
    this.keyValue = new KeyValueModel(this.createProcess('key-value').start());
    this.placed = zones.flatMap((zone) =>
      Array.from({ length: options.nodesPerZone ?? 1 }, (_, index) => ({
        node: `${zone}-${index + 1}`,
        zone,
      })),
    );
    this.map = createShardMap(options.shardCount, this.placed);
    this.createBackEnds();
    writeFirstConfiguration(this.keyValue, this.listDocuments());
    this.placed.forEach((placed) => this.createMachine(placed));
  }

  /** Names of all nodes. */
  get nodeNames(): NodeId[] {
    return this.placed.map((placed) => placed.node);
  }

  /** Starts every node and advances the clock so that leaders are elected. */
  start(): void {
    this.nodeNames.forEach((name) => this.startNode(name));
    this.clock.runUntil(this.clock.now + SETTLE_MILLISECONDS);
  }

  /** Returns a node, or undefined while its process is not running. */
  node(name: NodeId): IvyloomNode | undefined {
    return this.machine(name).node;
  }

  /** Nodes whose process runs or is paused. */
  livingNodes(): IvyloomNode[] {
    return [...this.machines.values()].flatMap((machine) => machine.node ?? []);
  }

  processOf(name: NodeId): SimulatedProcess {
    return this.machine(name).endpoint.process;
  }

  endpointOf(name: NodeId): NetworkEndpoint {
    return this.machine(name).endpoint;
  }

  /** Starts a node from the state on its disk; does nothing while the node is running. */
  startNode(name: NodeId): void {
    const machine = this.machine(name);
    if (machine.node !== undefined) {
      return;
    }
    const runtime = machine.endpoint.process.start();
    const node = this.createNode(machine, runtime);
    machine.node = node;
    node.start();
  }

  /** Kills a node's process without a graceful shutdown. */
  killNode(name: NodeId): void {
    const machine = this.machine(name);
    machine.endpoint.process.kill();
    machine.node = undefined;
  }

  /** Drops the newest entries of every log on a node's disk; the node must not be running. */
  tearDisk(name: NodeId, entries: number): void {
    this.machine(name).disk.tearTails(entries);
  }

  /** Shuts a node down gracefully; `done` is called after its process has ended. */
  leaveNode(name: NodeId, done: () => void = () => undefined): void {
    const machine = this.machine(name);
    // A paused process handles the signal after it resumes.
    machine.endpoint.process.execute(() => {
      machine.node?.leave(() => {
        machine.endpoint.process.kill();
        machine.node = undefined;
        done();
      });
    });
  }

  /** Crashes a back end and restarts it, without its state, after `downMilliseconds`. */
  crashBackEnd(name: EngineId, downMilliseconds: number): void {
    const backEnd = this.backEnds.get(name);
    if (backEnd === undefined || !backEnd.isUp) {
      return;
    }
    backEnd.crash();
    this.clock.schedule(downMilliseconds, () => backEnd.restart());
  }

  /** Creates a process that is not a node of the cluster, such as a client. */
  createProcess(name: string): SimulatedProcess {
    const random = createRandom(this.options.seed, name);
    return new SimulatedProcess(name, this.clock, random, this.options.log ?? silentLog);
  }

  private machine(name: NodeId): Machine {
    const machine = this.machines.get(name);
    if (machine === undefined) {
      throw new Error(`machine "${name}" does not exist`);
    }
    return machine;
  }

  private createMachine(placed: PlacedNode): void {
    const endpoint: NetworkEndpoint = {
      process: this.createProcess(placed.node),
      zone: placed.zone,
    };
    const disk = new SimulatedDisk(this.map);
    this.machines.set(placed.node, { placed, endpoint, disk, node: undefined });
  }

  private createNode(machine: Machine, runtime: Runtime): IvyloomNode {
    const { node: self, zone } = machine.placed;
    return new IvyloomNode({
      self,
      zone,
      nodes: this.placed,
      map: this.map,
      runtime,
      transport: {
        send: (to, message) => {
          const target = this.machines.get(to);
          this.options.onMessage?.(self, message);
          if (target !== undefined) {
            this.network.deliver(machine.endpoint, target.endpoint, () =>
              target.node?.receive(self, message),
            );
          }
        },
      },
      storage: machine.disk.open(runtime),
      backEnds: this.connectBackEnds(machine.endpoint, runtime),
      keyValue: this.keyValue.connect(runtime),
      limits: this.options.limits ?? DEFAULT_OWNER_LIMITS,
      createPolicy: this.options.createPolicy ?? (() => createPolicy('ivyloom')),
    });
  }

  private connectBackEnds(endpoint: NetworkEndpoint, runtime: Runtime): BackEndPort {
    return new SimulatedBackEnds({
      network: this.network,
      endpoint,
      runtime,
      backEnds: this.backEnds,
      backEndEndpoints: this.backEndEndpoints,
    });
  }

  private createBackEnds(): void {
    for (const service of this.options.services) {
      for (let index = 0; index < service.runners; index += 1) {
        this.createBackEnd(service, index);
      }
    }
  }

  private createBackEnd(service: SimulatedService, index: number): void {
    const name = `${service.name}-${index + 1}`;
    const zone = this.options.zones[index % this.options.zones.length]!;
    const process = this.createProcess(name);
    const runtime = process.start();
    const backEnd =
      service.kind === 'model'
        ? new EngineModel(runtime, { ...service.engine, name })
        : new ToolModel(runtime, { ...service.tool, name });
    this.backEnds.set(name, backEnd);
    this.backEndEndpoints.set(name, { process, zone });
  }

  private listDocuments(): ConfigurationDocument[] {
    const { services, groups, zones } = this.options;
    const documents: ConfigurationDocument[] = groups.map((document) => ({
      kind: 'group',
      document,
    }));
    for (const { name, kind, runners, concurrency, engine } of services) {
      documents.push({ kind: 'service', document: { name, kind, groups: [] } });
      for (let index = 0; index < runners; index += 1) {
        documents.push({
          kind: 'engine',
          document: {
            name: `${name}-${index + 1}`,
            service: name,
            zone: zones[index % zones.length]!,
            url: 'http://127.0.0.1:1',
            concurrency,
            cacheTokens: kind === 'model' ? (engine?.cacheTokens ?? 120_000) : 0,
            draining: false,
          },
        });
      }
    }
    return documents;
  }
}
