/** Finds in log lines what the control group was like at a time. */
import type {Milliseconds} from '@gentianshunt/clock';

import {readNumber, readText, readTexts} from './logLine.js';
import type {LogLine} from './logLine.js';

/** Lines that repeat a state are written within this time of each other. */
const REPEAT_MS: Milliseconds = 2_500;

/** How many voters of the group hold its log. */
export interface GroupState {
  readonly copies: number;
  readonly voters: number;
}

/** A leader that may not answer entries. */
export interface UnconfirmedLeader {
  readonly daemon: string;
  readonly reason: string;
  readonly unconfirmedMs: Milliseconds;
  /** Nodes of the voters that do not answer it. */
  readonly silent: readonly string[];
}

/** Finds a leader that was not confirmed at a time. */
export function findUnconfirmedLeader(
  lines: readonly LogLine[],
  at: Date,
): UnconfirmedLeader | undefined {
  const line = lines
    .filter(({event}) => event === 'leaderUnconfirmed')
    .filter(candidate => isInForce(candidate, lines, at, 'leaderConfirmed'))
    .at(-1);
  return line === undefined
    ? undefined
    : {
        daemon: line.daemon,
        reason: readText(line, 'reason') ?? 'unknown',
        unconfirmedMs: readNumber(line, 'unconfirmedMs') ?? 0,
        silent: readTexts(line, 'silent'),
      };
}

/** Finds how many copies the group had at a time, if the logs show it. */
export function findGroupState(
  lines: readonly LogLine[],
  at: Date,
): GroupState | undefined {
  return findLeaderlessState(lines, at) ?? findLedState(lines, at);
}

/** Counts the voters among the members that know no leader. */
function findLeaderlessState(
  lines: readonly LogLine[],
  at: Date,
): GroupState | undefined {
  const latest = new Map(
    lines
      .filter(line => line.event === 'leaderMissing' && isNear(line, at))
      .map(line => [line.daemon, line]),
  );
  const members = [...latest.values()];
  const voters = Math.max(
    0,
    ...members.map(line => readTexts(line, 'voters').length),
  );
  const copies = members.filter(({fields}) => fields['isVoter'] === true);
  return voters === 0 ? undefined : {copies: copies.length, voters};
}

function findLedState(
  lines: readonly LogLine[],
  at: Date,
): GroupState | undefined {
  const line = lines
    .filter(({event}) => event === 'copiesMissing')
    .filter(candidate => isInForce(candidate, lines, at, 'copiesComplete'))
    .at(-1);
  return (
    line && {
      copies: readNumber(line, 'copies') ?? 0,
      voters: readNumber(line, 'voters') ?? 0,
    }
  );
}

/** Returns whether the state of a line held at a time and was not ended. */
function isInForce(
  line: LogLine,
  lines: readonly LogLine[],
  at: Date,
  endEvent: string,
): boolean {
  const isEnded = lines.some(
    end =>
      end.event === endEvent &&
      end.daemon === line.daemon &&
      end.at >= line.at &&
      end.at <= at,
  );
  return isNear(line, at) && !isEnded;
}

function isNear(line: LogLine, at: Date): boolean {
  return Math.abs(line.at.getTime() - at.getTime()) <= REPEAT_MS;
}
