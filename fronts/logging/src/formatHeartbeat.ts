import type {HeartbeatAnswer, HeartbeatSummary} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';

/**
 * Formats a heartbeat as words: the daemon that was asked, the age of the
 * heartbeat in milliseconds, the kind of answer, after how many milliseconds it
 * came and the leader that it names, such as `control-1 420 notLeader 3 control-0`.
 */
export function formatHeartbeat({to, ageMs, answer}: HeartbeatSummary): string {
  return [to, Math.round(ageMs), ...listAnswerWords(answer)].join(' ');
}

function listAnswerWords(answer: HeartbeatAnswer): readonly string[] {
  switch (answer.kind) {
    case 'none':
      return [answer.kind];
    case 'renewed':
    case 'unused':
      return [answer.kind, String(Math.round(answer.afterMs))];
    case 'notLeader': {
      const {kind, afterMs, leader} = answer;
      const named = leader === null ? [] : [leader];
      return [kind, String(Math.round(afterMs)), ...named];
    }
    default:
      return assertNever(answer, 'listAnswerWords');
  }
}
