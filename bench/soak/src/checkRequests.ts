import {isRepeatable} from '@gentianshunt/platformWorker';

import type {Finding} from './finding.js';
import type {RequestHistory, RunHistory} from './runHistory.js';

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Checks that requests that may not be repeated run at most once. */
export function checkRunOnce({requests}: RunHistory): readonly Finding[] {
  return listUnrepeatable(requests)
    .filter(({runs}) => runs.length > 1)
    .map(({request, runs}) => ({
      check: 'runOnce',
      at: runs[1]!.startedAt,
      detail: `${request.attempt} (${request.kind}, taken by ${request.vm}) ran ${runs.length} times, at ${runs.map(({endpoint}) => endpoint).join(' and ')}`,
      excuse: null,
    }));
}

/** Checks that requests refused as not run did not run. */
export function checkRefusals({requests}: RunHistory): readonly Finding[] {
  return listUnrepeatable(requests).flatMap(history => {
    const {request, runs, ended} = history;
    const result = ended?.result;
    if (
      result?.kind !== 'whole' ||
      !NOT_RUN_STATUSES.includes(result.status) ||
      runs.length === 0
    ) {
      return [];
    }
    return [
      {
        check: 'refusals',
        at: ended!.at,
        detail: `${request.attempt} (${request.kind}, taken by ${request.vm}) was answered ${result.status} and ran at ${runs[0]!.endpoint}`,
        excuse: null,
      },
    ];
  });
}

/** Checks that successful answers are whole and those of their requests. */
export function checkAnswers({requests}: RunHistory): readonly Finding[] {
  return Array.from(requests.values()).flatMap(({request, ended}) => {
    const result = ended?.result;
    return result?.kind === 'whole' && result.defect !== undefined
      ? [
          {
            check: 'answers',
            at: ended!.at,
            detail: `the answer to ${request.attempt} (${request.kind}, from ${request.vm}): ${result.defect}`,
            excuse: null,
          },
        ]
      : [];
  });
}

/** Checks that endpoints run requests with the bodies that callers sent. */
export function checkBodies({requests}: RunHistory): readonly Finding[] {
  return Array.from(requests.values()).flatMap(({request, runs}) =>
    runs
      .filter(({isIntact}) => !isIntact)
      .map(({startedAt, endpoint}) => ({
        check: 'bodies',
        at: startedAt,
        detail: `${endpoint} runs ${request.attempt} (from ${request.vm}) with another body`,
        excuse: null,
      })),
  );
}

function listUnrepeatable(
  requests: RunHistory['requests'],
): readonly RequestHistory[] {
  return Array.from(requests.values()).filter(
    ({request}) => !isRepeatable(request.kind),
  );
}
