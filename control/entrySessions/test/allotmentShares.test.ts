import type {EntrySession} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, OrganisationId} from '@gentianshunt/identifiers';
import type {TokenDemand} from '@gentianshunt/messages';
import t from 'tap';

import {divideAllotments, sumDemands} from '../src/index.js';

const LAB = toIdentifier<OrganisationId>('lab');

function createDemand(tokensPerSecond: number): TokenDemand {
  return {organisation: LAB, tokensPerSecond};
}

/** Adds up what entries ask for, one demand each. */
function sum(demands: readonly number[]) {
  const sessions = new Map<NodeId, EntrySession>(
    demands.map((demand, index) => [
      toIdentifier(`e${index}`),
      {demands: [createDemand(demand)]} as never,
    ]),
  );
  return sumDemands(sessions);
}

const rows: readonly {
  readonly name: string;
  readonly demands: readonly number[];
}[] = [
  {name: 'equal demand', demands: [100, 100, 100]},
  {name: 'one busy entry', demands: [900, 10, 10]},
  {name: 'many entries', demands: Array.from({length: 84}, (_, i) => i + 1)},
];

for (const {name, demands} of rows) {
  t.test(`parts add up to the whole: ${name}`, async t => {
    const totals = sum(demands);
    const parts = demands.map(
      demand =>
        divideAllotments([createDemand(demand)], totals, demands.length)[0]!
          .share,
    );
    const whole = parts.reduce((left, right) => left + right, 0);
    t.ok(Math.abs(whole - 1) < 1e-9, String(whole));
    t.ok(parts.every(part => part > 0));
  });
}

t.test('the busier entry gets the larger part', async t => {
  const totals = sum([900, 100]);
  const [busy] = divideAllotments([createDemand(900)], totals, 2);
  const [calm] = divideAllotments([createDemand(100)], totals, 2);
  t.ok(busy!.share > 5 * calm!.share);
});

t.test('demand that was not added up yet gives no more than all', async t => {
  const [first] = divideAllotments([createDemand(500)], new Map(), 4);
  t.ok(first!.share <= 1);
});
