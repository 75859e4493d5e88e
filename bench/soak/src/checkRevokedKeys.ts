import {findNewestBefore, listMatching} from './configurationHistory.js';
import type {Finding} from './finding.js';
import {mergeGroups} from './findingGroups.js';
import type {RunHistory} from './runHistory.js';

/**
 * Checks that no call runs that was sent later than the revocation time after a
 * version without its key was acknowledged, at any VM.
 */
export function checkRevokedKeys(history: RunHistory): readonly Finding[] {
  const {configuration, bounds} = history;
  const found = configuration.probes.flatMap(probe => {
    const {target, vm, sentAt, endedAt, attempt} = probe;
    const due = findNewestBefore(configuration, sentAt - bounds.revokeMs);
    const run = probe.handled.find(({outcome}) => outcome.kind === 'run');
    if (target.kind !== 'extraKey' || due === undefined || run === undefined) {
      return [];
    }
    const matching = listMatching(configuration, target, run.outcome, endedAt);
    const best = matching.at(-1)?.version ?? 0;
    if (best >= due.version) {
      return [];
    }
    const afterMs = sentAt - due.acknowledgedAt;
    return [
      {
        group: vm,
        finding: {
          check: 'revokedKeys' as const,
          at: run.at,
          detail: `${attempt} to ${vm} ran with key ${target.index}, sent ${afterMs} ms after version ${due.version} was acknowledged; the last version with it is ${best}`,
          excuse: null,
        },
      },
    ];
  });
  return mergeGroups(found);
}
