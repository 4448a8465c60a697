/** Refuses new requests while the memory of the process is short: nothing was read of them but their heads. */
import { memoryLimitReached } from '../answers/local-answers.js';
import type { IngressStage } from './ingress-stages.js';

/** See the head of this file. */
export const MEMORY_STAGE: IngressStage = {
  name: 'memory',
  check: ({ context }) => (context.memory.acceptsRequests ? undefined : memoryLimitReached()),
};
