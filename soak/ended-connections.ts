/**
 * Finds connections that a replica closed because it couldn't read a message. A connection opened only to probe
 * the peer's protocol may end so, and its caller logs the probe; the end of any other connection also fails the
 * requests of others that are pending on it.
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

function readEvents(folder: string, event: string): LogLine[] {
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

/**
 * Reads the process logs, one subfolder each, and returns a violation for every replica that closed more
 * connections than were probes.
 */
export function endedConnections(folder: string): string[] {
  const closedBy = readEvents(folder, 'replica.unreadable').map(
    ({ context }) => context?.node ?? '',
  );
  const probes = readEvents(folder, 'replica.forms');
  const probeCounts = countBy(probes.map(({ context }) => context?.member?.split('@')[0] ?? ''));
  return [...countBy(closedBy)]
    .filter(([node, count]) => count > (probeCounts.get(node) ?? 0))
    .map(([node, count]) => {
      return `upgrade: ${node} closed ${count} connections over unreadable messages, ${probeCounts.get(node) ?? 0} of them probes`;
    });
}
