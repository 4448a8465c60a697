/** Preloaded into replicas of the soak: records their disk operations for simulated power losses. */
import { recordFolder } from './power-loss-recorder.js';

const { IVYLOOM_SOAK_DISK: root, IVYLOOM_SOAK_LEDGER: ledger } = process.env;
if (root === undefined || ledger === undefined) {
  throw new Error('IVYLOOM_SOAK_DISK and IVYLOOM_SOAK_LEDGER must be set');
}
recordFolder({ root, ledger });
