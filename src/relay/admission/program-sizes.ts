/**
 * Learns how many requests a program of a tenant needs, from what was let in here. A tenant of which
 * little is known is taken to be like all others together.
 */
import type { TenantId } from '../request/tenant.js';

/** Programs of all tenants that count for one of which nothing is known. */
const PRIOR_PROGRAMS = 5;
/** Programs after which older ones count half. */
const REMEMBERED_PROGRAMS = 200;
/** Tenants remembered; the longest unused go first. */
const MAXIMUM_TENANTS = 2_000;

class Sizes {
  private requests = 0;
  private programs = 0;

  /** Mean number of requests of a program, with some programs of a size assumed beside those seen. */
  mean(assumed: number, assumedPrograms: number): number {
    const requests = this.requests + assumed * assumedPrograms;
    return requests / (this.programs + assumedPrograms);
  }

  note(isNewProgram: boolean): void {
    this.requests += 1;
    this.programs += isNewProgram ? 1 : 0;
    if (this.programs > REMEMBERED_PROGRAMS) {
      this.requests /= 2;
      this.programs /= 2;
    }
  }
}

/** See the head of this file. */
export class ProgramSizes {
  private readonly all = new Sizes();
  private readonly byTenant = new Map<TenantId, Sizes>();

  /** Notes a request that may run. */
  note(tenant: TenantId, isNewProgram: boolean): void {
    const sizes = this.byTenant.get(tenant) ?? new Sizes();
    this.byTenant.delete(tenant);
    this.byTenant.set(tenant, sizes);
    if (this.byTenant.size > MAXIMUM_TENANTS) {
      this.byTenant.delete(this.byTenant.keys().next().value!);
    }
    sizes.note(isNewProgram);
    this.all.note(isNewProgram);
  }

  /** Requests that a program of a tenant is expected to need. */
  expected(tenant: TenantId): number {
    const usual = this.all.mean(1, 1);
    return this.byTenant.get(tenant)?.mean(usual, PRIOR_PROGRAMS) ?? usual;
  }
}
