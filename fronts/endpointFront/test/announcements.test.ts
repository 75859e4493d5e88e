import type {EntryObservation} from '@gentianshunt/entryModel';
import * as fc from 'fast-check';
import {fastify} from 'fastify';
import type {FastifyInstance} from 'fastify';
import t from 'tap';

import {createEndpointFront} from '../src/index.js';

const SEED = 20_261_204;
const ROUTE = '/v1/endpoints/announce';

interface Fixture {
  readonly server: FastifyInstance;
  readonly observations: readonly EntryObservation[];
  announce(body: string): Promise<number>;
}

function createFixture(): Fixture {
  const server = fastify();
  const observations: EntryObservation[] = [];
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_request, body, done) => done(null, body),
  );
  createEndpointFront({
    server,
    post: observation => observations.push(observation),
    findLeader: () => undefined,
  });
  return {
    server,
    observations,
    announce: async payload => {
      const headers = {'content-type': 'application/json'};
      const reply = await server.inject({
        method: 'POST',
        url: ROUTE,
        headers,
        payload,
      });
      return reply.statusCode;
    },
  };
}

function createAnnouncement(change: object = {}): object {
  return {
    endpoint: 'engine-0',
    incarnation: 'p1',
    set: 'drafts',
    domain: 'a',
    url: 'http://127.0.0.1:8000',
    concurrency: 8,
    ...change,
  };
}

const BAD_ANNOUNCEMENTS: readonly (readonly [string, object])[] = [
  ['a name with a slash', {endpoint: 'a/b'}],
  ['an empty set', {set: ''}],
  ['a URL that is not HTTP', {url: 'file:///etc/hosts'}],
  ['no concurrency', {concurrency: 0}],
  ['too high a concurrency', {concurrency: 1e9}],
  ['a concurrency that is not an integer', {concurrency: 1.5}],
  ['an unknown field', {token: 'x'}],
  ['a negative load', {load: {running: -1, waiting: 0, ageMs: 0}}],
  ['a load without its age', {load: {running: 0, waiting: 0}}],
];

t.test('invalid announcements are refused', async t => {
  const {announce, observations} = createFixture();
  for (const [name, change] of BAD_ANNOUNCEMENTS) {
    const body = JSON.stringify(createAnnouncement(change));
    t.equal(await announce(body), 400, name);
  }
  t.equal(await announce('{'), 400, 'broken JSON');
  t.strictSame(observations, []);
});

t.test('a valid announcement is posted with its defaults', async t => {
  const {announce, observations} = createFixture();
  t.equal(await announce(JSON.stringify(createAnnouncement())), 200);
  t.strictSame(observations, [
    {
      kind: 'endpointContact',
      announcement: createAnnouncement({
        checksFencing: false,
        leaving: false,
        load: null,
      }),
    },
  ]);
});

t.test('arbitrary announcements are accepted or refused', async t => {
  const {announce} = createFixture();
  const changes = fc.dictionary(
    fc.constantFrom('endpoint', 'set', 'url', 'concurrency', 'load', 'x'),
    fc.jsonValue(),
  );
  const bodies = fc.oneof(
    fc.string({minLength: 1}),
    fc.json(),
    changes.map(change => JSON.stringify(createAnnouncement(change))),
  );
  await fc.assert(
    fc.asyncProperty(bodies, async body => {
      t.ok([200, 400].includes(await announce(body)));
    }),
    {seed: SEED, numRuns: 200},
  );
});
