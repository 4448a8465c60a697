/**
 * Program names. A sub-agent's name is its parent's name, a slash and a name of its own, so a
 * program and all its descendants hash to one shard and can be limited and ended together.
 */
import type { ProgramId } from '../model/identifiers.js';

/** Stands between a parent's name and its child's. */
export const CHILD_SEPARATOR = '/';

/** The outermost ancestor of a program: itself when it has no parent. */
export function rootOf(program: ProgramId): ProgramId {
  const end = program.indexOf(CHILD_SEPARATOR);
  return end < 0 ? program : program.slice(0, end);
}

/** The parent of a program, or empty. */
export function parentOf(program: ProgramId): ProgramId {
  const end = program.lastIndexOf(CHILD_SEPARATOR);
  return end < 0 ? '' : program.slice(0, end);
}

/** How deep a program is nested; 0 for one without a parent. */
export function depthOf(program: ProgramId): number {
  return program.split(CHILD_SEPARATOR).length - 1;
}

/** True when the program is the ancestor itself or one of its descendants. */
export function isWithin(program: ProgramId, ancestor: ProgramId): boolean {
  return program === ancestor || program.startsWith(ancestor + CHILD_SEPARATOR);
}
