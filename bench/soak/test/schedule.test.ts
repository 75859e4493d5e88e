import t from 'tap';

import {planSchedule} from '../src/index.js';

function createOptions(seed: number) {
  return {
    seed,
    durationMs: 1_800_000,
    coreVms: 3,
    plainVms: 6,
    firstVersion: 7,
    settleMs: 7_000,
  };
}

t.test('the same seed gives the same schedule', async t => {
  t.same(planSchedule(createOptions(3)), planSchedule(createOptions(3)));
  t.notSame(planSchedule(createOptions(3)), planSchedule(createOptions(4)));
});

t.test('a long schedule contains every kind of action and fault', async t => {
  const actions = planSchedule(createOptions(1)).map(({action}) => action);
  t.same([...new Set(actions.map(({kind}) => kind))].sort(), [
    'changeSettings',
    'configure',
    'faultLink',
    'kill',
    'killCore',
    'pause',
    'reload',
    'sendBodies',
    'terminate',
  ]);
  const faults = actions.map(action =>
    action.kind === 'faultLink' ? action.fault : '',
  );
  t.equal(new Set(faults.filter(fault => fault !== '')).size, 6);
});

t.test('a link fault is between two VMs; times increase', async t => {
  const events = planSchedule(createOptions(2));
  for (const {action} of events) {
    if (action.kind === 'faultLink') {
      t.not(action.from, action.to);
    }
  }
  t.ok(events.every(({at}, index) => at >= (events[index - 1]?.at ?? 0)));
});
