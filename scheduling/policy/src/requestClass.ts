import type {
  Identifier,
  OrganisationId,
  RequestKindId,
} from '@gentianshunt/identifiers';

/** Names a class of requests whose callers behave alike. */
export type RequestClass = Identifier<'requestClass'>;

/** What tells the classes apart. */
export interface ClassFacts {
  readonly organisation: OrganisationId;
  readonly kind: RequestKindId;
  readonly promptTokens: number;
}

/** Makes the class of an organisation's requests of a kind and length. */
export function toRequestClass(facts: ClassFacts): RequestClass {
  const length = Math.round(Math.log2(Math.max(1, facts.promptTokens)) / 2);
  return `${facts.organisation}/${facts.kind}/${length}` as RequestClass;
}

/** Makes the class of all requests of a kind. */
export function toGeneralClass({kind}: ClassFacts): RequestClass {
  return `/${kind}` as RequestClass;
}
