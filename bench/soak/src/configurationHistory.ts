import {canHandle} from './configurationContent.js';
import type {
  ConfigurationContent,
  ProbeOutcome,
  ProbeTarget,
} from './configurationContent.js';
import {listEvents} from './listEvents.js';
import type {RecordedEvent, RunTime} from './recordedEvent.js';

/** A valid version, from the first time it was sent. */
export interface VersionHistory {
  readonly version: number;
  readonly sentAt: RunTime;
  /** Time of the first acknowledgement, if there was one. */
  readonly acknowledgedAt: RunTime | undefined;
  readonly content: ConfigurationContent;
  readonly digest: string | null;
  readonly routes: number;
}

/** One way in which a probe call was handled: an answer, or a run. */
export interface HandledProbe {
  readonly at: RunTime;
  readonly outcome: ProbeOutcome;
}

/** Everything that was recorded of one probe call. */
export interface ProbeHistory {
  readonly attempt: string;
  readonly vm: string;
  readonly target: ProbeTarget;
  readonly sentAt: RunTime;
  readonly endedAt: RunTime;
  /** 0 if no whole answer came. */
  readonly status: number;
  readonly handled: readonly HandledProbe[];
}

/** A probe call that has not ended. */
type OpenProbe = Omit<ProbeHistory, 'endedAt' | 'status'>;

/** What was recorded of the configuration. */
export interface ConfigurationHistory {
  /** Valid versions, lowest first. */
  readonly versions: readonly VersionHistory[];
  /** Probe calls that ended, in order of their end. */
  readonly probes: readonly ProbeHistory[];
  /** Acknowledgements that raised the newest version, in order of time. */
  readonly newest: readonly AcknowledgedVersion[];
}

/** A version that was acknowledged. */
export interface AcknowledgedVersion extends VersionHistory {
  readonly acknowledgedAt: RunTime;
}

/** Arranges what was recorded of the configuration. */
export function createConfigurationHistory(
  events: readonly RecordedEvent[],
): ConfigurationHistory {
  const versions = collectVersions(events);
  return {
    versions,
    probes: collectProbes(events),
    newest: listNewest(versions),
  };
}

/** Finds the newest version that was acknowledged before a time. */
export function findNewestBefore(
  {newest}: ConfigurationHistory,
  at: RunTime,
): AcknowledgedVersion | undefined {
  const later = newest.findIndex(({acknowledgedAt}) => acknowledgedAt >= at);
  return newest[(later === -1 ? newest.length : later) - 1];
}

/** Lists the versions sent by a time that allow a call to be handled in a way. */
export function listMatching(
  {versions}: ConfigurationHistory,
  target: ProbeTarget,
  outcome: ProbeOutcome,
  until: RunTime,
): readonly VersionHistory[] {
  return versions.filter(
    ({sentAt, content}) =>
      sentAt <= until && canHandle(content, target, outcome),
  );
}

function collectVersions(
  events: readonly RecordedEvent[],
): readonly VersionHistory[] {
  const acknowledged = new Map<number, RunTime>();
  for (const {form, version, at} of listEvents(events, 'orderAcknowledged')) {
    if (form === 'change' && !acknowledged.has(version)) {
      acknowledged.set(version, at);
    }
  }
  const versions = new Map<number, VersionHistory>();
  for (const event of listEvents(events, 'orderSent')) {
    const {form, version, at, content, digest, routes} = event;
    if (form === 'change' && !versions.has(version)) {
      const acknowledgedAt = acknowledged.get(version);
      const sent = {version, sentAt: at, content, digest, routes};
      versions.set(version, {...sent, acknowledgedAt});
    }
  }
  return Array.from(versions.values()).sort((a, b) => a.version - b.version);
}

function listNewest(
  versions: readonly VersionHistory[],
): readonly AcknowledgedVersion[] {
  const acknowledged = versions
    .filter(isAcknowledged)
    .sort((left, right) => left.acknowledgedAt - right.acknowledgedAt);
  let highest = -Infinity;
  return acknowledged.filter(({version}) => {
    const isNewer = version > highest;
    highest = Math.max(highest, version);
    return isNewer;
  });
}

function isAcknowledged(
  version: VersionHistory,
): version is AcknowledgedVersion {
  return version.acknowledgedAt !== undefined;
}

function collectProbes(
  events: readonly RecordedEvent[],
): readonly ProbeHistory[] {
  const services = new Map(
    listEvents(events, 'endpointStarted').map(({endpoint, service}) => [
      endpoint,
      service,
    ]),
  );
  const open = new Map<string, OpenProbe>();
  const ended = new Map<string, ProbeHistory>();
  for (const event of events) {
    if (event.kind === 'probeSent') {
      const {attempt, vm, target, at} = event;
      open.set(attempt, {attempt, vm, target, sentAt: at, handled: []});
    } else if (event.kind === 'runStarted') {
      const probe = open.get(event.attempt);
      const service = services.get(event.endpoint);
      if (probe !== undefined && service !== undefined) {
        const run = {at: event.at, outcome: {kind: 'run', service}} as const;
        const handled = [...probe.handled, run];
        open.set(event.attempt, {...probe, handled});
      }
    } else if (event.kind === 'probeEnded') {
      const probe = open.get(event.attempt);
      open.delete(event.attempt);
      if (probe !== undefined) {
        const {at, status} = event;
        ended.set(event.attempt, endProbe(probe, at, status));
      }
    }
  }
  return Array.from(ended.values());
}

function endProbe(probe: OpenProbe, at: RunTime, status: number): ProbeHistory {
  const outcome = toOutcome(status);
  const answer = outcome.kind === 'undecided' ? [] : [{at, outcome}];
  const hasRun = probe.handled.length > 0;
  const handled = hasRun ? probe.handled : answer;
  return {...probe, endedAt: at, status, handled};
}

function toOutcome(status: number): ProbeOutcome {
  switch (status) {
    case 404:
      return {kind: 'noRoute'};
    case 401:
    case 403:
      return {kind: 'noKey'};
    default:
      return {kind: 'undecided'};
  }
}
