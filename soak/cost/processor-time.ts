/** Reads the processor time and wake-ups of a process from the kernel's counters of its threads in /proc. */
import { readdirSync, readFileSync } from 'node:fs';

/** Processor use of a process since its start. */
export interface ProcessorUse {
  /** Processor time of all live threads, in milliseconds. */
  readonly milliseconds: number;
  /** Voluntary context switches of all live threads. */
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

/** Reads the processor use of a process. Throws if the process does not exist. */
export function processorUse(processId: number): ProcessorUse {
  const tasks = `/proc/${processId}/task`;
  const uses = readdirSync(tasks).map((thread) => useOfThread(`${tasks}/${thread}`));
  return {
    milliseconds: uses.reduce((sum, use) => sum + use.milliseconds, 0),
    wakeUps: uses.reduce((sum, use) => sum + use.wakeUps, 0),
  };
}

/** Returns the difference between two readings. */
export function usedBetween(before: ProcessorUse, after: ProcessorUse): ProcessorUse {
  return {
    milliseconds: after.milliseconds - before.milliseconds,
    wakeUps: after.wakeUps - before.wakeUps,
  };
}
