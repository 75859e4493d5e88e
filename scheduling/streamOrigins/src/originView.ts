import {createMapDraft} from '@gentianshunt/board';
import type {MapDraft, TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EntryDecision,
  EntryMessage,
  EntryObservation,
  EntrySections,
  EntryWrite,
  OriginHolders,
  OriginInquiry,
  RecordedOrigin,
  SeenSoftware,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId, RequestId} from '@gentianshunt/identifiers';
import type {NetworkAddress} from '@gentianshunt/messages';

import {updateHolders} from './originHolders.js';
import {computeMemoryMs} from './originMemory.js';

/** Time for which origins are collected before they are reported. */
const REPORT_INTERVAL_MS: Milliseconds = 100;

/** The board sections that the origin controller writes. */
export const ORIGIN_SECTIONS = [
  'streamOrigins',
  'seenSoftware',
  'originInquiries',
  'originHolders',
  'originMemoryMs',
  'isOriginTimerSet',
] as const;
export type OriginSections = (typeof ORIGIN_SECTIONS)[number];

/** The board sections that the origin controller reads. */
export const ORIGIN_READS = [
  ...ORIGIN_SECTIONS,
  'identity',
  'control',
  'configuration',
  'requests',
  'service',
  'knownEndpoints',
  'acceptedReply',
] as const;
export type OriginReads = (typeof ORIGIN_READS)[number];

/** The board as the origin controller sees it. */
export type OriginView = View<EntrySections, OriginReads, EntryObservation>;
export type OriginWrite = EntryWrite<OriginSections>;

/** Collects the writes of one run of the controller. */
export interface OriginDraft {
  readonly origins: MapDraft<RequestId, RecordedOrigin>;
  readonly seen: MapDraft<EndpointSetId, SeenSoftware>;
  readonly inquiries: MapDraft<RequestId, OriginInquiry>;
  /** How long a stream may be taken up after its first event. */
  readonly memoryMs: Milliseconds;
  /** Which entries may keep origins, by the present directory. */
  readonly holders: OriginHolders;
  /** Records that reports from before now may be missing. */
  forgetReports(now: TurnTime): void;
  /** Lets the caller of a request have the events of its answer. */
  releaseAnswer(request: RequestId): void;
  send(to: NodeId, address: NetworkAddress, message: EntryMessage): void;
  log(decision: EntryDecision): void;
  /** Starts the timer for reports and inquiries, unless it runs. */
  startTimer(): void;
  /** Records that the timer is due, so that it can be started again. */
  endTimer(): void;
  listWrites(): readonly OriginWrite[];
}

/** Creates a draft over a view of the board. */
export function createOriginDraft(
  view: OriginView,
  now: TurnTime,
): OriginDraft {
  const {board} = view;
  const effects: OriginWrite[] = [];
  const origins = createMapDraft(board.streamOrigins);
  const seen = createMapDraft(board.seenSoftware);
  const inquiries = createMapDraft(board.originInquiries);
  const memoryMs = readMemoryMs(view);
  const {directory} = board.control;
  let holders = updateHolders(directory, board.originHolders, memoryMs, now);
  let isTimerSet = board.isOriginTimerSet;
  return {
    origins,
    seen,
    inquiries,
    memoryMs,
    get holders() {
      return holders;
    },
    forgetReports: ({monotonic}) => {
      holders = {...holders, keptSince: monotonic};
    },
    releaseAnswer: request =>
      effects.push({kind: 'effect', effect: {kind: 'releaseAnswer', request}}),
    send: (to, address, message) =>
      effects.push({
        kind: 'effect',
        effect: {kind: 'sendEntry', to, address, message},
      }),
    log: decision =>
      effects.push({kind: 'effect', effect: {kind: 'logDecision', decision}}),
    startTimer: () => {
      if (!isTimerSet) {
        isTimerSet = true;
        effects.push({
          kind: 'effect',
          effect: {
            kind: 'setTimer',
            timer: {kind: 'streamOrigins'},
            delayMs: REPORT_INTERVAL_MS,
          },
        });
      }
    },
    endTimer: () => {
      isTimerSet = false;
    },
    listWrites: () => [
      ...origins.listWrites('streamOrigins' as const),
      ...seen.listWrites('seenSoftware' as const),
      ...inquiries.listWrites('originInquiries' as const),
      ...(memoryMs === board.originMemoryMs
        ? []
        : [
            {
              kind: 'set',
              section: 'originMemoryMs',
              value: memoryMs,
            } as const,
          ]),
      ...(holders === board.originHolders
        ? []
        : [{kind: 'set', section: 'originHolders', value: holders} as const]),
      ...(isTimerSet === board.isOriginTimerSet
        ? []
        : [
            {
              kind: 'set',
              section: 'isOriginTimerSet',
              value: isTimerSet,
            } as const,
          ]),
      ...effects,
    ],
  };
}

/** Reads the memory time, which is computed anew when the routes may differ. */
function readMemoryMs({board, readChanges}: OriginView): Milliseconds {
  return board.originMemoryMs === null || readChanges('configuration').size > 0
    ? computeMemoryMs(board.configuration)
    : board.originMemoryMs;
}
