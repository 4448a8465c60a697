/** Limits of programs and calls, with their defaults. */
import type { ProgramLimits } from './commands.js';

const HOUR_MILLISECONDS = 3_600_000;

/** Limits that a shard owner enforces. */
export interface OwnerLimits {
  readonly program: ProgramLimits;
  /** Milliseconds without activity after which a program ends. @default 3600000 */
  readonly idleMilliseconds: number;
  /** Milliseconds for which an ended program's answers and history are kept. @default 86400000 */
  readonly retentionMilliseconds: number;
  /** Maximum number of attempts per call at one owner. @default 3 */
  readonly maximumAttempts: number;
  /** Maximum number of buffered out-of-order calls per program. @default 64 */
  readonly maximumOutOfOrderCalls: number;
}

/** Default limits. */
export const DEFAULT_OWNER_LIMITS: OwnerLimits = {
  program: {
    maximumTurns: 1_000,
    maximumHistoryTokens: 500_000,
    maximumDepth: 8,
    maximumLifeMilliseconds: 24 * HOUR_MILLISECONDS,
  },
  idleMilliseconds: HOUR_MILLISECONDS,
  retentionMilliseconds: 24 * HOUR_MILLISECONDS,
  maximumAttempts: 3,
  maximumOutOfOrderCalls: 64,
};
