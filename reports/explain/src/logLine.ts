/** Lines of the daemons' logs. */
import {z} from 'zod';

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
  /** Everything else that the line says, by name. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The lines of some logs, in the order of their times. */
export interface LogLines {
  readonly lines: readonly LogLine[];
  /** Lines that are no log lines of a daemon. */
  readonly unreadable: number;
}

/**
 * Reads the text of logs. What stands before the JSON of a line, such as the
 * mark of a log collector, is passed over.
 */
export function readLogLines(texts: readonly string[]): LogLines {
  const written = texts
    .flatMap(text => text.split('\n'))
    .filter(line => line.trim() !== '');
  const lines = written.flatMap(line => readLine(line));
  return {
    lines: lines.sort((left, right) => left.at.getTime() - right.at.getTime()),
    unreadable: written.length - lines.length,
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

/** Reads a text of a line; `undefined` where there is none of the name. */
export function readText(line: LogLine, name: string): string | undefined {
  const value = line.fields[name];
  return typeof value === 'string' ? value : undefined;
}

/** Reads a number of a line; `undefined` where there is none of the name. */
export function readNumber(line: LogLine, name: string): number | undefined {
  const value = line.fields[name];
  return typeof value === 'number' ? value : undefined;
}
