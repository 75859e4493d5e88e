import type {Finding} from './finding.js';
import {mergeGroups} from './findingGroups.js';
import type {GroupedFinding} from './findingGroups.js';
import {listEvents} from './listEvents.js';
import type {RunTime} from './recordedEvent.js';
import type {RunHistory} from './runHistory.js';

/**
 * Checks that no invalid document is acknowledged, and that neither such a
 * document nor other content under a version held is read back or obeyed.
 */
export function checkRefusedDocuments(history: RunHistory): readonly Finding[] {
  return mergeGroups([
    ...listAcknowledged(history),
    ...listRead(history),
    ...listObeyed(history),
  ]);
}

function listAcknowledged({events}: RunHistory): readonly GroupedFinding[] {
  return listEvents(events, 'orderAcknowledged')
    .filter(({form}) => form === 'invalid')
    .map(({at, vm, version}) =>
      createFinding(
        at,
        `acknowledged ${vm}`,
        `${vm} acknowledged version ${version}, which is invalid`,
      ),
    );
}

function listRead(history: RunHistory): readonly GroupedFinding[] {
  const {configuration, events} = history;
  const digests = new Map(
    configuration.versions.map(({version, digest}) => [version, digest]),
  );
  return listEvents(events, 'configurationRead').flatMap(read => {
    const {at, vm, version, digest, status} = read;
    if (
      status !== 200 ||
      (version !== null && digests.get(version) === digest)
    ) {
      return [];
    }
    const content =
      version === null
        ? 'no document'
        : digests.has(version)
          ? `other content under version ${version}`
          : `version ${version}, which is not valid`;
    return [
      createFinding(at, `read ${vm}`, `${vm} answered a read with ${content}`),
    ];
  });
}

function listObeyed({configuration}: RunHistory): readonly GroupedFinding[] {
  return configuration.probes.flatMap(({target, handled, attempt, vm}) =>
    target.kind !== 'refusedRoute'
      ? []
      : handled
          .filter(({outcome}) => outcome.kind === 'run')
          .map(({at}) =>
            createFinding(
              at,
              `obeyed ${vm}`,
              `${vm} sent ${attempt} on, on a route that only refused documents have`,
            ),
          ),
  );
}

function createFinding(
  at: RunTime,
  group: string,
  detail: string,
): GroupedFinding {
  const check = 'refusedDocuments';
  return {group, finding: {check, at, detail, excuse: null}};
}
