import type {TurnTime, View} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {
  defineEntryController,
  findEntryAddress,
} from '@gentianshunt/entryModel';
import type {
  DemandReport,
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

/** A demand report that no newer one replaces is dropped after this time. */
export const REPORT_RETENTION_MS: Milliseconds = 5_000;

type ReportReads = 'control' | 'leaderships' | 'demandReports';
type ReportView = View<EntrySections, ReportReads, EntryObservation>;
type ReportWrite = EntryWrite<'demandReports'>;

/**
 * Creates the set leader's controller that records the latest demand report of
 * each entry, and refuses reports for sets or epochs that it does not lead.
 */
export function createReceivedDemandController(): EntryController {
  return defineEntryController<ReportReads, 'demandReports'>({
    name: 'receivedDemand',
    reads: ['control', 'leaderships', 'demandReports'],
    writes: ['demandReports'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      const {observation} = view;
      if (
        observation?.kind === 'entryMessage' &&
        observation.message.kind === 'demandReport'
      ) {
        const {report} = observation.message;
        return receiveDemandReport(view, observation.from, report, now);
      }
      if (
        observation?.kind === 'timerDue' &&
        observation.timer.kind === 'housekeeping'
      ) {
        return dropOldDemandReports(view, now);
      }
      return [];
    },
  });
}

function receiveDemandReport(
  view: ReportView,
  node: NodeId,
  report: DemandReport,
  now: TurnTime,
): readonly ReportWrite[] {
  const leadership = view.board.leaderships.get(report.set);
  if (leadership === undefined || leadership.epoch !== report.epoch) {
    return refuseDemandReport(view, node, report, leadership?.epoch ?? 0);
  }
  const key = {set: report.set, node};
  const known = view.board.demandReports.get(key);
  if (known !== undefined && known.report.sequence >= report.sequence) {
    return [];
  }
  return [
    {
      kind: 'put',
      section: 'demandReports',
      key,
      value: {node, report, receivedAt: now.monotonic},
    },
  ];
}

function refuseDemandReport(
  view: ReportView,
  node: NodeId,
  report: DemandReport,
  epoch: number,
): readonly ReportWrite[] {
  const address = findEntryAddress(view.board.control.directory, node);
  if (address === undefined) {
    return [];
  }
  return [
    {
      kind: 'effect',
      effect: {
        kind: 'sendEntry',
        to: node,
        address,
        message: {
          kind: 'notSetLeader',
          set: report.set,
          epoch,
          sequence: report.sequence,
        },
      },
    },
  ];
}

function dropOldDemandReports(
  view: ReportView,
  now: TurnTime,
): readonly ReportWrite[] {
  const writes: ReportWrite[] = [];
  for (const {key, value} of view.board.demandReports.iterateFrom()) {
    const ageMs = now.monotonic - value.receivedAt;
    if (ageMs > REPORT_RETENTION_MS || !view.board.leaderships.has(key.set)) {
      writes.push({kind: 'delete', section: 'demandReports', key});
    }
  }
  return writes;
}
