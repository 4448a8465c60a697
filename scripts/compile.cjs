/** Leaves the program's compiled code beside it, in the folder that is named. */
'use strict';
const { writeFileSync } = require('node:fs');
const { resolve } = require('node:path');
const { setFlagsFromString } = require('node:v8');
const { COMPILED, openProgram } = require(resolve(process.argv[2], 'main.cjs'));

// All functions at once; the flag is back before the code is written, which names the flags it holds for.
setFlagsFromString('--no-lazy');
const script = openProgram(undefined);
setFlagsFromString('--lazy');
writeFileSync(COMPILED, script.createCachedData());
