/**
 * The stages between ingress and the first attempt, in order. Stages of one row start together, and
 * a request passes all of them. A new stage is a module of its own and an entry here.
 */
import { ADMISSION_STAGE } from './admission-stage.js';
import { COLD_STAGE } from './cold-stage.js';
import { CAPACITY_STAGE } from './capacity-stage.js';
import { ORIGIN_STAGE } from './origin-stage.js';
import { OUTPUT_STAGE } from './output-stage.js';
import { PREPARATION_STAGE } from './preparation-stage.js';
import { QUARANTINE_STAGE } from './quarantine-stage.js';
import { QUOTA_STAGE } from './quota-stage.js';
import type { RequestStage } from './stage.js';

/** Steps of stages that a request passes before its first attempt. */
export const CALL_STAGES: readonly (readonly RequestStage[])[] = [
  [CAPACITY_STAGE],
  [QUARANTINE_STAGE],
  [ORIGIN_STAGE],
  [OUTPUT_STAGE],
  [ADMISSION_STAGE],
  [QUOTA_STAGE, PREPARATION_STAGE],
  [COLD_STAGE],
];
