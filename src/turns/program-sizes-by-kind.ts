/**
 * Learns how many requests the programs of one tenant need and how long they take, by kind. A mean would hide that kinds
 * differ severalfold, and that a program which has already used more than most is a long one.
 */

/** What a program needs. */
export interface ProgramNeed {
  readonly requests: number;
  /** Time over which the requests are spread, in milliseconds. */
  readonly milliseconds: number;
}

/** Number of programs remembered per kind. */
const MAXIMUM_SAMPLES = 40;
/** Maximum number of kinds remembered per tenant; the least recently used are evicted. */
const MAXIMUM_KINDS = 16;
/** Weight, in programs, of the assumed size in the estimate of a kind. */
const PRIOR_PROGRAMS = 1;
/** Time between two requests of a program that is assumed before any was seen, in milliseconds. */
const PRIOR_GAP_MILLISECONDS = 200;
/** Expected remaining requests, relative to those used, of a program that exceeds all known ones of its kind. */
const EXCESS_SHARE = 0.2;

interface KindSamples {
  readonly sizes: ProgramNeed[];
  next: number;
}

/** Sizes of finished programs by kind. */
export class ProgramSizesByKind {
  private readonly kinds = new Map<string, KindSamples>();

  /** Records a finished program. */
  record(kind: string, size: ProgramNeed): void {
    let samples = this.kinds.get(kind);
    if (samples === undefined) {
      samples = { sizes: [], next: 0 };
    } else {
      this.kinds.delete(kind);
    }
    this.kinds.set(kind, samples);
    samples.sizes[samples.next] = size;
    samples.next = (samples.next + 1) % MAXIMUM_SAMPLES;
    if (this.kinds.size > MAXIMUM_KINDS) {
      this.kinds.delete(this.kinds.keys().next().value!);
    }
  }

  /**
   * Returns what a program of a kind is expected to need beyond the requests that it has used.
   * @param assumedRequests total that is assumed of a program of an unknown kind
   */
  remaining(kind: string, usedRequests: number, assumedRequests: number): ProgramNeed {
    const sizes = this.kinds.get(kind)?.sizes ?? [];
    let requests = 0;
    let milliseconds = 0;
    let count = 0;
    for (const size of sizes) {
      if (size.requests > usedRequests) {
        requests += size.requests - usedRequests;
        milliseconds += (size.milliseconds * (size.requests - usedRequests)) / size.requests;
        count += 1;
      }
    }
    if (count === 0 && sizes.length > 0) {
      const excess = Math.max(1, usedRequests * EXCESS_SHARE);
      return { requests: excess, milliseconds: excess * PRIOR_GAP_MILLISECONDS };
    }
    const assumed = Math.max(1, assumedRequests - usedRequests);
    const programs = count + PRIOR_PROGRAMS;
    return {
      requests: (requests + assumed * PRIOR_PROGRAMS) / programs,
      milliseconds: (milliseconds + assumed * PRIOR_GAP_MILLISECONDS * PRIOR_PROGRAMS) / programs,
    };
  }
}
