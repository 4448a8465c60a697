/**
 * Connections to replicas that ended over a message that the replica couldn't read. One on which nothing else is
 * sent may end so, and its caller says so in its log; any other ends what others wait for.
 */
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

interface LogLine {
  readonly context?: {
    readonly event?: string;
    readonly node?: string;
    readonly member?: string;
  };
}

function linesOf(folder: string, event: string): LogLine[] {
  return readdirSync(folder)
    .flatMap((name) => readFileSync(join(folder, name, 'log'), 'utf8').split('\n'))
    .filter((line) => line.startsWith('{') && line.includes(`"event":"${event}"`))
    .map((line) => JSON.parse(line) as LogLine);
}

function countBy(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
}

/** What the logs of a soak's processes, one folder each, tell of such connections beyond those tried. */
export function endedConnections(folder: string): string[] {
  const ended = linesOf(folder, 'replica.unreadable').map(({ context }) => context?.node ?? '');
  const forms = linesOf(folder, 'replica.forms');
  const tried = countBy(forms.map(({ context }) => context?.member?.split('@')[0] ?? ''));
  return [...countBy(ended)]
    .filter(([node, count]) => count > (tried.get(node) ?? 0))
    .map(([node, count]) => {
      return `upgrade: ${node} ended ${count} connections over a message, ${tried.get(node) ?? 0} were tried`;
    });
}
