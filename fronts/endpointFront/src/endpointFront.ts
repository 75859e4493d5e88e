import type {
  EndpointAnnouncement,
  EntryObservation,
} from '@gentianshunt/entryModel';
import {isIdentifier} from '@gentianshunt/identifiers';
import type {
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';
import type {FastifyInstance} from 'fastify';
import * as z from 'zod';

/** Interval at which endpoints should announce themselves. */
export const ANNOUNCE_INTERVAL_MS = 1_000;
const MAX_CONCURRENCY = 100_000;

const identifier = z.string().refine(isIdentifier, 'must be an identifier');

const announcement = z.strictObject({
  endpoint: identifier,
  incarnation: identifier,
  set: identifier,
  domain: identifier,
  url: z.url({protocol: /^https?$/}),
  concurrency: z.int().min(1).max(MAX_CONCURRENCY),
  checksFencing: z.boolean().default(false),
  leaving: z.boolean().default(false),
  load: z
    .strictObject({
      running: z.int().min(0),
      waiting: z.int().min(0),
      ageMs: z.number().min(0),
    })
    .nullable()
    .default(null),
});

/** Options of the HTTP interface for endpoints. */
export interface EndpointFrontOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  /** Finds the address of the entry that leads a set. */
  readonly findLeader: (set: EndpointSetId) => EntryAddress | undefined;
}

/** Adds the route on which endpoints announce themselves. */
export function createEndpointFront(options: EndpointFrontOptions): void {
  options.server.post('/v1/endpoints/announce', async (request, reply) => {
    const parsed = parseAnnouncement(request.body as Buffer);
    if (parsed.kind === 'malformed') {
      return reply.code(400).send({error: parsed.detail});
    }
    options.post({
      kind: 'endpointContact',
      announcement: parsed.announcement,
    });
    const leader = options.findLeader(parsed.announcement.set);
    return {
      announceAgainInMs: ANNOUNCE_INTERVAL_MS,
      // An announcement sent to the set leader need not be forwarded to it.
      announceTo: leader === undefined ? null : formatUrl(leader),
    };
  });
}

function formatUrl({http}: EntryAddress): string {
  return `http://${http.host}:${http.port}`;
}

type ParsedAnnouncement =
  | {readonly kind: 'parsed'; readonly announcement: EndpointAnnouncement}
  | {readonly kind: 'malformed'; readonly detail: string};

function parseAnnouncement(body: Buffer): ParsedAnnouncement {
  let json: unknown;
  try {
    json = JSON.parse(body.toString('utf8'));
  } catch {
    return {kind: 'malformed', detail: 'the body is not JSON'};
  }
  const result = announcement.safeParse(json);
  if (!result.success) {
    const issue = result.error.issues[0]!;
    const detail = `${issue.path.join('.')}: ${issue.message}`;
    return {kind: 'malformed', detail};
  }
  const {data} = result;
  return {
    kind: 'parsed',
    announcement: {
      ...data,
      endpoint: data.endpoint as EndpointId,
      incarnation: data.incarnation as IncarnationId,
      set: data.set as EndpointSetId,
      domain: data.domain as FailureDomainId,
    },
  };
}
