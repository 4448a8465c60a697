/** Scenarios take hashes from their first step on. */
import '../../src/runtime/prepared-hashing.js';
