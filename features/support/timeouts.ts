/** A step may take long on a busy machine; no scenario asserts speed. */
import { setDefaultTimeout } from '@cucumber/cucumber';

const STEP_MILLISECONDS = 60_000;

setDefaultTimeout(STEP_MILLISECONDS);
