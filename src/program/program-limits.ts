/** The limits that end loops and hangs, with their defaults. */
import type { ProgramLimits } from './commands.js';

const HOUR_MILLISECONDS = 3_600_000;

/** Limits of programs and of what an owner keeps for them. */
export interface OwnerLimits {
  readonly program: ProgramLimits;
  /** Milliseconds without a call after which a program is over. @default 3600000 */
  readonly idleMilliseconds: number;
  /** Milliseconds an ended program's answers and history stay readable. @default 86400000 */
  readonly retentionMilliseconds: number;
  /** Times a repeatable call may be sent again. @default 3 */
  readonly maximumAttempts: number;
  /** Calls of one program that may wait for an earlier sequence. @default 64 */
  readonly maximumOutOfOrderCalls: number;
}

/** Limits used when the settings name none. */
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
