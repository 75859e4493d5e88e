import type {
  EndpointTarget,
  Grant,
  GrantObstacle,
  GrantReply,
  OpenCapacity,
} from '@gentianshunt/entryModel';
import type {
  EndpointSetId,
  GrantId,
  OrganisationId,
} from '@gentianshunt/identifiers';

import {decodeTarget, encodeTarget} from './targetWire.js';
import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';
import {createWireTable} from './wireTable.js';

/** No tier has this rank. */
const NO_RANK = 0;
/** The obstacles in the order of their numbers in messages. */
const OBSTACLES: readonly GrantObstacle[] = [
  'noLease',
  'collectingReports',
  'noEndpoints',
];

/**
 * Encodes a grant reply as an array. Each organisation and endpoint is listed
 * once and referred to by its index; the common prefix of the grant IDs is sent
 * once.
 */
export function encodeGrantReply(reply: GrantReply): readonly unknown[] {
  const organisations = createWireTable<OrganisationId>(id => id);
  const targets = createWireTable<EndpointTarget>(target => target.endpoint);
  const prefix = findCommonPrefix(reply.grants.map(grant => grant.id));
  const grants = reply.grants.flatMap(grant => [
    grant.id.slice(prefix.length),
    grant.rank,
    organisations.assignIndex(grant.organisation),
    targets.assignIndex(grant.target),
    grant.count,
  ]);
  const shed = reply.shed.flatMap(instruction => [
    instruction.rank,
    organisations.assignIndex(instruction.organisation),
    instruction.count,
    instruction.retryAfterMs,
  ]);
  return [
    reply.set,
    reply.epoch,
    reply.sequence,
    reply.part,
    Math.ceil(reply.reportAgeMs),
    reply.lifetimeMs,
    organisations.items,
    targets.items.flatMap(encodeTarget),
    prefix,
    grants,
    shed,
    encodeOpenCapacity(reply.open),
    encodeSetState(reply),
  ];
}

function encodeOpenCapacity(open: OpenCapacity | null): readonly unknown[] {
  return open === null
    ? []
    : [
        open.limit,
        Math.ceil(open.reportIntervalMs),
        open.targets.flatMap(encodeTarget),
      ];
}

function decodeOpenCapacity(reader: WireReader): OpenCapacity | null {
  if (reader.remaining === 0) {
    return null;
  }
  const limit = reader.readCount();
  const reportIntervalMs = reader.readCount();
  const targets = readRecords(reader.readList(), decodeTarget);
  return {targets, limit, reportIntervalMs};
}

/** Decodes and validates a grant reply. */
export function decodeGrantReply(reader: WireReader): GrantReply {
  const head = {
    set: reader.readIdentifier<EndpointSetId>(),
    epoch: reader.readCount(),
    sequence: reader.readCount(),
    part: reader.readCount(),
    reportAgeMs: reader.readCount(),
    lifetimeMs: reader.readCount(),
  };
  const organisations = readRecords(reader.readList(), list =>
    list.readOrganisation(),
  );
  const targets = readRecords(reader.readList(), decodeTarget);
  const prefix = reader.readText();
  const grants = readRecords(reader.readList(), (list): Grant => ({
    id: `${prefix}${list.readText()}` as GrantId,
    rank: list.readCount(),
    organisation: list.readReference(organisations),
    target: list.readReference(targets),
    count: list.readCount(),
  }));
  const shed = readRecords(reader.readList(), list => ({
    rank: list.readCount(),
    organisation: list.readReference(organisations),
    count: list.readCount(),
    retryAfterMs: list.readNumber(),
  }));
  const open = decodeOpenCapacity(reader.readList());
  const state = decodeSetState(reader.readList());
  return {...head, grants, shed, open, ...state};
}

type SetState = Pick<GrantReply, 'waitingRank' | 'obstacle'>;

/**
 * Encodes the rank, `NO_RANK` without one, and the obstacle. What is not there is
 * left out at the end: daemons of earlier versions send no obstacle.
 */
function encodeSetState({waitingRank, obstacle}: SetState): readonly unknown[] {
  if (obstacle === null) {
    return waitingRank === null ? [] : [waitingRank];
  }
  return [waitingRank ?? NO_RANK, OBSTACLES.indexOf(obstacle)];
}

function decodeSetState(list: WireReader): SetState {
  const rank = list.remaining === 0 ? NO_RANK : list.readCount();
  const obstacle = list.remaining === 0 ? null : list.readReference(OBSTACLES);
  return {waitingRank: rank === NO_RANK ? null : rank, obstacle};
}

function findCommonPrefix(texts: readonly string[]): string {
  const [first = '', ...others] = texts;
  let length = first.length;
  for (const text of others) {
    while (!text.startsWith(first.slice(0, length))) {
      length -= 1;
    }
  }
  return first.slice(0, length);
}
