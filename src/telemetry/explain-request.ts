/** Explains from log lines how one request was handled and which inputs decided it. */
import type { LogLine } from './log-lines.js';

function fieldText(line: LogLine, field: string): string {
  return String(line.fields[field] ?? '');
}

/** Describes one log line in a sentence. */
function explainLine(line: LogLine): string {
  const at = `${line.node}:`;
  switch (line.event) {
    case 'relay.refused':
      return `${at} refused at the door with ${fieldText(line, 'status')}, because ${fieldText(line, 'reason')}; configuration version ${fieldText(line, 'version')}, host ${fieldText(line, 'host')}, path ${fieldText(line, 'path')}.`;
    case 'relay.try':
      return `${at} try ${fieldText(line, 'tries')} at runner ${fieldText(line, 'runner')} ended after ${fieldText(line, 'age')} ms as ${fieldText(line, 'tag')} (${fieldText(line, 'detail')}${deliveryText(line)}); ${fieldText(line, 'inFlight')} other requests of this gateway were there.`;
    case 'runner.ended':
      return explainRunnerEnd(line, at);
    case 'relay.resume':
      return explainResumption(line, at);
    case 'relay.admission':
      return explainAdmission(line, at);
    case 'relay.quota':
      return explainQuota(line, at);
    case 'relay.end':
      return explainEnd(line, at);
    default:
      return `${at} ${line.message}.`;
  }
}

/** Descriptions of the causes of an admission decision, by the value of the field `cause`. */
const ADMISSION_CAUSES: ReadonlyMap<string, string> = new Map([
  ['bearable', 'let in, since its program can bear the wait'],
  ['shown', 'let in, since its program has run before'],
  ['unbearable', 'kept out, since its program cannot bear the wait'],
]);

function explainAdmission(line: LogLine, at: string): string {
  const cause = ADMISSION_CAUSES.get(fieldText(line, 'cause')) ?? fieldText(line, 'cause');
  const wait = `${fieldText(line, 'wait')} ms a turn expected, ${fieldText(line, 'bearable')} bearable with ${fieldText(line, 'left')} ms left for ${fieldText(line, 'turns')} turns`;
  const load = `${fieldText(line, 'ahead')} requests go before it at ${fieldText(line, 'slots')} places, ${fieldText(line, 'moreUrgent')} of them more urgent, by loads ${fieldText(line, 'age')} ms old`;
  return `${at} ${cause}: ${wait}; ${load}; pause told ${fieldText(line, 'pause')} ms.`;
}

/** Descriptions of the reasons of a quota decision, by the value of the field `reason`. */
const QUOTA_REASON_TEXTS: ReadonlyMap<string, string> = new Map([
  ['fits', 'its program started, since the quota has room for all of it'],
  ['noRoom', 'its program was refused, since the quota has no room for all of it'],
  ['exhausted', 'refused as a part of a program in progress, since the quota was exhausted'],
  ['lent', 'refused, since the members that answered had lent their shares of the quota'],
  ['unreachable', 'refused, since no member answered about the quota'],
]);

function explainQuota(line: LogLine, at: string): string {
  const reason = QUOTA_REASON_TEXTS.get(fieldText(line, 'reason')) ?? fieldText(line, 'reason');
  const inputs = `${fieldText(line, 'tokens')} requests of tenant ${fieldText(line, 'tenant')} could run at once, programs in progress still needed ${fieldText(line, 'reserved')}, this program ${fieldText(line, 'needed')}`;
  const member = `member ${fieldText(line, 'member')} held ${fieldText(line, 'share')} of the quota`;
  return `${at} ${reason}: ${inputs}; ${member}; pause told ${fieldText(line, 'pause')} ms.`;
}

function explainResumption(line: LogLine, at: string): string {
  const began =
    fieldText(line, 'version') === 'unknown'
      ? 'an unknown version'
      : `version "${fieldText(line, 'beganAt')}"`;
  const stream = fieldText(line, 'resumes');
  const which = stream === '' ? 'the stream' : `the stream of request ${stream}`;
  return `${at} resumed ${which} after event ${fieldText(line, 'lastEvent')} at runner ${fieldText(line, 'runner')} of software version "${fieldText(line, 'runnerVersion')}"; it began at ${began}.`;
}

/** Describes how an answer was delimited and how its connection ended; empty if no head arrived. */
function deliveryText(line: LogLine): string {
  const framing = fieldText(line, 'framing');
  return framing === ''
    ? ''
    : `, answer framed by ${framing}, connection ${fieldText(line, 'ending')}`;
}

function explainEnd(line: LogLine, at: string): string {
  const spent = `after ${fieldText(line, 'total')} ms (${fieldText(line, 'beforeDispatch')} ms before the first try, first byte at ${fieldText(line, 'firstByte')} ms, ${fieldText(line, 'events')} events, ${fieldText(line, 'tries')} tries), configuration version ${fieldText(line, 'version')}`;
  const rule = fieldText(line, 'excludedBy');
  const excluded = rule === '' ? '' : `; the rule ${rule} excluded other runners`;
  switch (fieldText(line, 'outcome')) {
    case 'answered':
      return `${at} answered with ${fieldText(line, 'status')} by runner ${fieldText(line, 'runner')} ${spent}${deliveryText(line)}${excluded}.`;
    case 'refused':
      return `${at} refused with ${fieldText(line, 'status')} (${fieldText(line, 'verdict')}) ${spent}, because ${fieldText(line, 'reason')}.`;
    case 'left':
      return `${at} its client left ${spent}.`;
    default:
      return `${at} broken off ${spent}, because ${fieldText(line, 'reason')}.`;
  }
}

/** Descriptions of what shows that a runner has ended, by the value of the field `evidence`. */
const END_TEXTS: ReadonlyMap<string, string> = new Map([
  ['refused', 'its address refuses connections'],
  ['replaced', 'another runner is listed at its address, or it was started again'],
  ['misdirected', 'another runner answers at its address'],
  ['unreachable', 'it sends nothing and takes no connection'],
  ['unlisted', 'its entry went while requests waited for it in silence'],
]);

function explainRunnerEnd(line: LogLine, at: string): string {
  const evidence = END_TEXTS.get(fieldText(line, 'evidence')) ?? fieldText(line, 'evidence');
  const announced = line.fields['announced'] === true ? ', as its entry had announced' : '';
  const requests = `${fieldText(line, 'requests')} requests of this gateway were there`;
  return `${at} runner ended (${fieldText(line, 'surety')}: ${evidence})${announced}; ${requests}: ${fieldText(line, 'under')}.`;
}

/** Lines about the health of the runners that the request was sent to, from the nodes that handled it. */
function runnerLinesOf(lines: readonly LogLine[], requestLines: readonly LogLine[]): LogLine[] {
  const runners = new Set(
    requestLines.map((line) => fieldText(line, 'runner')).filter((id) => id !== ''),
  );
  const last = Math.max(...requestLines.map((line) => line.time));
  return lines.filter(
    (line) =>
      line.event.startsWith('runner.') &&
      runners.has(fieldText(line, 'runner')) &&
      requestLines.some((requestLine) => requestLine.node === line.node) &&
      line.time <= last,
  );
}

/** One sentence for each line about a request, by time; empty when no line names the request. */
export function explainRequest(lines: readonly LogLine[], id: string): string[] {
  const requestLines = lines.filter((line) => line.fields['request'] === id);
  if (requestLines.length === 0) {
    return [];
  }
  const all = [...requestLines, ...runnerLinesOf(lines, requestLines)];
  all.sort((left, right) => left.time - right.time);
  return all.map((line) => {
    const runner = line.event.startsWith('runner.') ? ` (runner ${fieldText(line, 'runner')})` : '';
    return `${new Date(line.time).toISOString()} ${explainLine(line)}${runner}`;
  });
}
