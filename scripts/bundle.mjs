/** Builds what runs on the platform into `target/` or a folder that is named: the program as one file, its compiled code and a small loader. */
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const FOLDER = process.argv[2] ?? 'target';

rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER);
await build({
  entryPoints: ['platform/main.ts'],
  outfile: join(FOLDER, 'program.cjs'),
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // The loader reads one byte a character.
  charset: 'ascii',
  // The parts of a library that nothing uses stay out.
  alias: { 'fp-ts/lib': 'fp-ts/es6', 'io-ts/lib': 'io-ts/es6' },
  mainFields: ['module', 'main'],
  legalComments: 'none',
  logLevel: 'warning',
});
copyFileSync('scripts/loader.cjs', join(FOLDER, 'main.cjs'));
const compiled = spawnSync(process.execPath, ['scripts/compile.cjs', FOLDER], { stdio: 'inherit' });
if (compiled.status !== 0) {
  throw new Error('the program was not compiled');
}
