/** Reads the heartbeats that an entry lists in its log lines. */
import type {Milliseconds} from '@gentianshunt/clock';

import type {LogLine} from './logLine.js';

/** A heartbeat with what came back, as an entry logged it. */
export interface LoggedHeartbeat {
  /** Node of the control daemon. */
  readonly to: string;
  readonly ageMs: Milliseconds;
  /** Kind of the answer; `none` if there was none. */
  readonly answer: string;
  /** Time until the answer came; `null` if there was none. */
  readonly afterMs: Milliseconds | null;
  /** The leader that the answer names. */
  readonly leader: string | null;
}

/** Reads the heartbeats of a line, oldest first. */
export function readHeartbeats(line: LogLine): readonly LoggedHeartbeat[] {
  const texts = line.fields['heartbeats'];
  return Array.isArray(texts) ? texts.map(text => parse(String(text))) : [];
}

function parse(text: string): LoggedHeartbeat {
  const [to = '', age = '', answer = 'none', after, leader] = text.split(' ');
  return {
    to,
    ageMs: Number(age),
    answer,
    afterMs: after === undefined ? null : Number(after),
    leader: leader ?? null,
  };
}
