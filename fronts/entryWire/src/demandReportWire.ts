import type {DemandReport} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  EndpointSetId,
  OrganisationId,
  PromptPartId,
} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';
import {createWireTable} from './wireTable.js';

/** Scores are sent as whole millionths. */
const SCORE_SCALE = 1_000_000;
/** Failure rates are sent as whole thousandths. */
const FAILURE_RATE_SCALE = 1_000;
/** Mean counts are sent as whole thousandths. */
const MEAN_SCALE = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/**
 * Encodes a demand report as an array. Each organisation and endpoint is listed
 * once; the records refer to it by its index.
 */
export function encodeDemandReport(report: DemandReport): readonly unknown[] {
  const organisations = createWireTable<OrganisationId>(id => id);
  const endpoints = createWireTable<EndpointId>(id => id);
  const waiting = report.waiting.flatMap(queue => [
    queue.rank,
    organisations.assignIndex(queue.organisation),
    queue.count,
    queue.ready,
    queue.readyEarly,
    Math.round(queue.costMs),
    Math.round(queue.score * SCORE_SCALE),
    queue.expected,
    Math.round(queue.oldestWaitMs),
    Math.ceil(queue.objectiveMs ?? 0),
    queue.part ?? '',
  ]);
  const running = report.running.flatMap(count => [
    endpoints.assignIndex(count.endpoint),
    organisations.assignIndex(count.organisation),
    count.count,
  ]);
  const unspent = report.unspent.flatMap(slots => [
    endpoints.assignIndex(slots.endpoint),
    slots.rank,
    organisations.assignIndex(slots.organisation),
    slots.count,
  ]);
  const rates = report.rates.flatMap(rate => [
    endpoints.assignIndex(rate.endpoint),
    Math.round(rate.decodeMsPerToken * MICROSECONDS_PER_MILLISECOND),
    Math.round(rate.ageMs),
  ]);
  const troubles = (report.troubles ?? []).flatMap(failures => [
    endpoints.assignIndex(failures.endpoint),
    Math.round(failures.failureShare * FAILURE_RATE_SCALE),
    failures.isUnreachable ? 1 : 0,
  ]);
  return [
    report.set,
    report.epoch,
    report.sequence,
    organisations.items,
    endpoints.items,
    waiting,
    running,
    unspent,
    rates,
    report.endpointsDigest ?? 0,
    troubles,
    Math.round(report.meanRunning * MEAN_SCALE),
    Math.round(report.roundTripMs),
  ];
}

/** Decodes and validates a demand report. */
export function decodeDemandReport(reader: WireReader): DemandReport {
  const set = reader.readIdentifier<EndpointSetId>();
  const epoch = reader.readCount();
  const sequence = reader.readCount();
  const organisations = readRecords(reader.readList(), list =>
    list.readOrganisation(),
  );
  const endpoints = readRecords(reader.readList(), list =>
    list.readIdentifier<EndpointId>(),
  );
  const waiting = readRecords(reader.readList(), list => ({
    rank: list.readCount(),
    organisation: list.readReference(organisations),
    count: list.readCount(),
    ready: list.readCount(),
    readyEarly: list.readCount(),
    costMs: list.readCount(),
    score: list.readCount() / SCORE_SCALE,
    expected: list.readCount(),
    oldestWaitMs: list.readCount(),
    objectiveMs: list.readCount() || null,
    part: (list.readText() || null) as PromptPartId | null,
  }));
  const running = readRecords(reader.readList(), list => ({
    endpoint: list.readReference(endpoints),
    organisation: list.readReference(organisations),
    count: list.readCount(),
  }));
  const unspent = readRecords(reader.readList(), list => ({
    endpoint: list.readReference(endpoints),
    rank: list.readCount(),
    organisation: list.readReference(organisations),
    count: list.readCount(),
  }));
  const rates = readRecords(reader.readList(), list => ({
    endpoint: list.readReference(endpoints),
    decodeMsPerToken: list.readCount() / MICROSECONDS_PER_MILLISECOND,
    ageMs: list.readCount(),
  }));
  const report = {set, epoch, sequence, waiting, running, unspent, rates};
  const endpointsDigest = reader.readCount();
  const troubles = readRecords(reader.readList(), list => ({
    endpoint: list.readReference(endpoints),
    failureShare: list.readCount() / FAILURE_RATE_SCALE,
    isUnreachable: list.readCount() === 1,
  }));
  const meanRunning = reader.readCount() / MEAN_SCALE;
  const roundTripMs = reader.readCount();
  return {
    ...report,
    meanRunning,
    roundTripMs,
    ...(endpointsDigest === 0 ? {} : {endpointsDigest}),
    ...(troubles.length === 0 ? {} : {troubles}),
  };
}
