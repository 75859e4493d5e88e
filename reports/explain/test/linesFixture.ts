import {readLogLines} from '../src/index.js';
import type {LogLine} from '../src/index.js';

/** The time from which the lines of a fixture count. */
export const START = Date.parse('2026-12-04T10:00:00.000Z');

/** A log line by its distance from the start. */
export interface LineFixture {
  readonly atMs: number;
  readonly daemon: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/** Creates the lines of one log file. */
export function createLines(
  fixtures: readonly LineFixture[],
): readonly LogLine[] {
  const text = fixtures
    .map(({atMs, ...fields}) =>
      JSON.stringify({time: new Date(START + atMs).toISOString(), ...fields}),
    )
    .join('\n');
  return readLogLines([text]).lines;
}
