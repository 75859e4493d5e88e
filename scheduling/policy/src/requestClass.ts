import type {
  Identifier,
  OrganisationId,
  RequestKindId,
} from '@gentianshunt/identifiers';

/** Names a class of requests whose callers share patience statistics. */
export type RequestClass = Identifier<'requestClass'>;

/** The attributes that determine the class of a request. */
export interface ClassAttributes {
  readonly organisation: OrganisationId;
  readonly kind: RequestKindId;
  readonly promptTokens: number;
}

/** Returns the class of an organisation's requests of a kind and length. */
export function toRequestClass(attributes: ClassAttributes): RequestClass {
  const length = Math.round(
    Math.log2(Math.max(1, attributes.promptTokens)) / 2,
  );
  return `${attributes.organisation}/${attributes.kind}/${length}` as RequestClass;
}

/** Returns the class of all requests of a kind. */
export function toGeneralClass({kind}: ClassAttributes): RequestClass {
  return `/${kind}` as RequestClass;
}
