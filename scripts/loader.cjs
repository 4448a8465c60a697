/**
 * Runs the program from its compiled code, where the build left some for these flags; otherwise from its text. The
 * whole of it is compiled at the build, so that neither a start nor the first requests wait for the compiler.
 */
'use strict';
const { existsSync, readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

/** Path of the compiled code for a process's flags. */
function compiledPath(flags) {
  return join(__dirname, `program${flags.join('')}.compiled`);
}

/** The program as a function of what a module is given. */
function openProgram(cachedData) {
  const path = join(__dirname, 'program.cjs');
  const text = readFileSync(path, 'latin1');
  const wrapped = `(function(exports,require,module,__filename,__dirname){${text}\n})`;
  return new Script(wrapped, { filename: path, cachedData });
}

module.exports = { compiledPath, openProgram };

if (require.main === module) {
  const path = compiledPath(process.execArgv);
  const script = openProgram(existsSync(path) ? readFileSync(path) : undefined);
  if (script.cachedDataRejected) {
    process.stderr.write('ivyloom: the compiled code was made by another build of node\n');
  }
  script.runInThisContext()(exports, require, module, __filename, __dirname);
}
