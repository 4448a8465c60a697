/** The platform's program as a commit of this repository's history has it, built into a folder of its own. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdtempSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** A commit that this repository doesn't hold, or that can't be built. */
export class BuildError extends Error {}

/** Longest listing of a commit's files, in bytes. */
const MAXIMUM_ARCHIVE_BYTES = 256 * 1024 * 1024;

function run(step: string, program: string, words: readonly string[], folder: string): void {
  try {
    execFileSync(program, words, { cwd: folder, stdio: ['ignore', 'ignore', 'pipe'] });
  } catch (cause) {
    throw new BuildError(
      `${step} failed: ${cause instanceof Error ? cause.message : String(cause)}`,
    );
  }
}

/** The whole name of a commit. Throws where the history that is at hand doesn't reach so far. */
function commitNamed(name: string): string {
  const words = ['rev-parse', '--verify', '--quiet', `${name}^{commit}`];
  try {
    return execFileSync('git', words, {
      encoding: 'utf8',
      stdio: ['ignore', 'pipe', 'ignore'],
    }).trim();
  } catch {
    throw new BuildError(`no commit ${name} in this clone; is it a shallow one?`);
  }
}

/** The program of a folder that a build left; earlier builds left a module. */
export function programIn(folder: string): string {
  const path = resolve(folder, 'main.cjs');
  return existsSync(path) ? path : resolve(folder, 'main.mjs');
}

/** Builds a commit with the packages that stand here; the path of its program. Throws `BuildError`. */
export function buildProgram(name: string): string {
  const commit = commitNamed(name);
  const folder = mkdtempSync(join(tmpdir(), `ivyloom-build-${commit.slice(0, 8)}-`));
  const archive = execFileSync('git', ['archive', '--format=tar', commit], {
    maxBuffer: MAXIMUM_ARCHIVE_BYTES,
  });
  execFileSync('tar', ['-x', '-C', folder], { input: archive });
  symlinkSync(resolve('node_modules'), join(folder, 'node_modules'));
  run(`building ${name}`, 'npm', ['run', '--silent', 'bundle'], folder);
  return programIn(join(folder, 'target'));
}
