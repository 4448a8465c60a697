/** The configured engines of one pool. */
import type { EngineId, ServiceName } from '../model/identifiers.js';
import { enginesOf } from '../configuration/documents.js';
import type { ClusterConfiguration, EngineDocument } from '../configuration/documents.js';
import type { EngineView } from '../scheduling/pool-view.js';
import { EngineState } from './engine-state.js';

/** Keeps the state of each engine of a service in step with the configuration. */
export class EngineSet {
  private readonly states = new Map<EngineId, EngineState>();
  private revision = -1;
  private viewList: EngineView[] = [];
  private viewMap = new Map<EngineId, EngineView>();

  constructor(private readonly service: ServiceName) {}

  /** Views of all engines, for the scheduling policy. */
  get views(): readonly EngineView[] {
    return this.viewList;
  }

  /** The views by engine name. */
  get viewByName(): ReadonlyMap<EngineId, EngineView> {
    return this.viewMap;
  }

  /** Returns the state of an engine, or undefined if the configuration does not name it. */
  get(engine: EngineId): EngineState | undefined {
    return this.states.get(engine);
  }

  /** Iterates over the states of all engines. */
  values(): IterableIterator<EngineState> {
    return this.states.values();
  }

  /** Applies a configuration; does nothing if its revision was applied last. */
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
