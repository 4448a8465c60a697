/**
 * Refuses new requests while memory is short. Only the head of the request has been read at this
 * stage.
 */
import { memoryLimitReached } from '../answers/local-answers.js';
import type { IngressStage } from './ingress-stages.js';

/** Refuses a request unless the memory budget accepts new ones. */
export const MEMORY_STAGE: IngressStage = {
  name: 'memory',
  check: ({ context }) => (context.memory.acceptsRequests ? undefined : memoryLimitReached()),
};
