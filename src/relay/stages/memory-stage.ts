/** Refuses new requests while the memory of the process is short: nothing was read of them but their heads. */
import { memoryShort } from '../answers/own-answers.js';
import type { DoorStage } from './door-stages.js';

/** See the head of this file. */
export const MEMORY_STAGE: DoorStage = {
  name: 'memory',
  check: ({ context }) => (context.memory.takesRequests ? undefined : memoryShort()),
};
