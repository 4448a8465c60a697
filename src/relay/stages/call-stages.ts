/**
 * The table of stages between the door and the first try, in their order. Stages of one row begin together.
 * A request passes each; a new one is a module of its own and a line here.
 */
import { ADMISSION_STAGE } from './admission-stage.js';
import { PREPARATION_STAGE } from './preparation-stage.js';
import { QUOTA_STAGE } from './quota-stage.js';
import type { RequestStage } from './stage.js';

/** See the head of this file. */
export const CALL_STAGES: readonly (readonly RequestStage[])[] = [
  [ADMISSION_STAGE],
  [QUOTA_STAGE, PREPARATION_STAGE],
];
