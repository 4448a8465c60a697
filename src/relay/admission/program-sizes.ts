/**
 * Learns how many requests a program of each tenant needs, from the requests granted at this
 * gateway. A tenant with few observations is assumed to be like the average of all tenants.
 */
import type { TenantId } from '../request/tenant.js';

/** Weight, in programs, of the average of all tenants in the estimate of a single tenant. */
const PRIOR_PROGRAMS = 5;
/** Number of programs after which the counts are halved, so that older programs weigh less. */
const DECAY_AFTER_PROGRAMS = 200;
/** Maximum number of tenants to remember; the least recently used are evicted. */
const MAXIMUM_TENANTS = 2_000;

class SizeEstimate {
  private requests = 0;
  private programs = 0;

  /**
   * Returns the mean number of requests of a program, as if `assumedPrograms` programs of
   * `assumedMean` requests had been seen as well.
   */
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

/** Estimates the number of requests of a program, by tenant. */
export class ProgramSizes {
  private readonly allTenants = new SizeEstimate();
  private readonly byTenant = new Map<TenantId, SizeEstimate>();

  /** Records a request that was granted. */
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

  /** Returns the expected number of requests of a program of a tenant. */
  expectedRequests(tenant: TenantId): number {
    const overallMean = this.allTenants.mean(1, 1);
    return this.byTenant.get(tenant)?.mean(overallMean, PRIOR_PROGRAMS) ?? overallMean;
  }
}
