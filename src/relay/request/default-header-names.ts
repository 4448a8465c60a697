/** Default names of headers, for deployments that define none of their own. */
import type { HeaderNames } from './header-names.js';

/** Names of headers unless a deployment defines its own. */
export const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'ivyloom-request',
  timeout: 'ivyloom-timeout-milliseconds',
  affinity: 'ivyloom-affinity',
  promptParts: 'ivyloom-prompt-parts',
  tokenUsage: 'ivyloom-token-usage',
  lastEventId: 'last-event-id',
  resumes: 'ivyloom-resumes',
  expectedRunner: 'ivyloom-runner',
  runnerId: 'ivyloom-runner-id',
  priority: 'ivyloom-priority',
  signature: 'ivyloom-signature',
  notExecuted: 'ivyloom-not-executed',
  program: 'ivyloom-program',
  session: 'ivyloom-session',
  programDeadline: 'ivyloom-program-deadline-milliseconds',
  tokenBudget: 'ivyloom-token-budget',
  previousTurn: 'ivyloom-previous-turn',
  key: 'authorization',
  tenant: 'ivyloom-tenant',
  reserved: new Set(['ivyloom-runner', 'ivyloom-signature', 'ivyloom-not-executed']),
};
