/** Manages the prompts that a pool's engines hold in their caches for programs between turns. */
import type { ProgramId } from '../model/identifiers.js';
import type { BackEndPort, BackEndReport, Fence } from '../platform/back-end-port.js';
import type { CacheDirectory } from '../scheduling/cache-directory.js';
import { programPrefix } from '../scheduling/pool-view.js';
import type { FinishedTurn, PoolView, SchedulingPolicy } from '../scheduling/pool-view.js';
import type { EngineSet } from './engine-set.js';
import type { EngineState } from './engine-state.js';

/** Expiry of a hold found on an engine but not requested by this scheduler, in milliseconds. */
const ADOPTED_HOLD_MILLISECONDS = 4_000;

/** Dependencies of a `HoldManager`. */
export interface HoldManagerOptions {
  readonly engines: EngineSet;
  readonly directory: CacheDirectory;
  readonly policy: SchedulingPolicy;
  readonly backEnds: BackEndPort;
  readonly fence: () => Fence;
  /** Asks the shard owners which of these programs have ended. */
  readonly checkHolds: (programs: readonly ProgramId[]) => void;
}

/** Requests, tracks and releases the holds of one pool. */
export class HoldManager {
  constructor(private readonly options: HoldManagerOptions) {}

  /**
   * Records the prefixes that a finished turn left in its engine's cache and applies the policy's
   * hold decision.
   */
  finishTurn(pool: PoolView, engine: EngineState, turn: FinishedTurn, now: number): void {
    this.recordCachedPrefixes(turn);
    if (engine.view.cacheTokens === 0) {
      return;
    }
    const decision = this.options.policy.finished(pool, turn, now);
    if (decision.type === 'leave') {
      return;
    }
    const { program } = turn.ticket;
    this.releaseElsewhere(program, engine);
    this.sendHold(engine, program, decision.milliseconds);
    engine.removeHold(program);
    if (decision.milliseconds === 0) {
      this.options.directory.remove(engine.view.engine, program);
      return;
    }
    const { tokens } = programPrefix(turn.ticket, turn.usage);
    engine.addHold(program, { tokens, expiresAt: now + decision.milliseconds });
  }

  /** Removes the holds of an ended program and, if `releasesMemory` is set, frees its prompts. */
  releaseProgram(program: ProgramId): void {
    const { directory, engines, policy } = this.options;
    policy.programEnded(program);
    const holders = new Set(directory.removeEverywhere(program));
    for (const engine of engines.values()) {
      const held = engine.removeHold(program);
      if (policy.releasesMemory && (held || holders.has(engine.view.engine))) {
        this.sendHold(engine, program, 0);
      }
    }
  }

  /** Removes expired holds. */
  removeExpired(now: number): void {
    for (const engine of this.options.engines.values()) {
      for (const program of engine.removeExpiredHolds(now)) {
        this.options.directory.remove(engine.view.engine, program);
      }
    }
  }

  /** Updates holds and cached prefixes from an engine's report. */
  receiveReport(engine: EngineState, report: BackEndReport, now: number): void {
    const { directory, checkHolds } = this.options;
    const name = engine.view.engine;
    report.evictedPrograms.forEach((program) => directory.remove(name, program));
    const unknown = report.held.filter((held) => !engine.holds.has(held.program));
    for (const { program, tokens } of unknown) {
      // An earlier scheduler requested this hold; the program's owner knows whether it has ended.
      engine.addHold(program, { tokens, expiresAt: now + ADOPTED_HOLD_MILLISECONDS });
      directory.add(name, { name: program, tokens });
    }
    if (unknown.length > 0) {
      checkHolds(unknown.map((held) => held.program));
    }
  }

  /** Asks the shard owners which of the programs with holds have ended. */
  checkAllHolds(): void {
    const programs = [...this.options.engines.values()].flatMap((engine) => [
      ...engine.holds.keys(),
    ]);
    if (programs.length > 0) {
      this.options.checkHolds(programs);
    }
  }

  private recordCachedPrefixes(turn: FinishedTurn): void {
    const { engine } = turn.engine;
    this.options.directory.add(engine, programPrefix(turn.ticket, turn.usage));
    const shared = turn.ticket.prefixes.filter((prefix) => prefix.name !== turn.ticket.program);
    shared.forEach((prefix) => this.options.directory.add(engine, prefix));
  }

  /** Releases older copies of the program's history on engines other than the current one. */
  private releaseElsewhere(program: ProgramId, keptEngine: EngineState): void {
    const { directory, engines } = this.options;
    for (const holder of directory.holders(program)) {
      const engine = engines.get(holder);
      if (engine !== undefined && engine !== keptEngine) {
        directory.remove(holder, program);
        engine.removeHold(program);
        this.sendHold(engine, program, 0);
      }
    }
  }

  private sendHold(engine: EngineState, program: ProgramId, milliseconds: number): void {
    const { backEnds, fence } = this.options;
    backEnds.hold(engine.view.engine, program, milliseconds, fence());
  }
}
