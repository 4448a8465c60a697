/** Sets the default step timeout; generous, since steps may be slow on a busy machine. */
import { setDefaultTimeout } from '@cucumber/cucumber';

const STEP_MILLISECONDS = 60_000;

setDefaultTimeout(STEP_MILLISECONDS);
