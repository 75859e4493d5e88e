import type {WaitingLine} from '@gentianshunt/entryModel';
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import t from 'tap';

import {allocateSlots} from '../src/index.js';
import type {
  AllocationInput,
  EndpointCapacity,
  EntryLine,
  ShareState,
} from '../src/index.js';

function createEndpoint(
  changes: Partial<EndpointCapacity> = {},
): EndpointCapacity {
  return {
    target: {endpoint: 'e1' as EndpointId, url: 'http://127.0.0.1:1'},
    concurrency: 10,
    occupied: 0,
    rate: 30,
    ...changes,
  };
}

function createLine(changes: Partial<WaitingLine> = {}): EntryLine {
  const line: WaitingLine = {
    rank: 1,
    organisation: 'lab' as OrganisationId,
    count: 20,
    ready: 20,
    readyEarly: 20,
    costMs: 100,
    score: 1,
    expected: 0,
    oldestWaitMs: 10,
    ...changes,
  };
  return {node: 'entry1' as NodeId, line};
}

function createShare(organisation: string): ShareState {
  return {
    organisation: organisation as OrganisationId,
    weight: 1,
    virtualTime: 0,
  };
}

function createInput(changes: Partial<AllocationInput> = {}): AllocationInput {
  return {
    endpoints: [createEndpoint()],
    lines: [createLine()],
    shares: [createShare('lab')],
    ...changes,
  };
}

t.test('a higher tier takes every place it can use', async t => {
  const lines = [createLine({rank: 2}), createLine({rank: 1, count: 7})];
  const {slots} = allocateSlots(createInput({lines}));
  t.same(
    slots.map(({rank}) => rank),
    [1, 1, 1, 1, 1, 1, 1, 2, 2, 2],
  );
});

t.test('shares within a tier are counted in cost', async t => {
  const lines = [
    createLine({costMs: 300}),
    createLine({organisation: 'grid' as OrganisationId, costMs: 100}),
  ];
  const shares = [createShare('lab'), createShare('grid')];
  const endpoints = [createEndpoint({concurrency: 8})];
  const {slots} = allocateSlots(createInput({lines, shares, endpoints}));
  t.equal(slots.filter(slot => slot.organisation === 'lab').length, 2);
  t.equal(slots.filter(slot => slot.organisation === 'grid').length, 6);
});

t.test('requests that are held take only ample room', async t => {
  const lines = [createLine({ready: 0, readyEarly: 0})];
  t.equal(allocateSlots(createInput({lines})).slots.length, 5);
});

t.test('no endpoint gets more than its places', async t => {
  const endpoints = [createEndpoint({occupied: 9})];
  t.equal(allocateSlots(createInput({endpoints})).slots.length, 1);
});
