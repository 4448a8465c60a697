/**
 * Checks every arrival at a runner: none may come from a gateway that no recent fault affects if the runner's zone was
 * evacuated longer ago than SOAK_APPLY_MILLISECONDS.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { SOAK_APPLY_MILLISECONDS } from './platform-process.js';

/** Header in which clients of the soak name the gateway that they send to. */
export const SOAK_GATEWAY_HEADER = 'soak-gateway';
/** Time for which the bytes of a request may be on their way after its gateway wrote them, in milliseconds. */
const TRANSIT_MILLISECONDS = 100;
/** Time after the end of a disturbed path in which delayed requests may arrive, in milliseconds. */
const DELAYED_MILLISECONDS = 1_000;

/** Dependencies of the evacuation check. */
export interface EvacuationCheckOptions {
  /** Whether a gateway is not affected by a recent fault. */
  readonly isInContact: (host: string) => boolean;
  readonly violate: (promise: string, detail: string) => void;
}

/** Records evacuations and reports arrivals at runners of evacuated zones. */
export class EvacuationCheck {
  /** Arrivals from gateways in contact that were checked while a zone was evacuated. */
  checkedArrivals = 0;
  /** Local time at which the store acknowledged the evacuation of each evacuated zone, in milliseconds. */
  private readonly evacuatedAt = new Map<string, number>();
  /** Local time until which requests may arrive late, since a path to a runner was disturbed. */
  private exemptUntil = 0;

  constructor(private readonly options: EvacuationCheckOptions) {}

  /** Records that the store acknowledged an evacuation at a local time, in milliseconds. */
  evacuate(zone: string, at = performance.now()): void {
    this.evacuatedAt.set(zone, at);
  }

  /** Records that an evacuation is about to be lifted. */
  restore(zone: string): void {
    this.evacuatedAt.delete(zone);
  }

  /** Exempts all arrivals while a path to a runner delays requests; returns a function that ends the fault. */
  exempt(): () => void {
    this.exemptUntil = Infinity;
    return () => {
      this.exemptUntil = performance.now() + DELAYED_MILLISECONDS;
    };
  }

  /** Checks one arrival at a runner of a zone. */
  noteArrival(zone: string, headers: IncomingHttpHeaders): void {
    const gateway = headers[SOAK_GATEWAY_HEADER];
    const now = performance.now();
    if (this.evacuatedAt.size === 0 || typeof gateway !== 'string' || now < this.exemptUntil) {
      return;
    }
    if (!this.options.isInContact(gateway)) {
      return;
    }
    this.checkedArrivals += 1;
    const age = now - (this.evacuatedAt.get(zone) ?? now);
    if (age > SOAK_APPLY_MILLISECONDS + TRANSIT_MILLISECONDS) {
      const detail = `gateway ${gateway} sent a request to zone ${zone}, evacuated ${Math.round(age)} ms ago`;
      this.options.violate('evacuation', detail);
    }
  }
}
