/** Volatile replica storage for stand-ins and tests. */
import type { Runtime } from '../runtime/runtime.js';
import type { StorageChange, TurnStorage } from './turn-storage.js';

/** Acknowledges writes without persisting them. */
export class MemoryTurnStorage implements TurnStorage {
  constructor(private readonly runtime: Runtime) {}

  write(_changes: readonly StorageChange[], done: (durable: boolean) => void): void {
    this.runtime.setTimer(0, () => done(true));
  }
}
