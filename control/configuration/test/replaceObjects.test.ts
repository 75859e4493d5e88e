import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  checkReplacement,
  createTableLookup,
  formatObjectKey,
  planReplacement,
} from '../src/index.js';
import type {
  ConfigurationObject,
  ObjectKey,
  Organisation,
  Route,
} from '../src/index.js';

function createRoute(changes: Partial<Route> = {}): Route {
  return {
    kind: 'route',
    id: toIdentifier('r1'),
    revision: 0,
    host: 'a.example',
    pathPrefix: '/x/',
    requestKind: toIdentifier('once'),
    tier: toIdentifier('first'),
    shares: [{set: toIdentifier('s1'), weight: 1}],
    maxAttempts: 1,
    timeoutMs: 1_000,
    objectiveMs: 100,
    patienceMs: 1_000,
    isAnonymous: false,
    isResumable: false,
    isStream: false,
    ...changes,
  };
}

function createOrganisation(id: string, key: string): Organisation {
  return {
    kind: 'organisation',
    id: toIdentifier(id),
    revision: 0,
    weight: 1,
    tiers: [toIdentifier('first')],
    limits: {maxRunning: null, maxRequestsPerSecond: null},
    keys: [key],
  };
}

/** Creates a valid whole configuration with additional objects. */
function createObjects(
  ...extra: readonly ConfigurationObject[]
): readonly ConfigurationObject[] {
  return [
    {
      kind: 'tier',
      id: toIdentifier('first'),
      revision: 0,
      rank: 2,
      weight: 1,
      firstTokenTargetMs: 100,
      objective: 0.9,
    },
    {
      kind: 'requestKind',
      id: toIdentifier('once'),
      revision: 0,
      idempotent: false,
      weight: 1,
      isUnclaimed: true,
    },
    {
      kind: 'endpointSet',
      id: toIdentifier('s1'),
      revision: 0,
      region: toIdentifier('local'),
      service: {kind: 'plain', service: 's1'},
    },
    ...extra,
  ];
}

function toTable(objects: readonly ConfigurationObject[]) {
  return new Map<ObjectKey, ConfigurationObject>(
    objects.map(object => [formatObjectKey(object.kind, object.id), object]),
  );
}

const refusedRows: readonly {
  readonly name: string;
  readonly extra: readonly ConfigurationObject[];
  readonly kind: string;
}[] = [
  {
    name: 'a route to an unknown endpoint set',
    extra: [createRoute({shares: [{set: toIdentifier('s2'), weight: 1}]})],
    kind: 'brokenReference',
  },
  {
    name: 'weights that add up to 0',
    extra: [createRoute({shares: [{set: toIdentifier('s1'), weight: 0}]})],
    kind: 'invalidValue',
  },
  {
    name: 'a timeout of 0',
    extra: [createRoute({timeoutMs: 0})],
    kind: 'invalidValue',
  },
  {
    name: 'a path prefix without a final slash',
    extra: [createRoute({pathPrefix: '/x'})],
    kind: 'invalidValue',
  },
  {
    name: 'two routes with the same host and path prefix',
    extra: [createRoute(), createRoute({id: toIdentifier('r2')})],
    kind: 'invalidValue',
  },
  {
    name: 'two routes with the same identifier',
    extra: [createRoute(), createRoute({pathPrefix: '/y/'})],
    kind: 'invalidValue',
  },
  {
    name: 'two organisations with the same caller key',
    extra: [createOrganisation('o1', 'k'), createOrganisation('o2', 'k')],
    kind: 'invalidValue',
  },
  {
    name: 'an object that operators cannot write',
    extra: [
      {
        kind: 'setLeadership',
        id: toIdentifier('s1'),
        revision: 0,
        node: toIdentifier('e1'),
        epoch: 1,
      },
    ],
    kind: 'invalidValue',
  },
];

for (const {name, extra, kind} of refusedRows) {
  t.test(`refused: ${name}`, async t => {
    t.equal(checkReplacement(createObjects(...extra))?.kind, kind);
  });
}

t.test('a valid configuration is accepted', async t => {
  const organisation = createOrganisation('o1', 'k');
  t.equal(
    checkReplacement(createObjects(createRoute(), organisation)),
    undefined,
  );
});

t.test(
  'only different objects change, and a set is deleted with its leadership',
  async t => {
    const leadership: ConfigurationObject = {
      kind: 'setLeadership',
      id: toIdentifier('s0'),
      revision: 3,
      node: toIdentifier('e1'),
      epoch: 3,
    };
    const oldSet: ConfigurationObject = {
      kind: 'endpointSet',
      id: toIdentifier('s0'),
      revision: 1,
      region: toIdentifier('local'),
      service: {kind: 'plain', service: 's0'},
    };
    const before = createObjects(createRoute({timeoutMs: 500})).map(object => ({
      ...object,
      revision: 4,
    }));
    const lookup = createTableLookup(toTable([...before, oldSet, leadership]));
    const changes = planReplacement(lookup, createObjects(createRoute()));
    t.same(
      changes.map(change =>
        change.kind === 'put'
          ? `put ${change.object.kind} ${change.object.revision}`
          : `delete ${change.key}`,
      ),
      ['delete endpointSet/s0', 'delete setLeadership/s0', 'put route 5'],
    );
  },
);
