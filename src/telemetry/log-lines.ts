/** Reads the JSON lines that processes write, wherever they stand in a line of text. */

/** One line of a log. */
export interface LogLine {
  /** Wall time at which it was written, in milliseconds since 1970. */
  readonly time: number;
  readonly node: string;
  readonly event: string;
  readonly message: string;
  /** All fields beside those above. */
  readonly fields: Readonly<Record<string, string | number | boolean | null>>;
}

/** Which lines are wanted; a property that is absent wants all. */
export interface LogFilter {
  readonly request?: string;
  readonly program?: string;
  readonly node?: string;
  readonly event?: string;
}

const STANDARD_FIELDS = new Set(['application', 'node', 'event', 'logLevel', 'zone']);

/** The log line in a line of text; undefined when there is none. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"context"');
  if (start < 0) {
    return undefined;
  }
  try {
    const parsed = JSON.parse(text.slice(start)) as {
      context: Record<string, string | number | boolean | null>;
      message: string;
      time: number;
    };
    const { context, message, time } = parsed;
    const fields = Object.fromEntries(
      Object.entries(context).filter(([name]) => !STANDARD_FIELDS.has(name)),
    );
    const node = String(context['node'] ?? '');
    const event = String(context['event'] ?? '');
    return { time, node, event, message, fields };
  } catch {
    return undefined;
  }
}

/** Whether a line is wanted. */
export function matchesFilter(line: LogLine, filter: LogFilter): boolean {
  const { request, program, node, event } = filter;
  return (
    (request === undefined || line.fields['request'] === request) &&
    (program === undefined || line.fields['program'] === program) &&
    (node === undefined || line.node === node) &&
    (event === undefined || line.event === event)
  );
}

/** A line for people. */
export function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`);
  const time = new Date(line.time).toISOString();
  return `${time} ${line.node} ${line.event} ${line.message} ${fields.join(' ')}`;
}
