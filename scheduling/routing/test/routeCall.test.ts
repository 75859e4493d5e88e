import {formatObjectKey} from '@gentianshunt/configuration';
import type {
  ConfigurationObject,
  ConfigurationTable,
  Route,
} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {RequestId} from '@gentianshunt/identifiers';
import t from 'tap';

import {ANONYMOUS, createRoutingTable, routeCall} from '../src/index.js';
import type {CallAttributes} from '../src/index.js';

function createRoute(changes: Partial<Route>): Route {
  return {
    kind: 'route',
    id: toIdentifier('r'),
    revision: 1,
    host: 'a.example',
    pathPrefix: '/x/',
    requestKind: toIdentifier('once'),
    tier: toIdentifier('first'),
    shares: [{set: toIdentifier('s1'), weight: 1}],
    maxAttempts: 1,
    timeoutMs: 1_000,
    objectiveMs: 100,
    patienceMs: 3_000,
    isAnonymous: false,
    isResumable: false,
    isStream: false,
    ...changes,
  };
}

function createConfiguration(
  routes: readonly Route[],
  isReleased = true,
): ConfigurationTable {
  const organisations = ['lab', ANONYMOUS].map((id): ConfigurationObject => ({
    kind: 'organisation',
    id: toIdentifier(id),
    revision: 1,
    weight: 1,
    tiers: [toIdentifier('first')],
    limits: {
      maxRunning: null,
      maxRequestsPerSecond: null,
      tokens: {tokensPerSecond: 10, burstTokens: 10, defaultTokens: 200},
    },
    keys: id === 'lab' ? ['key-1'] : [],
  }));
  const release: ConfigurationObject = {
    kind: 'release',
    id: 'default',
    revision: 1,
    version: 3,
    callerLimits: null,
  };
  const objects = [
    ...routes,
    ...organisations,
    ...(isReleased ? [release] : []),
  ];
  return new Map(
    objects.map(object => [formatObjectKey(object.kind, object.id), object]),
  );
}

function createCall(changes: Partial<CallAttributes> = {}): CallAttributes {
  return {
    id: toIdentifier('q1'),
    host: 'a.example',
    path: '/x/1',
    key: 'key-1',
    timeLeftMs: 800,
    size: {promptTokens: 100, maxAnswerTokens: 20},
    prefix: null,
    promptParts: [],
    resumed: null,
    ...changes,
  };
}

function run(
  routes: readonly Route[],
  call: Partial<CallAttributes> = {},
  isReleased = true,
) {
  const configuration = createConfiguration(routes, isReleased);
  const table = createRoutingTable(configuration);
  return routeCall(table, configuration, createCall(call));
}

const refusals: readonly {
  readonly name: string;
  readonly call: Partial<CallAttributes>;
  readonly isReleased?: boolean;
  readonly reason: string;
}[] = [
  {
    name: 'no release yet',
    call: {},
    isReleased: false,
    reason: 'noConfiguration',
  },
  {name: 'another host', call: {host: 'b.example'}, reason: 'unknownRoute'},
  {name: 'another path', call: {path: '/xy/1'}, reason: 'unknownRoute'},
  {name: 'another key', call: {key: 'key-2'}, reason: 'unknownKey'},
  {name: 'no key', call: {key: null}, reason: 'unknownKey'},
];

for (const {name, call, isReleased, reason} of refusals) {
  t.test(`refused: ${name}`, async t => {
    const routed = run([createRoute({})], call, isReleased ?? true);
    t.match(routed, {kind: 'refused', reason: {kind: reason}});
  });
}

t.test('the route with the longest matching prefix is used', async t => {
  const routes = [
    createRoute({id: toIdentifier('short')}),
    createRoute({id: toIdentifier('long'), pathPrefix: '/x/y/'}),
  ];
  t.match(run(routes, {path: '/x/y/1'}), {route: {id: 'long'}});
  t.match(run(routes, {path: '/x/1'}), {route: {id: 'short'}});
});

t.test('an anonymous route accepts calls without a key', async t => {
  const routed = run([createRoute({isAnonymous: true})], {key: null});
  t.match(routed, {attributes: {organisation: ANONYMOUS}});
});

// Guards against review/9: the caller was served as if it had sent no key.
t.test('an anonymous route refuses a key that nobody has', async t => {
  const routed = run([createRoute({isAnonymous: true})], {key: 'key-2'});
  t.match(routed, {kind: 'refused', reason: {kind: 'unknownKey'}});
});

t.test('a configuration without keys ignores those of callers', async t => {
  const configuration = new Map(
    [...createConfiguration([createRoute({isAnonymous: true})])].map(
      ([key, object]) => [
        key,
        object.kind === 'release'
          ? {...object, callerKeys: 'ignored' as const}
          : object,
      ],
    ),
  );
  const table = createRoutingTable(configuration);
  t.match(routeCall(table, configuration, createCall({key: 'key-2'})), {
    attributes: {organisation: ANONYMOUS},
  });
});

t.test('the shorter of the time limits applies', async t => {
  t.match(run([createRoute({})]), {
    attributes: {routePolicy: {timeLimitMs: 800}},
  });
  t.match(run([createRoute({timeoutMs: 300})]), {
    attributes: {routePolicy: {timeLimitMs: 300, patienceMs: 300}},
  });
});

t.test(
  'a call of unknown size counts as the default tokens of the quota',
  async t => {
    t.match(run([createRoute({})]), {
      attributes: {routePolicy: {quotaTokens: 120}},
    });
    t.match(run([createRoute({})], {size: null}), {
      attributes: {routePolicy: {quotaTokens: 200}},
    });
  },
);

t.test(
  'calls are distributed over sets by weight, and one call always to the same',
  async t => {
    const route = createRoute({
      shares: [
        {set: toIdentifier('s1'), weight: 3},
        {set: toIdentifier('s2'), weight: 1},
        {set: toIdentifier('s3'), weight: 0},
      ],
    });
    const counts = new Map<string, number>();
    const calls = 2_000;
    for (let index = 0; index < calls; index += 1) {
      const routed = run([route], {id: toIdentifier(`q${index}`)});
      const set = routed.kind === 'resolved' ? routed.attributes.set : '';
      counts.set(set, (counts.get(set) ?? 0) + 1);
    }
    t.ok(Math.abs(counts.get('s1')! / calls - 0.75) < 0.05);
    t.notOk(counts.has('s3'));
    t.same(
      run([route], {id: toIdentifier('q7')}),
      run([route], {id: toIdentifier('q7')}),
    );
  },
);

t.test('a stream that is taken up stays in its set', async t => {
  const route = createRoute({
    isStream: true,
    isResumable: true,
    shares: [
      {set: toIdentifier('s1'), weight: 1},
      {set: toIdentifier('s2'), weight: 1},
    ],
  });
  const readSet = (call: Partial<CallAttributes>): string => {
    const routed = run([route], call);
    return routed.kind === 'resolved' ? routed.attributes.set : '';
  };
  const attempts = Array.from({length: 40}, (_, index) =>
    toIdentifier<RequestId>(`q${index}`),
  );
  t.same(
    attempts.map(attempt =>
      readSet({id: toIdentifier(`${attempt}-again`), resumed: {attempt}}),
    ),
    attempts.map(id => readSet({id})),
  );
  t.equal(new Set(attempts.map(id => readSet({id}))).size, 2);
});
