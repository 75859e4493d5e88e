import type {
  EndpointAnnouncement,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import type {
  DispatchId,
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
  OrganisationId,
  RequestId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import type {Arrival} from './arrivals.js';
import type {Engine} from './engine.js';
import type {Fleet} from './fleet.js';
import {TIER_IDS} from './profile.js';

/** Extracts the request's identifier from that of its dispatch. */
export function toRequestId(dispatch: DispatchId): string {
  return dispatch.slice(0, dispatch.lastIndexOf('.'));
}

/** Finds the simulated engine of an endpoint. */
export function findEngine(fleet: Fleet, endpoint: EndpointId): Engine {
  return fleet.engines.find(engine => engine.spec.id === endpoint)!;
}

/** Lists the announcements of the running engines. */
export function listAnnouncements(
  fleet: Fleet,
): readonly EndpointAnnouncement[] {
  return fleet.engines
    .filter(engine => !engine.isStopped())
    .map(engine => createAnnouncement(engine, fleet));
}

function createAnnouncement(
  engine: Engine,
  fleet: Fleet,
): EndpointAnnouncement {
  const {id, set, batchSize} = engine.spec;
  const {running, waiting, ageMs} = fleet.readStaleLoad(engine);
  return {
    endpoint: id as EndpointId,
    incarnation: '1' as IncarnationId,
    set: set as EndpointSetId,
    domain: 'domain1' as FailureDomainId,
    url: `http://${id}`,
    concurrency: batchSize,
    checksFencing: false,
    load: {running, waiting, ageMs},
    leaving: false,
  };
}

/** Converts an arrival to the attributes that an entry reads of a request. */
export function toRequest(arrival: Arrival): RequestAttributes {
  return {
    id: arrival.id as RequestId,
    organisation: arrival.organisation as OrganisationId,
    tier: TIER_IDS[arrival.rank - 1]! as string as TierId,
    set: arrival.kind.set as EndpointSetId,
    kind: arrival.kind.id as RequestKindId,
    claim: null,
    promptTokens: arrival.promptTokens,
    maxTokens: arrival.kind.answer.max,
    prefix: arrival.prefix,
  };
}
