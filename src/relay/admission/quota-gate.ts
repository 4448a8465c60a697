/**
 * Enforces the request quotas of tenants. A request above the quota is refused at once, with the
 * time until the quota allows another one. New programs are refused before requests of
 * programs in progress, since a program that is interrupted halfway has wasted all its earlier
 * requests.
 */
import { hashToNumber } from '../../runtime/hashing.js';
import type { RandomSource } from '../../runtime/random.js';
import type { LogFunction } from '../../runtime/runtime.js';
import type { QuotaClient, QuotaOutcome } from '../../turns/quota-client.js';
import type { LocalAnswer } from '../answers/local-answers.js';
import { dependencyUnavailable, quotaExceeded } from '../answers/local-answers.js';
import { ProgramSizes } from './program-sizes.js';
import type { RelayMetrics } from '../relay-metrics.js';
import type { RelayRequest } from '../request/relay-request.js';

/** Options of a {@link QuotaGate}. */
export interface QuotaGateOptions {
  readonly client: QuotaClient;
  readonly metrics: RelayMetrics;
  readonly random: RandomSource;
  readonly log: LogFunction;
  /** Whether this gateway reaches enough replicas. */
  readonly isReachable: () => boolean;
  /** Whether a new program is charged with all the requests that it is expected to need. */
  readonly chargesWholePrograms: boolean;
}

/** Timeout of a quota request to the replicas, in milliseconds. */
const QUOTA_TIMEOUT_MILLISECONDS = 300;
/** How long a request may be held; it is held only if it is known to be granted then. */
interface HoldLimit {
  readonly milliseconds: number;
  /** The same as a share of the time that the request has left. */
  readonly share: number;
}

/** Limit for requests of programs in progress: refusing one wastes all requests before it. */
const HOLD_IN_PROGRAM: HoldLimit = { milliseconds: 1_000, share: 1 / 3 };
/** Limit for requests without a program. */
const HOLD_ALONE: HoldLimit = { milliseconds: 600, share: 0.25 };
/** Maximum number of tenants with a metric label of their own; all others share one. */
const MAXIMUM_LABELED_TENANTS = 100;
const OTHER_TENANTS_LABEL = 'others';
/** Spread of retry delays that the members have already spaced, as a fraction of the delay. */
const SPACED_RETRY_SPREAD = 0.1;
/** Number of decimals of logged tokens and shares. */
const DECIMALS = 2;

/**
 * Called with a refusal, or with undefined if the request may run, and with whether a refused request's program has not
 * run before.
 */
export type QuotaListener = (refusal: LocalAnswer | undefined, isProgramRefused: boolean) => void;

/** Checks requests against the quotas of their tenants. */
export class QuotaGate {
  private readonly labeledTenants = new Set<string>();
  private readonly programSizes = new ProgramSizes();

  constructor(private readonly options: QuotaGateOptions) {}

  /** Decides whether a request may run. */
  check(
    request: RelayRequest,
    isNewProgram: boolean,
    remainingMilliseconds: number,
    done: QuotaListener,
  ): void {
    const { tenant, configurationVersion: version } = request;
    if (tenant?.quota === undefined) {
      done(undefined, false);
      return;
    }
    const { client, random, isReachable, chargesWholePrograms: countsPrograms } = this.options;
    const quota = { tenant: tenant.id, version, ...tenant.quota };
    const timeout = Math.min(QUOTA_TIMEOUT_MILLISECONDS, remainingMilliseconds);
    const beginsRequests =
      isNewProgram && countsPrograms ? this.programSizes.expectedRequests(tenant.id) : 0;
    const isInProgram = client.usesHomes && request.program !== undefined;
    const { milliseconds, share } = isInProgram ? HOLD_IN_PROGRAM : HOLD_ALONE;
    const patienceMilliseconds = isNewProgram
      ? 0
      : Math.min(milliseconds, remainingMilliseconds * share);
    const programHash = request.program === undefined ? 0 : hashToNumber(request.program.program);
    const question = {
      quota,
      beginsRequests,
      patienceMilliseconds,
      program: programHash,
      kind: request.route.name,
      rank: Math.max(0, request.route.priority),
    };
    client.spend(question, timeout, (outcome) => {
      this.record(request, outcome);
      switch (outcome.tag) {
        case 'Granted':
          this.programSizes.recordRequest(tenant.id, isNewProgram);
          done(undefined, false);
          return;
        case 'Exhausted': {
          const isProgramRefused = outcome.inputs === undefined || isNoRoom(outcome);
          const spread = isNoRoom(outcome) ? SPACED_RETRY_SPREAD : 1;
          const refusal = quotaExceeded(outcome.waitMilliseconds, random.uniform() * spread);
          done(refusal, isProgramRefused);
          return;
        }
        case 'OutOfReach':
          done(dependencyUnavailable('quota', isReachable()), true);
      }
    });
  }

  /** Counts a decision, and logs it unless the request runs as a part of a program in progress. */
  private record({ id, program, route, tenant }: RelayRequest, outcome: QuotaOutcome): void {
    const inputs = outcome.tag === 'OutOfReach' ? undefined : outcome.inputs;
    const reason = inputs?.reason ?? (outcome.tag === 'OutOfReach' ? 'unreachable' : 'unknown');
    const tenantLabel = this.labelOf(tenant?.id ?? '');
    const { metrics, log } = this.options;
    if (outcome.tag === 'Exhausted') {
      metrics.count('ivyloom_relay_quota_refusals_total', tenantLabel);
    }
    const labels = `${tenantLabel},reason="${reason}"`;
    metrics.count('ivyloom_relay_quota_decisions_total', labels);
    if (outcome.tag === 'Granted' && reason !== 'fits') {
      return;
    }
    log('info', 'quota decided', {
      event: 'relay.quota',
      request: id,
      program: program?.program ?? '',
      tenant: tenant?.id ?? '',
      route: route.name,
      reason,
      granted: outcome.tag === 'Granted',
      member: inputs?.member ?? '',
      share: Number((inputs?.share ?? 0).toFixed(DECIMALS)),
      tokens: Number((inputs?.tokens ?? 0).toFixed(DECIMALS)),
      reserved: Math.round(inputs?.reserved ?? 0),
      needed: Math.round(inputs?.needed ?? 0),
      pause: outcome.tag === 'Exhausted' ? Math.round(outcome.waitMilliseconds) : -1,
    });
  }

  /** Returns the metric label of a tenant. */
  private labelOf(tenant: string): string {
    if (this.labeledTenants.size < MAXIMUM_LABELED_TENANTS) {
      this.labeledTenants.add(tenant);
    }
    const tenantLabel = this.labeledTenants.has(tenant) ? tenant : OTHER_TENANTS_LABEL;
    return `tenant=${JSON.stringify(tenantLabel)}`;
  }
}

/** Whether a program was refused as a whole; the times at which clients return are spaced then. */
function isNoRoom(outcome: QuotaOutcome): boolean {
  return outcome.tag === 'Exhausted' && outcome.inputs?.reason === 'noRoom';
}
