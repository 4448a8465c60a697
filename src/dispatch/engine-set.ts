/** The back ends of one pool, as the configuration has them. */
import type { EngineId, ServiceName } from '../model/identifiers.js';
import { enginesOf } from '../configuration/documents.js';
import type { ClusterConfiguration, EngineDocument } from '../configuration/documents.js';
import type { EngineView } from '../scheduling/pool-view.js';
import { EngineState } from './engine-state.js';

/** See the head of this file. */
export class EngineSet {
  private readonly states = new Map<EngineId, EngineState>();
  private revision = -1;
  private viewList: EngineView[] = [];
  private viewMap = new Map<EngineId, EngineView>();

  constructor(private readonly service: ServiceName) {}

  /** Views of all back ends, for the policy. */
  get views(): readonly EngineView[] {
    return this.viewList;
  }

  /** The same by name. */
  get viewByName(): ReadonlyMap<EngineId, EngineView> {
    return this.viewMap;
  }

  /** One back end. */
  get(engine: EngineId): EngineState | undefined {
    return this.states.get(engine);
  }

  /** All back ends. */
  values(): IterableIterator<EngineState> {
    return this.states.values();
  }

  /** Follows a new revision of the configuration; does nothing for one it has seen. */
  configure(configuration: ClusterConfiguration, now: number): void {
    if (configuration.revision === this.revision) {
      return;
    }
    this.revision = configuration.revision;
    const documents = enginesOf(configuration, this.service);
    const names = new Set(documents.map((document) => document.name));
    for (const name of [...this.states.keys()]) {
      if (!names.has(name)) {
        this.states.delete(name);
      }
    }
    documents.forEach((document) => this.configureOne(document, now));
    this.viewList = [...this.states.values()].map((engine) => engine.view);
    this.viewMap = new Map(this.viewList.map((view) => [view.engine, view]));
  }

  private configureOne(document: EngineDocument, now: number): void {
    const known = this.states.get(document.name);
    if (known !== undefined && known.hasSameCapacity(document)) {
      known.configure(document, now);
      return;
    }
    const next = new EngineState(document);
    if (known !== undefined) {
      next.copyCallsAndHolds(known);
    }
    next.updateAvailability(now);
    this.states.set(document.name, next);
  }
}
