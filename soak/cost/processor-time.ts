/** Processor time and wake-ups of a process, as the kernel counts them for each of its threads. */
import { readdirSync, readFileSync } from 'node:fs';

/** What a process has used since its start. */
export interface ProcessorUse {
  /** Processor time of all threads that live, in milliseconds. */
  readonly milliseconds: number;
  /** Times that a thread went to sleep of its own accord. */
  readonly wakeUps: number;
}

const NANOSECONDS_IN_MILLISECOND = 1e6;

function useOfThread(folder: string): ProcessorUse {
  const [running = '0'] = readFileSync(`${folder}/schedstat`, 'utf8').split(' ');
  const status = readFileSync(`${folder}/status`, 'utf8');
  const switches = /^voluntary_ctxt_switches:\s+(\d+)$/m.exec(status)?.[1] ?? '0';
  return {
    milliseconds: Number(running) / NANOSECONDS_IN_MILLISECOND,
    wakeUps: Number(switches),
  };
}

/** Reads what a process has used. Throws where there is no such process. */
export function processorUse(processId: number): ProcessorUse {
  const tasks = `/proc/${processId}/task`;
  const uses = readdirSync(tasks).map((thread) => useOfThread(`${tasks}/${thread}`));
  return {
    milliseconds: uses.reduce((sum, use) => sum + use.milliseconds, 0),
    wakeUps: uses.reduce((sum, use) => sum + use.wakeUps, 0),
  };
}

/** What was used between two readings. */
export function usedBetween(before: ProcessorUse, after: ProcessorUse): ProcessorUse {
  return {
    milliseconds: after.milliseconds - before.milliseconds,
    wakeUps: after.wakeUps - before.wakeUps,
  };
}
