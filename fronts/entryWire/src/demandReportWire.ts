import type {DemandReport} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  EndpointSetId,
  OrganisationId,
} from '@gentianshunt/identifiers';

import {readAll} from './wireReader.js';
import type {WireReader} from './wireReader.js';
import {createWireTable} from './wireTable.js';

/** Scores travel as whole numbers of this part of one. */
const SCORE_SCALE = 1_000_000;
/** Shares of one travel as whole numbers of this part. */
const SHARE_SCALE = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Encodes a report as lists; names stand once and are then numbered. */
export function encodeDemandReport(report: DemandReport): readonly unknown[] {
  const organisations = createWireTable<OrganisationId>(id => id);
  const endpoints = createWireTable<EndpointId>(id => id);
  const waiting = report.waiting.flatMap(line => [
    line.rank,
    organisations.indexOf(line.organisation),
    line.count,
    line.ready,
    line.readyEarly,
    Math.round(line.costMs),
    Math.round(line.score * SCORE_SCALE),
    line.expected,
    Math.round(line.oldestWaitMs),
  ]);
  const running = report.running.flatMap(count => [
    endpoints.indexOf(count.endpoint),
    organisations.indexOf(count.organisation),
    count.count,
  ]);
  const unspent = report.unspent.flatMap(slots => [
    endpoints.indexOf(slots.endpoint),
    slots.rank,
    organisations.indexOf(slots.organisation),
    slots.count,
  ]);
  const rates = report.rates.flatMap(rate => [
    endpoints.indexOf(rate.endpoint),
    Math.round(rate.decodeMsPerToken * MICROSECONDS_PER_MILLISECOND),
    Math.round(rate.ageMs),
  ]);
  const troubles = (report.troubles ?? []).flatMap(trouble => [
    endpoints.indexOf(trouble.endpoint),
    Math.round(trouble.failureShare * SHARE_SCALE),
    trouble.isUnreachable ? 1 : 0,
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
  ];
}

/** Decodes a report and checks its form. */
export function decodeDemandReport(reader: WireReader): DemandReport {
  const set = reader.readIdentifier<EndpointSetId>();
  const epoch = reader.readCount();
  const sequence = reader.readCount();
  const organisations = readAll(reader.readList(), list =>
    list.readOrganisation(),
  );
  const endpoints = readAll(reader.readList(), list =>
    list.readIdentifier<EndpointId>(),
  );
  const waiting = readAll(reader.readList(), list => ({
    rank: list.readCount(),
    organisation: list.readFrom(organisations),
    count: list.readCount(),
    ready: list.readCount(),
    readyEarly: list.readCount(),
    costMs: list.readCount(),
    score: list.readCount() / SCORE_SCALE,
    expected: list.readCount(),
    oldestWaitMs: list.readCount(),
  }));
  const running = readAll(reader.readList(), list => ({
    endpoint: list.readFrom(endpoints),
    organisation: list.readFrom(organisations),
    count: list.readCount(),
  }));
  const unspent = readAll(reader.readList(), list => ({
    endpoint: list.readFrom(endpoints),
    rank: list.readCount(),
    organisation: list.readFrom(organisations),
    count: list.readCount(),
  }));
  const rates = readAll(reader.readList(), list => ({
    endpoint: list.readFrom(endpoints),
    decodeMsPerToken: list.readCount() / MICROSECONDS_PER_MILLISECOND,
    ageMs: list.readCount(),
  }));
  const report = {set, epoch, sequence, waiting, running, unspent, rates};
  const endpointsDigest = reader.readCount();
  const troubles = readAll(reader.readList(), list => ({
    endpoint: list.readFrom(endpoints),
    failureShare: list.readCount() / SHARE_SCALE,
    isUnreachable: list.readCount() === 1,
  }));
  return {
    ...report,
    ...(endpointsDigest === 0 ? {} : {endpointsDigest}),
    ...(troubles.length === 0 ? {} : {troubles}),
  };
}
