/** Builds the platform's program of a given commit of this repository in a temporary folder. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdtempSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** Thrown when a commit is not in this clone or can't be built. */
export class BuildError extends Error {}

/** Largest archive of a commit's files, in bytes. */
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

/** Resolves a commit name to its full hash. Throws `BuildError` when the clone doesn't contain the commit. */
function resolveCommit(name: string): string {
  const words = ['rev-parse', '--verify', '--quiet', `${name}^{commit}`];
  try {
    return execFileSync('git', words, {
      encoding: 'utf8',
      stdio: ['ignore', 'pipe', 'ignore'],
    }).trim();
  } catch {
    throw new BuildError(`commit ${name} not found in this clone; it may be a shallow clone`);
  }
}

/** Returns the path of the program in a build folder: main.cjs, or main.mjs of older builds. */
export function programIn(folder: string): string {
  const path = resolve(folder, 'main.cjs');
  return existsSync(path) ? path : resolve(folder, 'main.mjs');
}

/** Builds a commit with the installed packages and returns the path of its program. Throws `BuildError`. */
export function buildProgram(name: string): string {
  const commit = resolveCommit(name);
  const folder = mkdtempSync(join(tmpdir(), `ivyloom-build-${commit.slice(0, 8)}-`));
  const archive = execFileSync('git', ['archive', '--format=tar', commit], {
    maxBuffer: MAXIMUM_ARCHIVE_BYTES,
  });
  execFileSync('tar', ['-x', '-C', folder], { input: archive });
  symlinkSync(resolve('node_modules'), join(folder, 'node_modules'));
  run(`building ${name}`, 'npm', ['run', '--silent', 'bundle'], folder);
  return programIn(join(folder, 'target'));
}
