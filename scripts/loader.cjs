/**
 * Runs the program from code that was compiled at the build, all functions of it, so that neither a start nor the
 * first requests wait for the compiler.
 */
'use strict';

// Without a listener these signals end the process. The program adds its listeners before any signal is delivered: that takes
// a turn of the event loop.
if (require.main === module) {
  process.on('SIGHUP', () => undefined);
  process.on('SIGTERM', () => undefined);
}

const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { setFlagsFromString } = require('node:v8');
const { Script } = require('node:vm');

const COMPILED = join(__dirname, 'program.compiled');

/**
 * V8 takes compiled code only under the flags that it was made with, be it the program's or that of Node's own
 * modules. The sizes of the heap count among them, and are of no further use once the heap is there.
 */
function takeBackHeapFlags() {
  setFlagsFromString('--max-old-space-size=0');
  setFlagsFromString('--max-semi-space-size=0');
}

/** Bytecode that a function runs before it is optimised, four times V8's own: most are run some hundred times only. */
const OPTIMISING_BUDGET = 270_000;
/** Time in which a process loads what it needs of Node: later on the flag costs no compiled code, in milliseconds. */
const START_MILLISECONDS = 1_000;

function optimiseLater() {
  setTimeout(
    () => setFlagsFromString(`--interrupt-budget=${OPTIMISING_BUDGET}`),
    START_MILLISECONDS,
  ).unref();
}

/** The program as a function of what a module is given. */
function openProgram(cachedData) {
  const path = join(__dirname, 'program.cjs');
  const text = readFileSync(path, 'latin1');
  const wrapped = `(function(exports,require,module,__filename,__dirname){${text}\n})`;
  return new Script(wrapped, { filename: path, cachedData });
}

module.exports = { COMPILED, openProgram };

if (require.main === module) {
  takeBackHeapFlags();
  const script = openProgram(existsSync(COMPILED) ? readFileSync(COMPILED) : undefined);
  if (script.cachedDataRejected) {
    process.stderr.write('ivyloom: the compiled code is of another build of node\n');
  }
  optimiseLater();
  script.runInThisContext()(exports, require, module, __filename, __dirname);
}
