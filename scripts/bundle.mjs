/**
 * Builds what runs on the platform into `target/`: the program as one file, a small loader, and for each line of
 * the deploy file the program's compiled code, which V8 takes only under the very flags it was made with.
 */
import { spawnSync } from 'node:child_process';
import { copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const FOLDER = 'target';
/** `run = "node FLAGS target/main.cjs ROLE"` */
const RUN_LINE = /^run = "node (?<flags>.*?) ?target\/main\.cjs (?<role>\w+)"$/gm;

rmSync(FOLDER, { recursive: true, force: true });
mkdirSync(FOLDER);
await build({
  entryPoints: ['platform/main.ts'],
  outfile: join(FOLDER, 'program.cjs'),
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  legalComments: 'none',
  logLevel: 'warning',
});
copyFileSync('scripts/loader.cjs', join(FOLDER, 'main.cjs'));

const deployed = readFileSync('deploy/system.toml', 'utf8');
const runs = [...deployed.matchAll(RUN_LINE)].map(({ groups }) => ({
  role: groups.role,
  flags: groups.flags.split(' ').filter((flag) => flag !== ''),
}));
for (const { flags } of runs) {
  const made = spawnSync(process.execPath, [...flags, 'scripts/compile.cjs'], { stdio: 'inherit' });
  if (made.status !== 0) {
    throw new Error(`no compiled code for the flags ${flags.join(' ')}`);
  }
}
// What starts the program otherwise, such as a soak, starts it with the same flags.
writeFileSync(join(FOLDER, 'runs.json'), JSON.stringify(runs));
