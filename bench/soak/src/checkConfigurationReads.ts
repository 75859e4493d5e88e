import {findNewestBefore} from './configurationHistory.js';
import type {Finding} from './finding.js';
import {mergeGroups} from './findingGroups.js';
import {listEvents} from './listEvents.js';
import type {RunHistory} from './runHistory.js';

/**
 * Checks that no VM, in touch or not, answers a read that was sent later than
 * the apply time after an acknowledgement with an older version.
 */
export function checkConfigurationReads(
  history: RunHistory,
): readonly Finding[] {
  const {configuration, bounds, events} = history;
  const found = listEvents(events, 'configurationRead').flatMap(read => {
    const {vm, version, sentAt} = read;
    const due = findNewestBefore(configuration, sentAt - bounds.configApplyMs);
    if (due === undefined || version === null || version >= due.version) {
      return [];
    }
    const afterMs = sentAt - due.acknowledgedAt;
    return [
      {
        group: vm,
        finding: {
          check: 'configurationReads' as const,
          at: sentAt,
          detail: `${vm} answered a read with version ${version}, ${afterMs} ms after version ${due.version} was acknowledged`,
          excuse: null,
        },
      },
    ];
  });
  return mergeGroups(found);
}
