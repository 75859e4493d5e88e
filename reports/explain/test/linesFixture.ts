import {readLogLines} from '../src/index.js';
import type {LogLine} from '../src/index.js';

/** The time from which the lines of a fixture count. */
export const START = Date.parse('2026-12-04T10:00:00.000Z');

/** A log line by its distance from the start; of one entry if not named. */
export interface LineFixture {
  readonly atMs: number;
  readonly daemon?: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Creates the text of one log file. */
export function createText(fixtures: readonly LineFixture[]): string {
  return fixtures
    .map(({atMs, ...fields}) =>
      JSON.stringify({
        level: 'info',
        time: new Date(START + atMs).toISOString(),
        daemon: 'front-a',
        ...fields,
      }),
    )
    .join('\n');
}

/** Creates the lines of one log file. */
export function createLines(
  fixtures: readonly LineFixture[],
): readonly LogLine[] {
  return readLogLines([createText(fixtures)]).lines;
}
