import type {ObjectKind} from '@gentianshunt/configuration';
import {DEFAULT_WEIGHT_STORE_RATE} from '@gentianshunt/orders';

/** The type of the values of a field. */
export type ValueType =
  | {readonly kind: 'number'}
  /** A number, or `none` for no limit. */
  | {readonly kind: 'limit'}
  | {readonly kind: 'boolean'}
  | {readonly kind: 'identifier'}
  | {readonly kind: 'identifiers'}
  | {readonly kind: 'text'};

/** A field of an object type in the operators' language. */
export interface FieldSpec {
  readonly name: string;
  /** Path of the value in the configuration object. */
  readonly path: readonly string[];
  readonly valueType: ValueType;
  /** Value of the field when an object is created without it. */
  readonly initial?: unknown;
  readonly help: string;
}

/** An object type in the operators' language. */
export interface TypeSpec {
  /** Name of the type in the language; `kind` is the internal name. */
  readonly name: string;
  readonly kind: ObjectKind;
  readonly help: string;
  readonly fields: readonly FieldSpec[];
  /** Groups of fields; `create` needs exactly one field of each group. */
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
      valueType: {kind: 'number'},
      initial: 1,
      help: 'weight of its fair share of a tier relative to other organisations',
    },
    {
      name: 'tiers',
      path: ['tiers'],
      valueType: {kind: 'identifiers'},
      help: 'tiers that its requests may use; the first is the default',
    },
    {
      name: 'max-running',
      path: ['limits', 'maxRunning'],
      valueType: {kind: 'limit'},
      initial: null,
      help: 'maximum number of requests running at once, or none',
    },
    {
      name: 'max-requests-per-second',
      path: ['limits', 'maxRequestsPerSecond'],
      valueType: {kind: 'limit'},
      initial: null,
      help: 'maximum number of new requests per second, or none',
    },
  ],
};

const TIER: TypeSpec = {
  name: 'tier',
  kind: 'tier',
  help: 'A service class of requests.',
  alternatives: [],
  fields: [
    {
      name: 'rank',
      path: ['rank'],
      valueType: {kind: 'number'},
      help: 'order among the tiers; 1 is served first and shed last',
    },
    {
      name: 'weight',
      path: ['weight'],
      valueType: {kind: 'number'},
      initial: 1,
      help: 'value of an answered request relative to other tiers',
    },
    {
      name: 'first-token-target-ms',
      path: ['firstTokenTargetMs'],
      valueType: {kind: 'number'},
      initial: 1_000,
      help: 'target time to the first token, in milliseconds',
    },
    {
      name: 'objective',
      path: ['objective'],
      valueType: {kind: 'number'},
      initial: 0.95,
      help: 'fraction of requests that must meet the target',
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
      valueType: {kind: 'identifier'},
      initial: 'local',
      help: 'region of its endpoints',
    },
    {
      name: 'model',
      path: ['service', 'model'],
      valueType: {kind: 'text'},
      help: 'model that its endpoints run',
    },
    {
      name: 'service',
      path: ['service', 'service'],
      valueType: {kind: 'text'},
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
      valueType: {kind: 'boolean'},
      help: 'true if running a request more than once is safe',
    },
    {
      name: 'weight',
      path: ['weight'],
      valueType: {kind: 'number'},
      initial: 1,
      help: 'value of an answered request relative to other kinds',
    },
  ],
};

const WEIGHT_STORE: TypeSpec = {
  name: 'weight-store',
  kind: 'weightStore',
  help: 'Rate limit for loads from the weight store; its name is default.',
  alternatives: [],
  fields: [
    {
      name: 'burst',
      path: ['burst'],
      valueType: {kind: 'number'},
      initial: DEFAULT_WEIGHT_STORE_RATE.burst,
      help: 'number of loads that may start at once',
    },
    {
      name: 'loads-per-minute',
      path: ['loadsPerMinute'],
      valueType: {kind: 'number'},
      initial: DEFAULT_WEIGHT_STORE_RATE.loadsPerMinute,
      help: 'number of loads that may start per minute',
    },
  ],
};

/** The object types that operators can create, set and delete. */
export const TYPE_SPECS: readonly TypeSpec[] = [
  ORGANISATION,
  TIER,
  SET,
  KIND,
  WEIGHT_STORE,
];

/** Finds a type by its name in the language. */
export function findType(word: string): TypeSpec | undefined {
  return TYPE_SPECS.find(type => type.name === word);
}
