import {listMatching} from './configurationHistory.js';
import type {HandledProbe, ProbeHistory} from './configurationHistory.js';
import {describeHandling} from './describeHandling.js';
import type {Finding} from './finding.js';
import {mergeGroups} from './findingGroups.js';
import type {GroupedFinding} from './findingGroups.js';
import {hasVmDisturbance} from './inTouch.js';
import type {RunTime} from './recordedEvent.js';
import type {RunHistory} from './runHistory.js';
import {findBoot, listBoots} from './vmBoots.js';
import type {VmBoot} from './vmBoots.js';

/** Factor of the time on VMs that were disturbed. */
const SLOWED_FACTOR = 8;

/** A run that shows the least version that its VM obeys. */
interface SeenEffect {
  readonly at: RunTime;
  readonly version: number;
}

/**
 * Checks that in one life of its process a VM handles no call as only a version
 * allows that is older than one whose effect an endpoint has seen.
 */
export function checkRegressions(history: RunHistory): readonly Finding[] {
  const boots = listBoots(history.events);
  const probes = new Map<VmBoot, ProbeHistory[]>();
  for (const probe of history.configuration.probes) {
    const {vm, sentAt, endedAt} = probe;
    const boot = findBoot(boots, vm, sentAt, endedAt);
    if (boot !== undefined) {
      probes.set(boot, [...(probes.get(boot) ?? []), probe]);
    }
  }
  const found = Array.from(probes.values(), group => checkBoot(history, group));
  return mergeGroups(found.flat());
}

function checkBoot(
  history: RunHistory,
  probes: readonly ProbeHistory[],
): readonly GroupedFinding[] {
  const effects = listEffects(history, probes);
  return probes.flatMap(probe =>
    probe.handled.flatMap(handled =>
      checkHandling(history, probe, handled, effects),
    ),
  );
}

/** Lists the effects of ever higher versions, in order of time. */
function listEffects(
  {configuration}: RunHistory,
  probes: readonly ProbeHistory[],
): readonly SeenEffect[] {
  const seen = probes
    .flatMap(({target, handled}) =>
      handled
        .filter(({outcome}) => outcome.kind === 'run')
        .flatMap(({at, outcome}) => {
          const [least] = listMatching(configuration, target, outcome, at);
          return least === undefined ? [] : [{at, version: least.version}];
        }),
    )
    .sort((left, right) => left.at - right.at);
  let highest = -Infinity;
  return seen.filter(({version}) => {
    const isHigher = version > highest;
    highest = Math.max(highest, version);
    return isHigher;
  });
}

function checkHandling(
  history: RunHistory,
  {attempt, vm, target, sentAt, endedAt}: ProbeHistory,
  {outcome}: HandledProbe,
  effects: readonly SeenEffect[],
): readonly GroupedFinding[] {
  const {configuration, bounds} = history;
  const window = {from: sentAt - bounds.contactMs, to: endedAt};
  const factor = hasVmDisturbance(history, vm, window) ? SLOWED_FACTOR : 1;
  const before = sentAt - bounds.rollbackSlackMs * factor;
  const known = effects.filter(({at}) => at < before).at(-1);
  const matching = listMatching(configuration, target, outcome, endedAt);
  const best = matching.at(-1)?.version;
  if (known === undefined || best === undefined || best >= known.version) {
    return [];
  }
  return [
    {
      group: vm,
      finding: {
        check: 'regressions',
        at: sentAt,
        detail: `${vm} handled ${attempt} (${describeHandling(target, outcome)}) as version ${best} or older, ${sentAt - known.at} ms after an endpoint saw the effect of version ${known.version}`,
        excuse: null,
      },
    },
  ];
}
