/** Parses the JSON log lines of the processes, also when other text precedes the JSON. */

/** One parsed log line. */
export interface LogLine {
  /** Wall time, in milliseconds since 1970. */
  readonly time: number;
  readonly node: string;
  readonly event: string;
  readonly message: string;
  /** The context without the standard fields (application, node, zone, event, log level). */
  readonly fields: Readonly<Record<string, string | number | boolean | null>>;
}

/** Selects lines whose fields equal all given values. */
export interface LogFilter {
  readonly request?: string;
  readonly program?: string;
  readonly node?: string;
  readonly event?: string;
}

const STANDARD_FIELDS = new Set(['application', 'node', 'event', 'logLevel', 'zone']);

/** Parses the log line in a line of text; undefined when the text holds none. */
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

/** Whether a line matches a filter. */
export function matchesFilter(line: LogLine, filter: LogFilter): boolean {
  const { request, program, node, event } = filter;
  return (
    (request === undefined || line.fields['request'] === request) &&
    (program === undefined || line.fields['program'] === program) &&
    (node === undefined || line.node === node) &&
    (event === undefined || line.event === event)
  );
}

/** Formats a line as `TIME NODE EVENT MESSAGE NAME=VALUE …`. */
export function formatLogLine(line: LogLine): string {
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`);
  const time = new Date(line.time).toISOString();
  return `${time} ${line.node} ${line.event} ${line.message} ${fields.join(' ')}`;
}
