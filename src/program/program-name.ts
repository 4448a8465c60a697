/**
 * Hierarchical program names. A sub-agent's name is its parent's name, a slash and its own name.
 * Sharding uses the name's root, so a program and its descendants are on one shard and can be
 * limited and ended together.
 */
import type { ProgramId } from '../model/identifiers.js';

/** Separates a parent's name from its child's. */
export const CHILD_SEPARATOR = '/';

/** Returns the outermost ancestor of a program; the program itself if it has no parent. */
export function rootOf(program: ProgramId): ProgramId {
  const end = program.indexOf(CHILD_SEPARATOR);
  return end < 0 ? program : program.slice(0, end);
}

/** Returns the parent of a program, or an empty string. */
export function parentOf(program: ProgramId): ProgramId {
  const end = program.lastIndexOf(CHILD_SEPARATOR);
  return end < 0 ? '' : program.slice(0, end);
}

/** Returns the nesting depth of a program; 0 if it has no parent. */
export function depthOf(program: ProgramId): number {
  return program.split(CHILD_SEPARATOR).length - 1;
}

/** True if the program is the ancestor itself or one of its descendants. */
export function isWithin(program: ProgramId, ancestor: ProgramId): boolean {
  return program === ancestor || program.startsWith(ancestor + CHILD_SEPARATOR);
}
