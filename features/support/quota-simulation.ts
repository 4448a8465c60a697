/**
 * Simulation of the quotas of 83 tenants in virtual time: clients send programs through 72 gateways, which ask the
 * simulated members. A program ends when one of its requests is refused.
 */
import { QuotaGate } from '../../src/relay/admission/quota-gate.js';
import { RelayMetrics } from '../../src/relay/relay-metrics.js';
import type { RelayRequest } from '../../src/relay/request/relay-request.js';
import { createRandom } from '../../src/runtime/random.js';
import type { RandomSource } from '../../src/runtime/random.js';
import { SimulatedReplicas } from '../../src/simulation/simulated-replicas.js';
import { VirtualClock } from '../../src/simulation/virtual-clock.js';
import { CLAIRVOYANT_LIMITS, clairvoyantPrograms, hardLimitOf } from './clairvoyant-quota.js';
import { CONVERSATION, drawPrograms, TENANTS, TOOL_ROUTE } from './quota-load.js';
import type { PlannedProgram } from './quota-load.js';

/** A fault of a member in the middle of the run. */
export type MemberFault = 'none' | 'lost' | 'partitioned' | 'unreachable for half of the gateways';

/** One run of the simulation. */
export interface QuotaScenario {
  readonly seed: number;
  readonly members: number;
  readonly fault: MemberFault;
  /** Load of the busiest tenant relative to its limit. */
  readonly overload: number;
}

/** What a run counted, of programs that started after the warm-up. */
export interface QuotaOutcome {
  programs: number;
  completed: number;
  /** Programs that a clairvoyant policy completes within the limit, and within the hard limit. */
  clairvoyantAtLimit: number;
  clairvoyantAtHardLimit: number;
  /** The same of tenants below their limits. */
  programsBelowLimit: number;
  completedBelowLimit: number;
  granted: number;
  wasted: number;
  refusedFirstTurns: number;
  refusedLaterTurns: number;
  /** Questions to members. */
  calls: number;
  /** Largest number of grants in a window, relative to the hard limit, over all tenants. */
  largestWindowShare: number;
}

export const GATEWAY_COUNT = 72;
export const WINDOW_MILLISECONDS = 5_000;
export const ALLOWANCE = { overshoot: 0.1, slack: 20 };
/** Index of the tenant that exceeds its limit. */
export const BUSY_TENANT = 3;
/** Index of the tenant whose limit is lowered. */
export const LOWERED_TENANT = 1;
const LOWERED_FACTOR = 0.5;
const USUAL_LOAD_OF_LIMIT = 1.6;
const WARM_UP_MILLISECONDS = 20_000;
const FAULT_AT_MILLISECONDS = 30_000;
const LOWERED_AT_MILLISECONDS = 35_000;
const LAST_START_MILLISECONDS = 45_000;
const END_MILLISECONDS = 60_000;
/** Time by which gateways learn of a lowered limit. */
const CONFIGURATION_DELAY_MILLISECONDS = 300;
const OTHER_GATEWAY_SHARE = 0.2;
/** Share of later turns without a previous turn that an unknowing gateway takes for a program's first. */
const UNRECOGNIZED_SHARE = 0.3;
const REQUEST_MILLISECONDS = 3_000;

interface Gateway {
  readonly gate: QuotaGate;
  readonly knownPrograms: Set<string>;
  readonly lowersAt: number;
}

interface RunningProgram {
  readonly plan: PlannedProgram;
  readonly homeGateway: number;
  granted: number;
}

/** Largest number of events in any window, of ascending times. */
function largestWindow(times: readonly number[]): number {
  let first = 0;
  let largest = 0;
  times.forEach((at, index) => {
    while (times[first]! <= at - WINDOW_MILLISECONDS) {
      first += 1;
    }
    largest = Math.max(largest, index - first + 1);
  });
  return largest;
}

/** Runs one scenario. */
export class QuotaSimulation {
  readonly metrics = new RelayMetrics();
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly replicas: SimulatedReplicas;
  private readonly gateways: Gateway[] = [];
  private readonly grants: number[][] = TENANTS.map(() => []);
  private startedAt = 0;
  private readonly outcome: QuotaOutcome = {
    programs: 0,
    completed: 0,
    clairvoyantAtLimit: 0,
    clairvoyantAtHardLimit: 0,
    programsBelowLimit: 0,
    completedBelowLimit: 0,
    granted: 0,
    wasted: 0,
    refusedFirstTurns: 0,
    refusedLaterTurns: 0,
    calls: 0,
    largestWindowShare: 0,
  };

  constructor(private readonly scenario: QuotaScenario) {
    this.random = createRandom(scenario.seed);
    this.replicas = new SimulatedReplicas(this.clock, this.random, {
      quotaAllowance: ALLOWANCE,
      wantedMembers: scenario.members,
    });
  }

  run(): QuotaOutcome {
    const { members, fault } = this.scenario;
    for (let index = 1; index <= members; index += 1) {
      this.replicas.add(`m${index}`, `z${index}`);
    }
    this.clock.runUntil(10_000);
    this.startedAt = this.clock.now;
    for (let index = 0; index < GATEWAY_COUNT; index += 1) {
      this.addGateway(index);
    }
    const demand = createRandom(this.scenario.seed + 1_000);
    TENANTS.forEach((tenant, index) => {
      const load = index === BUSY_TENANT ? this.scenario.overload * USUAL_LOAD_OF_LIMIT : 1;
      const programs = drawPrograms(index, load, LAST_START_MILLISECONDS, demand);
      const change = {
        at: index === LOWERED_TENANT ? LOWERED_AT_MILLISECONDS : Infinity,
        factor: LOWERED_FACTOR,
      };
      const countWithin = (limit: keyof typeof CLAIRVOYANT_LIMITS): number =>
        clairvoyantPrograms(programs, tenant, change, CLAIRVOYANT_LIMITS[limit]).filter(
          ({ startsAt }) => startsAt >= WARM_UP_MILLISECONDS,
        ).length;
      this.outcome.clairvoyantAtLimit += countWithin('limit');
      this.outcome.clairvoyantAtHardLimit += countWithin('hardLimit');
      programs.forEach((plan) => this.start(plan));
    });
    this.clock.schedule(FAULT_AT_MILLISECONDS, () => this.injectFault(fault));
    this.clock.runUntil(this.startedAt + END_MILLISECONDS);
    this.outcome.calls = this.replicas.quotaCalls;
    TENANTS.forEach((tenant, index) => {
      const limit = hardLimitOf(tenant, 1);
      const times = this.grants[index]!.sort((left, right) => left - right);
      const loweredAt = this.startedAt + LOWERED_AT_MILLISECONDS + CONFIGURATION_DELAY_MILLISECONDS;
      const lowered = index === LOWERED_TENANT ? times.filter((at) => at > loweredAt) : [];
      this.outcome.largestWindowShare = Math.max(
        this.outcome.largestWindowShare,
        largestWindow(times) / limit,
        largestWindow(lowered) / hardLimitOf(tenant, LOWERED_FACTOR),
      );
    });
    return this.outcome;
  }

  private addGateway(index: number): void {
    const { random } = this;
    const client = this.replicas.quotaClient(`g${index}`, 'm1');
    const gate = new QuotaGate({
      client,
      metrics: this.metrics,
      random,
      log: () => undefined,
      isReachable: () => true,
      chargesWholePrograms: true,
    });
    const lowersAt = LOWERED_AT_MILLISECONDS + random.uniform() * CONFIGURATION_DELAY_MILLISECONDS;
    this.gateways.push({ gate, knownPrograms: new Set(), lowersAt });
  }

  private injectFault(fault: MemberFault): void {
    if (fault === 'lost') {
      this.replicas.kill('m2');
    } else if (fault === 'partitioned') {
      const others = Array.from({ length: this.scenario.members }, (_, index) => `m${index + 1}`);
      [...others, 'store'].forEach((other) => other === 'm2' || this.replicas.cut('m2', other));
    } else if (fault !== 'none') {
      for (let index = 0; index < GATEWAY_COUNT; index += 2) {
        this.replicas.cut(`g${index}`, 'm2');
      }
    }
  }

  private start(plan: PlannedProgram): void {
    const homeGateway = this.random.integer(0, GATEWAY_COUNT - 1);
    const program = { plan, homeGateway, granted: 0 };
    this.clock.schedule(plan.startsAt, () => this.send(program));
  }

  private send(program: RunningProgram): void {
    const { plan, homeGateway } = program;
    const next = plan.requests[program.granted]!;
    const isElsewhere = this.random.uniform() < OTHER_GATEWAY_SHARE;
    const gateway =
      this.gateways[isElsewhere ? this.random.integer(0, GATEWAY_COUNT - 1) : homeGateway]!;
    const isFirst = program.granted === 0;
    const isStream = next.route !== TOOL_ROUTE;
    const showsHistory = plan.kind === CONVERSATION || this.random.uniform() > UNRECOGNIZED_SHARE;
    const startsProgram =
      isStream && !gateway.knownPrograms.has(plan.id) && (isFirst || !showsHistory);
    const request = this.requestOf(program, gateway, next.route, isStream);
    gateway.gate.check(request, startsProgram, REQUEST_MILLISECONDS, (refusal) => {
      if (refusal === undefined) {
        gateway.knownPrograms.add(plan.id);
        this.proceed(program);
      } else {
        this.end(program, isFirst);
      }
    });
  }

  private proceed(program: RunningProgram): void {
    const { plan } = program;
    const sentOffset = plan.requests[program.granted]!.offsetMilliseconds;
    program.granted += 1;
    this.grants[plan.tenant]!.push(this.clock.now);
    const next = plan.requests[program.granted];
    if (next === undefined) {
      this.end(program, false);
    } else {
      this.clock.schedule(next.offsetMilliseconds - sentOffset, () => this.send(program));
    }
  }

  private end({ plan, granted }: RunningProgram, isFirstTurn: boolean): void {
    if (plan.startsAt < WARM_UP_MILLISECONDS) {
      return;
    }
    const { outcome } = this;
    const isComplete = granted === plan.requests.length;
    const isBelowLimit = plan.tenant !== BUSY_TENANT && plan.tenant !== LOWERED_TENANT;
    outcome.programs += 1;
    outcome.granted += granted;
    outcome.completed += isComplete ? 1 : 0;
    outcome.programsBelowLimit += isBelowLimit ? 1 : 0;
    outcome.completedBelowLimit += isBelowLimit && isComplete ? 1 : 0;
    outcome.wasted += isComplete ? 0 : granted;
    outcome.refusedFirstTurns += isFirstTurn ? 1 : 0;
    outcome.refusedLaterTurns += !isFirstTurn && !isComplete ? 1 : 0;
  }

  private requestOf(
    { plan }: RunningProgram,
    gateway: Gateway,
    route: string,
    isStream: boolean,
  ): RelayRequest {
    const { id, ratePerSecond, burst } = TENANTS[plan.tenant]!;
    const isLowered =
      plan.tenant === LOWERED_TENANT && this.clock.now - this.startedAt >= gateway.lowersAt;
    const factor = isLowered ? LOWERED_FACTOR : 1;
    const quota = { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
    const priority = plan.kind === CONVERSATION ? 0 : 1;
    return {
      id: `${plan.id}-${this.clock.now}`,
      tenant: { id, priority: 0, quota },
      configurationVersion: isLowered ? 2 : 1,
      program: { program: plan.id, session: plan.id, budgetTokens: undefined },
      programDeadlineAt: undefined,
      route: { name: route, kind: isStream ? 'stream' : 'repeatable', priority },
    } as unknown as RelayRequest;
  }
}
