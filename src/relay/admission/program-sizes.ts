/**
 * Learns how many requests a program of a tenant needs, from what was let in here. A tenant of which
 * little is known is taken to be like all others together.
 */
import type { TenantId } from '../request/tenant.js';

/** Programs of all tenants that count for one of which nothing is known. */
const PRIOR_PROGRAMS = 5;
/** Programs after which older ones count half. */
const DECAY_AFTER_PROGRAMS = 200;
/** Tenants remembered; the longest unused go first. */
const MAXIMUM_TENANTS = 2_000;

class SizeEstimate {
  private requests = 0;
  private programs = 0;

  /** Mean number of requests of a program, with some programs of a size assumed beside those seen. */
  mean(assumedMean: number, assumedPrograms: number): number {
    const requests = this.requests + assumedMean * assumedPrograms;
    return requests / (this.programs + assumedPrograms);
  }

  recordRequest(isNewProgram: boolean): void {
    this.requests += 1;
    this.programs += isNewProgram ? 1 : 0;
    if (this.programs > DECAY_AFTER_PROGRAMS) {
      this.requests /= 2;
      this.programs /= 2;
    }
  }
}

/** See the head of this file. */
export class ProgramSizes {
  private readonly allTenants = new SizeEstimate();
  private readonly byTenant = new Map<TenantId, SizeEstimate>();

  /** Notes a request that may run. */
  recordRequest(tenant: TenantId, isNewProgram: boolean): void {
    const estimate = this.byTenant.get(tenant) ?? new SizeEstimate();
    this.byTenant.delete(tenant);
    this.byTenant.set(tenant, estimate);
    if (this.byTenant.size > MAXIMUM_TENANTS) {
      this.byTenant.delete(this.byTenant.keys().next().value!);
    }
    estimate.recordRequest(isNewProgram);
    this.allTenants.recordRequest(isNewProgram);
  }

  /** Requests that a program of a tenant is expected to need. */
  expectedRequests(tenant: TenantId): number {
    const overallMean = this.allTenants.mean(1, 1);
    return this.byTenant.get(tenant)?.mean(overallMean, PRIOR_PROGRAMS) ?? overallMean;
  }
}
