import type {ObjectKind} from '@gentianshunt/configuration';
import {DEFAULT_WEIGHT_STORE_RATE} from '@gentianshunt/orders';

/** What the values of a field are. */
export type FieldForm =
  | {readonly kind: 'number'}
  /** A number, or `none` for no limit. */
  | {readonly kind: 'limit'}
  | {readonly kind: 'boolean'}
  | {readonly kind: 'identifier'}
  | {readonly kind: 'identifiers'}
  | {readonly kind: 'text'};

/** A field of an object as operators write it. */
export interface FieldSpec {
  readonly name: string;
  /** Where the value stands in the object. */
  readonly path: readonly string[];
  readonly form: FieldForm;
  /** Used when an object is created without the field. */
  readonly initial?: unknown;
  readonly help: string;
}

/** A type of object as operators write it. */
export interface TypeSpec {
  /** The word of the language. */
  readonly name: string;
  readonly kind: ObjectKind;
  readonly help: string;
  readonly fields: readonly FieldSpec[];
  /** Of each group, exactly one field is given when an object is created. */
  readonly alternatives: readonly (readonly string[])[];
}

const ORGANISATION: TypeSpec = {
  name: 'organisation',
  kind: 'organisation',
  help: 'A customer of the deployment.',
  alternatives: [],
  fields: [
    {
      name: 'weight',
      path: ['weight'],
      form: {kind: 'number'},
      initial: 1,
      help: 'share of a tier relative to other organisations',
    },
    {
      name: 'tiers',
      path: ['tiers'],
      form: {kind: 'identifiers'},
      help: 'tiers its requests may name; the first is the default',
    },
    {
      name: 'max-running',
      path: ['limits', 'maxRunning'],
      form: {kind: 'limit'},
      initial: null,
      help: 'most requests running at once, or none',
    },
    {
      name: 'max-requests-per-second',
      path: ['limits', 'maxRequestsPerSecond'],
      form: {kind: 'limit'},
      initial: null,
      help: 'most new requests a second, or none',
    },
  ],
};

const TIER: TypeSpec = {
  name: 'tier',
  kind: 'tier',
  help: 'A class of service.',
  alternatives: [],
  fields: [
    {
      name: 'rank',
      path: ['rank'],
      form: {kind: 'number'},
      help: 'order of the tiers; 1 is served first and shed last',
    },
    {
      name: 'weight',
      path: ['weight'],
      form: {kind: 'number'},
      initial: 1,
      help: 'value of an answered request relative to other tiers',
    },
    {
      name: 'first-token-target-ms',
      path: ['firstTokenTargetMs'],
      form: {kind: 'number'},
      initial: 1_000,
      help: 'time to the first token that the tier aims at',
    },
    {
      name: 'objective',
      path: ['objective'],
      form: {kind: 'number'},
      initial: 0.95,
      help: 'share of requests that must meet the target',
    },
  ],
};

const SET: TypeSpec = {
  name: 'set',
  kind: 'endpointSet',
  help: 'A named group of endpoints.',
  alternatives: [['model', 'service']],
  fields: [
    {
      name: 'region',
      path: ['region'],
      form: {kind: 'identifier'},
      initial: 'local',
      help: 'region of its endpoints',
    },
    {
      name: 'model',
      path: ['service', 'model'],
      form: {kind: 'text'},
      help: 'model that its endpoints run',
    },
    {
      name: 'service',
      path: ['service', 'service'],
      form: {kind: 'text'},
      help: 'plain service that its endpoints run',
    },
  ],
};

const KIND: TypeSpec = {
  name: 'kind',
  kind: 'requestKind',
  help: 'A kind of request.',
  alternatives: [],
  fields: [
    {
      name: 'idempotent',
      path: ['idempotent'],
      form: {kind: 'boolean'},
      help: 'true when running a request twice does no harm',
    },
    {
      name: 'weight',
      path: ['weight'],
      form: {kind: 'number'},
      initial: 1,
      help: 'weight of an answered request',
    },
  ],
};

const WEIGHT_STORE: TypeSpec = {
  name: 'weight-store',
  kind: 'weightStore',
  help: 'The rate of loads from the weight store; its name is default.',
  alternatives: [],
  fields: [
    {
      name: 'burst',
      path: ['burst'],
      form: {kind: 'number'},
      initial: DEFAULT_WEIGHT_STORE_RATE.burst,
      help: 'loads that may begin at once',
    },
    {
      name: 'loads-per-minute',
      path: ['loadsPerMinute'],
      form: {kind: 'number'},
      initial: DEFAULT_WEIGHT_STORE_RATE.loadsPerMinute,
      help: 'loads that may begin in a minute',
    },
  ],
};

/** The types of object that operators create, set and delete. */
export const TYPE_SPECS: readonly TypeSpec[] = [
  ORGANISATION,
  TIER,
  SET,
  KIND,
  WEIGHT_STORE,
];

/** Finds a type by its word. */
export function findType(name: string): TypeSpec | undefined {
  return TYPE_SPECS.find(type => type.name === name);
}
