/** Decides and orders what prompt memory the back ends of a pool hold for programs in a pause. */
import type { ProgramId } from '../model/identifiers.js';
import type { BackEndPort, BackEndReport, Fence } from '../platform/back-end-port.js';
import type { CacheDirectory } from '../scheduling/cache-directory.js';
import { programPrefix } from '../scheduling/pool-view.js';
import type { FinishedTurn, PoolView, SchedulingPolicy } from '../scheduling/pool-view.js';
import type { EngineSet } from './engine-set.js';
import type { EngineState } from './engine-state.js';

/** Time for which memory found held by an earlier scheduler's order is kept unasked, in ms. */
const ADOPTED_HOLD_MILLISECONDS = 4_000;

/** What a keeper is made with. */
export interface HoldManagerOptions {
  readonly engines: EngineSet;
  readonly directory: CacheDirectory;
  readonly policy: SchedulingPolicy;
  readonly backEnds: BackEndPort;
  readonly fence: () => Fence;
  /** Asks the owners which of these programs are over. */
  readonly checkHolds: (programs: readonly ProgramId[]) => void;
}

/** See the head of this file. */
export class HoldManager {
  constructor(private readonly options: HoldManagerOptions) {}

  /** Notes what a finished turn left in its engine's cache and orders how long to keep it. */
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

  /** Gives back the memory of a program that is over. */
  releaseProgram(program: ProgramId): void {
    const { directory, engines, policy } = this.options;
    policy.programEnded(program);
    const holders = new Set(directory.forget(program));
    for (const engine of engines.values()) {
      const held = engine.removeHold(program);
      if (policy.releasesMemory && (held || holders.has(engine.view.engine))) {
        this.sendHold(engine, program, 0);
      }
    }
  }

  /** Forgets holds that have lapsed by themselves. */
  removeExpired(now: number): void {
    for (const engine of this.options.engines.values()) {
      for (const program of engine.removeExpiredHolds(now)) {
        this.options.directory.remove(engine.view.engine, program);
      }
    }
  }

  /** Takes a back end's word on what it holds and has pushed out. */
  receiveReport(engine: EngineState, report: BackEndReport, now: number): void {
    const { directory, checkHolds } = this.options;
    const name = engine.view.engine;
    report.evictedPrograms.forEach((program) => directory.remove(name, program));
    const unknown = report.held.filter((held) => !engine.holds.has(held.program));
    for (const { program, tokens } of unknown) {
      // Held by an earlier scheduler's order: its owner says whether the program still lives.
      engine.addHold(program, { tokens, expiresAt: now + ADOPTED_HOLD_MILLISECONDS });
      directory.add(name, { name: program, tokens });
    }
    if (unknown.length > 0) {
      checkHolds(unknown.map((held) => held.program));
    }
  }

  /** Asks the owners about every program for which memory is held. */
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

  /** Older copies of the same history, left on engines the program has moved away from. */
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
