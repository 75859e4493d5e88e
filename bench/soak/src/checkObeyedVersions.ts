import {findNewestBefore, listMatching} from './configurationHistory.js';
import type {
  AcknowledgedVersion,
  HandledProbe,
  ProbeHistory,
} from './configurationHistory.js';
import {describeHandling} from './describeHandling.js';
import type {Finding} from './finding.js';
import {mergeGroups} from './findingGroups.js';
import type {GroupedFinding} from './findingGroups.js';
import {isInTouch, isInTouchOfMajority} from './inTouch.js';
import type {RunHistory} from './runHistory.js';

/**
 * Checks that VMs in touch handle no call, sent later than the apply time after
 * a version was acknowledged, as only an older version allows.
 */
export function checkObeyedVersions(history: RunHistory): readonly Finding[] {
  const {configuration, bounds} = history;
  const found = configuration.probes.flatMap(probe => {
    const due = findNewestBefore(
      configuration,
      probe.sentAt - bounds.configApplyMs,
    );
    return due === undefined
      ? []
      : probe.handled.flatMap(handled =>
          checkHandling(history, probe, handled, due),
        );
  });
  return mergeGroups(found);
}

/**
 * Measures how long after an acknowledgement a call was sent that was handled as
 * only an older version allows, in ms; 0 if it was not handled so, or if no
 * version allows it.
 */
export function measureApplyTime(
  {configuration}: RunHistory,
  {target, sentAt, endedAt, handled}: ProbeHistory,
): number {
  const lags = handled.map(({outcome}) => {
    const matching = listMatching(configuration, target, outcome, endedAt);
    const best = matching.at(-1)?.version ?? Infinity;
    const passed = configuration.newest.find(
      ({version, acknowledgedAt}) => version > best && acknowledgedAt <= sentAt,
    );
    return passed === undefined ? 0 : sentAt - passed.acknowledgedAt;
  });
  return Math.max(0, ...lags);
}

function checkHandling(
  history: RunHistory,
  probe: ProbeHistory,
  {outcome}: HandledProbe,
  due: AcknowledgedVersion,
): readonly GroupedFinding[] {
  const {attempt, vm, target, sentAt, endedAt} = probe;
  const {configuration} = history;
  const matching = listMatching(configuration, target, outcome, endedAt);
  const best = matching.at(-1)?.version;
  if (best !== undefined && best >= due.version) {
    return [];
  }
  const afterMs = sentAt - due.acknowledgedAt;
  return [
    {
      group: vm,
      finding: {
        check: 'obeyedVersions',
        at: sentAt,
        detail: `${vm} handled ${attempt} (${describeHandling(target, outcome)}) as ${best === undefined ? 'no version' : `version ${best} or older`} allows, ${afterMs} ms after version ${due.version} was acknowledged`,
        excuse: findExcuse(history, probe, due),
      },
    },
  ];
}

function findExcuse(
  history: RunHistory,
  {vm, sentAt, endedAt}: ProbeHistory,
  {acknowledgedAt}: AcknowledgedVersion,
): string | null {
  if (isInTouch(history, vm, sentAt) && isInTouch(history, vm, endedAt)) {
    return null;
  }
  const {configApplyMs, maxSkewMs} = history.bounds;
  const isLate = sentAt - acknowledgedAt > configApplyMs + maxSkewMs;
  const isHeld =
    isInTouchOfMajority(history, vm, acknowledgedAt, sentAt) &&
    isInTouchOfMajority(history, vm, acknowledgedAt, endedAt);
  return isLate && isHeld ? null : 'the VM was not in touch';
}
