import {toIdentifier} from '@gentianshunt/identifiers';
import type {RequestId} from '@gentianshunt/identifiers';
import t from 'tap';

import {createStreamVersionsFixture} from './streamVersionsFixture.js';
import type {StreamVersionsFixture} from './streamVersionsFixture.js';

/** Long enough for a new leader's first grants and a caught-up entry. */
const SETTLE_MS = 5_000;
const STREAMS = 24;
const OLD = {id: 'old-0', software: 'v1'};
const OTHER_OLD = {id: 'old-1', software: 'v1'};
const NEW = {id: 'new-0', software: 'v2'};
const OTHER_NEW = {id: 'new-1', software: 'v2'};
const MIXED = [OLD, OTHER_OLD, NEW, OTHER_NEW];

/** Creates entries in front of endpoints, by default of two versions. */
function createMixed(endpoints = MIXED, entries = 4): StreamVersionsFixture {
  const fixture = createStreamVersionsFixture(entries);
  fixture.setEndpoints(endpoints);
  fixture.advance(SETTLE_MS);
  return fixture;
}

function listNames(prefix: string, count = STREAMS): readonly string[] {
  return Array.from({length: count}, (_, index) => `${prefix}${index}`);
}

t.test('a broken stream goes on at the version that began it', async t => {
  const fixture = createMixed();
  const names = listNames('q');
  names.forEach((name, index) => fixture.send(index % 4, name));
  fixture.advance(500);
  names.forEach(fixture.startAnswer);
  names.forEach(fixture.breakAnswer);
  fixture.advance(500);
  const versions = names.map(name => fixture.listSoftware(name));
  const joined = versions.filter(([began, next]) => began !== next);
  t.same(joined, []);
  t.ok(
    versions.every(list => list.length === 2),
    'all go on',
  );
  t.equal(new Set(versions.flat()).size, 2, 'both versions serve');
});

/** Starts streams at all entries; returns what began each of them. */
function startStreams(
  fixture: StreamVersionsFixture,
  names: readonly string[],
): readonly unknown[] {
  names.forEach((name, index) => fixture.send(index % 4, name));
  fixture.advance(500);
  names.forEach(fixture.startAnswer);
  fixture.advance(500);
  return names.map(name => fixture.listSoftware(name)[0]);
}

/** Callers take streams up at an entry, each by a new attempt. */
function takeUp(
  fixture: StreamVersionsFixture,
  names: readonly string[],
  entry: number,
): readonly string[] {
  const attempts = names.map(name => `${name}-again`);
  attempts.forEach((attempt, index) =>
    fixture.send(entry, attempt, {
      attempt: toIdentifier<RequestId>(names[index]!),
    }),
  );
  fixture.advance(1_000);
  return attempts;
}

t.test('a stream taken up goes on at the version that began it', async t => {
  const fixture = createMixed();
  const names = listNames('q');
  const began = startStreams(fixture, names);
  fixture.kill(1);
  const attempts = takeUp(fixture, names, 2);
  const next = attempts.map(attempt => fixture.listSoftware(attempt)[0]);
  t.same(next, began);
  t.equal(new Set(began).size, 2, 'both versions serve');
});

t.test('a stream is found although the first questions are lost', async t => {
  const fixture = createMixed(MIXED, 12);
  const names = listNames('q');
  const began = startStreams(fixture, names);
  fixture.loseMessages(9, 80);
  const attempts = takeUp(fixture, names, 9);
  const next = attempts.map(attempt => fixture.listSoftware(attempt)[0]);
  t.same(next, began);
});

t.test('streams of a version are not joined after the loss of all', async t => {
  const fixture = createMixed([OLD, OTHER_OLD]);
  const names = listNames('q');
  startStreams(fixture, names);
  fixture.setEndpoints([NEW, OTHER_NEW]);
  fixture.restart([0, 1, 2, 3]);
  fixture.advance(4_000);
  const attempts = takeUp(fixture, names, 2);
  t.same(
    attempts.flatMap(attempt => fixture.listSoftware(attempt)),
    [],
  );
  t.same(
    new Set(attempts.flatMap(attempt => fixture.listRefusals(attempt))),
    new Set(['streamOriginUnknown notRun']),
  );
});

t.test('a stream of the only version goes on after one restart', async t => {
  const fixture = createMixed([OLD, OTHER_OLD]);
  const warmUp = listNames('w', STREAMS / 2);
  startStreams(fixture, warmUp);
  warmUp.forEach(fixture.endAnswer);
  fixture.advance(60_000);
  const names = listNames('q', STREAMS / 2);
  startStreams(fixture, names);
  fixture.restart([1]);
  fixture.advance(SETTLE_MS);
  names.forEach(fixture.endAnswer);
  const attempts = takeUp(fixture, names, 1);
  const next = attempts.map(attempt => fixture.listSoftware(attempt)[0]);
  t.same(new Set(next), new Set(['v1']));
});

t.test('a stream whose version is gone does not go on', async t => {
  const fixture = createMixed();
  const names = listNames('q');
  const began = startStreams(fixture, names);
  fixture.setEndpoints([NEW, OTHER_NEW]);
  fixture.advance(SETTLE_MS);
  names.forEach(fixture.endAnswer);
  const attempts = takeUp(fixture, names, 3);
  const next = attempts.map(attempt => fixture.listSoftware(attempt)[0]);
  t.same(
    next,
    began.map(software => (software === 'v2' ? 'v2' : undefined)),
  );
});

t.test('a caller that names no attempt gets no other version', async t => {
  const fixture = createMixed();
  startStreams(fixture, listNames('q'));
  fixture.send(1, 'unnamed', {attempt: null});
  fixture.advance(1_000);
  t.same(fixture.listSoftware('unnamed'), []);
  t.same(fixture.listRefusals('unnamed'), ['streamOriginUnknown notRun']);
});

// Guards against an entry that guesses from what it knew before it was out of step.
t.test(
  'an entry that was cut off joins no streams of two versions',
  async t => {
    const fixture = createMixed([OLD, OTHER_OLD], 12);
    fixture.send(9, 'w');
    fixture.advance(500);
    fixture.startAnswer('w');
    fixture.endAnswer('w');
    fixture.advance(60_000);
    fixture.loseMessages(9, 8_000);
    fixture.setEndpoints(MIXED);
    fixture.advance(SETTLE_MS);
    const names = listNames('q');
    const began = startStreams(fixture, names);
    t.equal(new Set(began).size, 2, 'both versions serve');
    const attempts = takeUp(fixture, names, 9);
    fixture.advance(2_500);
    const joined = attempts.filter((attempt, index) =>
      fixture.listSoftware(attempt).some(next => next !== began[index]),
    );
    t.same(joined, []);
  },
);
