declare const brand: unique symbol;

/** A string that the compiler distinguishes from other kinds of identifier. */
export type Identifier<Name extends string> = string & {
  readonly [brand]: Name;
};

/** Identifies one process of the system for the life of its VM. */
export type NodeId = Identifier<'node'>;
/** Identifies one start of a process. */
export type IncarnationId = Identifier<'incarnation'>;
export type OrganisationId = Identifier<'organisation'>;
/** Identifies a part of the token quota of an organisation. */
export type QuotaAccountId = Identifier<'quotaAccount'>;
export type TierId = Identifier<'tier'>;
export type EndpointSetId = Identifier<'endpointSet'>;
export type EndpointId = Identifier<'endpoint'>;
/** Identifies the software that an endpoint runs, whatever its weights. */
export type SoftwareVersion = Identifier<'softwareVersion'>;
export type RequestKindId = Identifier<'requestKind'>;
export type RouteId = Identifier<'route'>;
export type RequestId = Identifier<'request'>;
/** Identifies one dispatch of one request to one endpoint. */
export type DispatchId = Identifier<'dispatch'>;
export type GrantId = Identifier<'grant'>;
/** One handover of a request to another entry. */
export type RelayId = Identifier<'relay'>;
/** Identifies a part of prompts; requests with the same part share its text. */
export type PromptPartId = Identifier<'promptPart'>;
/** Identifies what may crash endpoints: a prompt part or a whole request. */
export type FingerprintId = Identifier<'fingerprint'>;
export type FailureDomainId = Identifier<'failureDomain'>;
export type RegionId = Identifier<'region'>;
export type OperatorId = Identifier<'operator'>;

/** Casts a string to an identifier; the caller has validated it. */
export function toIdentifier<Id extends Identifier<string>>(value: string): Id {
  return value as Id;
}

/** The longest identifier accepted from a client or peer, in characters. */
export const MAX_IDENTIFIER_LENGTH = 64;

const IDENTIFIER_FORM = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** Returns whether a string from a client or peer is a valid identifier. */
export function isIdentifier(value: string): boolean {
  return value.length <= MAX_IDENTIFIER_LENGTH && IDENTIFIER_FORM.test(value);
}
