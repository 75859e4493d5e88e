/** Parses the lines of the daemons' logs. */
import * as z from 'zod';

const lineSchema = z.looseObject({
  time: z.iso.datetime(),
  daemon: z.string(),
  event: z.string(),
});

/** One line of a daemon's log. */
export interface LogLine {
  readonly at: Date;
  readonly daemon: string;
  readonly event: string;
  /** All other fields of the line, by name. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines of all logs, ordered by time. */
export interface LogLines {
  readonly lines: readonly LogLine[];
  /** Number of lines that are not log lines of a daemon. */
  readonly unreadable: number;
}

/**
 * Parses the texts of log files. Text before the JSON of a line, such as the
 * prefix of a log collector, is ignored.
 */
export function readLogLines(texts: readonly string[]): LogLines {
  const textLines = texts
    .flatMap(text => text.split('\n'))
    .filter(line => line.trim() !== '');
  const lines = textLines.flatMap(line => readLine(line));
  return {
    lines: lines.sort((left, right) => left.at.getTime() - right.at.getTime()),
    unreadable: textLines.length - lines.length,
  };
}

function readLine(text: string): readonly LogLine[] {
  const result = lineSchema.safeParse(readJson(text));
  if (!result.success) {
    return [];
  }
  const {time, daemon, event, ...fields} = result.data;
  return [{at: new Date(time), daemon, event, fields}];
}

function readJson(text: string): unknown {
  const from = text.indexOf('{');
  try {
    return JSON.parse(from < 0 ? text : text.slice(from));
  } catch (error) {
    if (error instanceof SyntaxError) {
      return undefined;
    }
    throw error;
  }
}

/** Reads a text field; `undefined` if the line has no such text. */
export function readText(line: LogLine, name: string): string | undefined {
  const value = line.fields[name];
  return typeof value === 'string' ? value : undefined;
}

/** Reads a number field; `undefined` if the line has no such number. */
export function readNumber(line: LogLine, name: string): number | undefined {
  const value = line.fields[name];
  return typeof value === 'number' ? value : undefined;
}

/** Reads a list of texts; empty if the line has no such list. */
export function readTexts(line: LogLine, name: string): readonly string[] {
  const value = line.fields[name];
  return Array.isArray(value) ? value.map(String) : [];
}
