/** Says from log lines alone what became of one request, and which inputs decided it. */
import type { LogLine } from './log-lines.js';

function text(line: LogLine, field: string): string {
  return String(line.fields[field] ?? '');
}

/** One sentence about one line. */
function explainLine(line: LogLine): string {
  const at = `${line.node}:`;
  switch (line.event) {
    case 'relay.refused':
      return `${at} refused at the door with ${text(line, 'status')}, because ${text(line, 'reason')}; configuration version ${text(line, 'version')}, host ${text(line, 'host')}, path ${text(line, 'path')}.`;
    case 'relay.try':
      return `${at} try ${text(line, 'tries')} at runner ${text(line, 'runner')} ended after ${text(line, 'age')} ms as ${text(line, 'tag')} (${text(line, 'detail')}); ${text(line, 'inFlight')} other requests of this gateway were there.`;
    case 'relay.admission':
      return explainAdmission(line, at);
    case 'relay.end':
      return explainEnd(line, at);
    default:
      return `${at} ${line.message}.`;
  }
}

/** What an admission's cause means for its request. */
const ADMISSION_CAUSES: ReadonlyMap<string, string> = new Map([
  ['bearable', 'let in, since its program can bear the wait'],
  ['shown', 'let in, since its program has run before'],
  ['unbearable', 'kept out, since its program cannot bear the wait'],
]);

function explainAdmission(line: LogLine, at: string): string {
  const cause = ADMISSION_CAUSES.get(text(line, 'cause')) ?? text(line, 'cause');
  const wait = `${text(line, 'wait')} ms a turn expected, ${text(line, 'bearable')} bearable with ${text(line, 'left')} ms left for ${text(line, 'turns')} turns`;
  const load = `${text(line, 'ahead')} requests go before it at ${text(line, 'slots')} places, ${text(line, 'moreUrgent')} of them more urgent, by loads ${text(line, 'age')} ms old`;
  return `${at} ${cause}: ${wait}; ${load}; pause told ${text(line, 'pause')} ms.`;
}

function explainEnd(line: LogLine, at: string): string {
  const spent = `after ${text(line, 'total')} ms (${text(line, 'beforeDispatch')} ms before the first try, first byte at ${text(line, 'firstByte')} ms, ${text(line, 'events')} events, ${text(line, 'tries')} tries), configuration version ${text(line, 'version')}`;
  switch (text(line, 'outcome')) {
    case 'answered':
      return `${at} answered with ${text(line, 'status')} by runner ${text(line, 'runner')} ${spent}.`;
    case 'refused':
      return `${at} refused with ${text(line, 'status')} (${text(line, 'verdict')}) ${spent}, because ${text(line, 'reason')}.`;
    case 'left':
      return `${at} its client left ${spent}.`;
    default:
      return `${at} broken off ${spent}, because ${text(line, 'reason')}.`;
  }
}

/** Lines that bear on runners of the request's tries: what the node believed of them. */
function beliefsAbout(lines: readonly LogLine[], request: readonly LogLine[]): LogLine[] {
  const runners = new Set(request.map((line) => text(line, 'runner')).filter((id) => id !== ''));
  const last = Math.max(...request.map((line) => line.time));
  return lines.filter(
    (line) =>
      line.event.startsWith('runner.') &&
      runners.has(text(line, 'runner')) &&
      request.some((own) => own.node === line.node) &&
      line.time <= last,
  );
}

/** Sentences in order of time; empty when no line names the request. */
export function explainRequest(lines: readonly LogLine[], id: string): string[] {
  const own = lines.filter((line) => line.fields['request'] === id);
  if (own.length === 0) {
    return [];
  }
  const all = [...own, ...beliefsAbout(lines, own)];
  all.sort((left, right) => left.time - right.time);
  return all.map((line) => {
    const runner = line.event.startsWith('runner.') ? ` (runner ${text(line, 'runner')})` : '';
    return `${new Date(line.time).toISOString()} ${explainLine(line)}${runner}`;
  });
}
