/** Prepares hashing by a top-level await, for programs that run unbundled and for tests. */
import { prepareHashing } from './hashing.js';

await prepareHashing();
