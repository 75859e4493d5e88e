import type {SiteBounds} from '@gentianshunt/platformWorker';

import {createConfigurationHistory} from './configurationHistory.js';
import type {ConfigurationHistory} from './configurationHistory.js';
import {listEvents} from './listEvents.js';
import {listLinkSpans, listVmSpans} from './disturbances.js';
import type {LinkSpan, VmSpan} from './disturbances.js';
import type {
  AnswerResult,
  RecordedEvent,
  SentRequest,
} from './recordedEvent.js';
import type {RunTime} from './recordedEvent.js';

/** A VM as the checkers see it. */
export interface CheckedVm {
  readonly name: string;
  /** VMs with a disk are the core. */
  readonly hasDisk: boolean;
}

/** A VM and its time in the deployment. */
export interface MemberVm extends CheckedVm {
  readonly from: RunTime;
  /** Time at which another VM took its place, or infinity. */
  readonly to: RunTime;
}

/** A run of a request at an endpoint. */
export interface RequestRun {
  readonly endpoint: string;
  readonly startedAt: RunTime;
  readonly plannedMs: number;
  readonly isIntact: boolean;
  /** `undefined` while it goes on. */
  readonly ended: {readonly at: RunTime; readonly end: string} | undefined;
}

/** Everything that was recorded of one request. */
export interface RequestHistory {
  readonly request: SentRequest;
  readonly sentAt: RunTime;
  readonly writtenAt: RunTime | undefined;
  readonly arrivals: readonly {
    readonly at: RunTime;
    readonly endpoint: string;
  }[];
  readonly runs: readonly RequestRun[];
  readonly ended:
    {readonly at: RunTime; readonly result: AnswerResult} | undefined;
}

/** A whole record, arranged for the checkers. */
export interface RunHistory {
  readonly bounds: SiteBounds;
  /** Memory of a VM, in bytes. */
  readonly memoryBytes: number;
  /** Size of the disk of a VM that has one, in bytes. */
  readonly diskBytes: number;
  /** All VMs that were part of the deployment. */
  readonly vms: readonly MemberVm[];
  readonly events: readonly RecordedEvent[];
  readonly requests: ReadonlyMap<string, RequestHistory>;
  readonly configuration: ConfigurationHistory;
  readonly vmSpans: readonly VmSpan[];
  readonly linkSpans: readonly LinkSpan[];
  /** Times at which the recording process was late, and by how much. */
  readonly delays: readonly RecorderDelay[];
}

/** A delay of the recording process, in milliseconds. */
export interface RecorderDelay {
  readonly at: RunTime;
  readonly delayMs: number;
}

/** Arranges a record for the checkers. */
export function createRunHistory(options: {
  readonly bounds: SiteBounds;
  readonly memoryBytes: number;
  readonly diskBytes: number;
  readonly vms: readonly CheckedVm[];
  readonly events: readonly RecordedEvent[];
}): RunHistory {
  const {events} = options;
  return {
    ...options,
    vms: listMembers(options.vms, events),
    requests: collectRequests(events),
    configuration: createConfigurationHistory(events),
    vmSpans: listVmSpans(events),
    linkSpans: listLinkSpans(events),
    delays: listEvents(events, 'recorderDelayed'),
  };
}

/** Returns whether a VM is part of the deployment at a time. */
export function isMember({from, to}: MemberVm, at: RunTime): boolean {
  return from <= at && at < to;
}

/** Lists the VMs that were part of the deployment, with their times. */
function listMembers(
  vms: readonly CheckedVm[],
  events: readonly RecordedEvent[],
): readonly MemberVm[] {
  const replacements = listEvents(events, 'vmReplaced');
  const started = new Set(listEvents(events, 'vmStarted').map(({vm}) => vm));
  return vms
    .filter(({name}) => started.has(name))
    .map(vm => ({
      ...vm,
      from: replacements.find(({by}) => by === vm.name)?.at ?? -Infinity,
      to: replacements.find(event => event.vm === vm.name)?.at ?? Infinity,
    }));
}

interface RequestDraft {
  readonly request: SentRequest;
  readonly sentAt: RunTime;
  writtenAt: RunTime | undefined;
  readonly arrivals: {readonly at: RunTime; readonly endpoint: string}[];
  readonly runs: RequestRun[];
  ended: RequestHistory['ended'];
}

function collectRequests(
  events: readonly RecordedEvent[],
): ReadonlyMap<string, RequestHistory> {
  const drafts = new Map<string, RequestDraft>();
  for (const event of events) {
    if (event.kind === 'requestSent') {
      drafts.set(event.request.attempt, {
        request: event.request,
        sentAt: event.at,
        writtenAt: undefined,
        arrivals: [],
        runs: [],
        ended: undefined,
      });
    } else if ('attempt' in event) {
      const draft = drafts.get(event.attempt);
      if (draft !== undefined) {
        updateRequest(draft, event);
      }
    }
  }
  return drafts;
}

function updateRequest(
  draft: RequestDraft,
  event: Extract<RecordedEvent, {readonly attempt: string}>,
): void {
  switch (event.kind) {
    case 'requestWritten':
      draft.writtenAt = event.at;
      break;
    case 'requestEnded':
      draft.ended = {at: event.at, result: event.result};
      break;
    case 'arrived':
      draft.arrivals.push({at: event.at, endpoint: event.endpoint});
      break;
    case 'runStarted':
      draft.runs.push({
        endpoint: event.endpoint,
        startedAt: event.at,
        plannedMs: event.plannedMs,
        isIntact: event.isIntact,
        ended: undefined,
      });
      break;
    case 'runEnded':
      endRun(draft.runs, event.endpoint, event.at, event.end);
      break;
    case 'turnedAway':
    case 'leavingSaid':
    case 'probeSent':
    case 'probeEnded':
      break;
  }
}

function endRun(
  runs: RequestRun[],
  endpoint: string,
  at: RunTime,
  end: string,
): void {
  const index = runs.findIndex(
    run => run.endpoint === endpoint && run.ended === undefined,
  );
  const run = runs[index];
  if (run !== undefined) {
    runs[index] = {...run, ended: {at, end}};
  }
}
