/**
 * The zones that operators have evacuated: no request may be sent to a runner there. The last state known stays in
 * force however old it is, since a request too few costs less than a request into a zone that must get none.
 */
import type { Runtime } from '../../runtime/runtime.js';
import type { RunnerExclusion } from './runner-exclusions.js';

/** Logged as the age of a proof that does not exist yet. */
const NO_PROOF = -1;

/** The set of evacuated zones, with the revision of each evacuation in the store. */
export class EvacuatedZones {
  private readonly revisionByZone = new Map<string, number>();

  /** Returns the age of the proof that the known evacuations are the store's current ones, in milliseconds. */
  proofAgeMilliseconds: () => number = () => Infinity;
  /** Called after a zone was restored. */
  onRestored: (zone: string) => void = () => undefined;

  /** Excludes all runners of evacuated zones, whatever the request. */
  readonly rule: RunnerExclusion = {
    name: 'evacuatedZone',
    excludes: ({ zone }) => this.has(zone),
    withdrawsCapacity: ({ zone }) => this.has(zone),
  };

  constructor(private readonly runtime: Runtime) {}

  /** Whether a zone is evacuated. */
  has(zone: string): boolean {
    return this.revisionByZone.has(zone);
  }

  /** Evacuates a zone as of a revision of the store. */
  evacuate(zone: string, revision: number): void {
    const isNew = !this.has(zone);
    this.revisionByZone.set(zone, revision);
    if (isNew) {
      const fields = { event: 'zone.evacuated', zone, revision, proofAge: this.loggedProofAge };
      this.runtime.log('info', 'zone evacuated', fields);
    }
  }

  /** Lifts the evacuation of a zone as of a revision of the store; ignored for other zones. */
  restore(zone: string, revision: number): void {
    if (this.revisionByZone.delete(zone)) {
      const fields = { event: 'zone.restored', zone, revision, proofAge: this.loggedProofAge };
      this.runtime.log('info', 'evacuation of a zone lifted', fields);
      this.onRestored(zone);
    }
  }

  /** Renders the metrics in the Prometheus text format. */
  render(): string {
    return `ivyloom_evacuated_zones ${this.revisionByZone.size}\n`;
  }

  private get loggedProofAge(): number {
    const age = this.proofAgeMilliseconds();
    return Number.isFinite(age) ? Math.round(age) : NO_PROOF;
  }
}
