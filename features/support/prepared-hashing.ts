/** Initializes hashing before the first step of a scenario uses it. */
import '../../src/runtime/prepared-hashing.js';
