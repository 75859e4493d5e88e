import {createHash, createHmac} from 'node:crypto';

import {formatRequestFingerprint} from '@gentianshunt/entryModel';
import type {RequestAttributes} from '@gentianshunt/entryModel';
import {isIdentifier} from '@gentianshunt/identifiers';
import type {
  EndpointSetId,
  FingerprintId,
  OrganisationId,
  RequestId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';
import * as z from 'zod';

/** Characters per token, for estimating the length of a prompt. */
const CHARACTERS_PER_TOKEN = 4;
/** Leading characters of a prompt that identify its prefix in a cache. */
const PREFIX_CHARACTERS = 1_024;
/** Answer length assumed if the caller sets no limit, in tokens. */
const DEFAULT_MAX_TOKENS = 1_024;
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;
/** Length of a request's digest in hexadecimal digits. */
const FINGERPRINT_LENGTH = 32;

const chatBody = z.looseObject({
  model: z.string().refine(isIdentifier, 'must be an identifier'),
  messages: z
    .array(z.looseObject({role: z.string(), content: z.string()}))
    .min(1),
  max_tokens: z.int().positive().optional(),
});

const callerHeaders = z.object({
  'x-organisation': z.string().refine(isIdentifier, 'must be an identifier'),
  'x-tier': z.string().refine(isIdentifier, 'must be an identifier').optional(),
  'x-kind': z
    .string()
    .refine(isIdentifier, 'must be an identifier')
    .default('default'),
  'idempotency-key': z
    .string()
    .min(1)
    .max(MAX_IDEMPOTENCY_KEY_LENGTH)
    .optional(),
});

/** A parsed request, or the reason why it could not be parsed. */
export type ParsedRequest =
  | {readonly kind: 'parsed'; readonly attributes: RequestAttributes}
  | {readonly kind: 'malformed'; readonly detail: string};

/** A request as the caller sent it. */
export interface RawRequest {
  readonly id: RequestId;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: Buffer;
}

/** Parses a chat completion request. */
export function parseChatRequest(raw: RawRequest): ParsedRequest {
  const json = parseJson(raw.body);
  if (json === undefined) {
    return {kind: 'malformed', detail: 'the body is not JSON'};
  }
  const body = chatBody.safeParse(json);
  if (!body.success) {
    return {kind: 'malformed', detail: describe('body', body.error)};
  }
  const prompt = body.data.messages.map(message => message.content).join('\n');
  return parseHeaders(raw, {
    set: body.data.model as EndpointSetId,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    maxTokens: body.data.max_tokens ?? DEFAULT_MAX_TOKENS,
    prefix: digest(prompt.slice(0, PREFIX_CHARACTERS)),
  });
}

/** Parses a request to a plain service, whose body is not interpreted. */
export function parseServiceRequest(
  raw: RawRequest,
  set: string,
): ParsedRequest {
  if (!isIdentifier(set)) {
    return {kind: 'malformed', detail: 'the endpoint set is malformed'};
  }
  return parseHeaders(raw, {
    set: set as EndpointSetId,
    promptTokens: 0,
    maxTokens: 0,
    prefix: null,
  });
}

type BodyAttributes = Pick<
  RequestAttributes,
  'set' | 'promptTokens' | 'maxTokens' | 'prefix'
>;

function parseHeaders(
  raw: RawRequest,
  bodyAttributes: BodyAttributes,
): ParsedRequest {
  const headers = callerHeaders.safeParse(raw.headers);
  if (!headers.success) {
    return {kind: 'malformed', detail: describe('header', headers.error)};
  }
  const key = headers.data['idempotency-key'];
  const organisation = headers.data['x-organisation'];
  return {
    kind: 'parsed',
    attributes: {
      ...bodyAttributes,
      id: raw.id,
      organisation: organisation as OrganisationId,
      tier: (headers.data['x-tier'] ?? null) as TierId | null,
      kind: headers.data['x-kind'] as RequestKindId,
      claim:
        key === undefined
          ? null
          : {idempotencyKey: key, digest: digest(raw.body)},
      requestFingerprint: digestRequest(raw, organisation),
    },
  };
}

/** Digests what repeats of a request have in common. */
function digestRequest(
  {method, url, body}: RawRequest,
  organisation: string,
): FingerprintId {
  const target = JSON.stringify([method, url]);
  const digest = createHmac('sha256', organisation)
    .update(target)
    .update(createHash('sha256').update(body).digest())
    .digest('hex');
  return formatRequestFingerprint(digest.slice(0, FINGERPRINT_LENGTH));
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

function digest(content: string | Buffer): string {
  return createHash('sha256').update(content).digest('base64url');
}

function describe(part: string, error: z.ZodError): string {
  const issue = error.issues[0]!;
  return `${part} ${issue.path.join('.')}: ${issue.message}`;
}
