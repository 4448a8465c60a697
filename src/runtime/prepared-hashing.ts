/** Hashes can be taken once this module is loaded: for programs that run unbundled, and for tests. */
import { prepareHashing } from './hashing.js';

await prepareHashing();
