import type {
  DemandReportRecord,
  ReportedFailures,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import {decideTrafficLevel} from '@gentianshunt/policy';
import t from 'tap';

import {mergeEndpointFailures} from '../src/openDemand.js';

const ENDPOINTS = 9;

/** The report of an entry that can't connect to some endpoints. */
function createRecord(
  node: string,
  unreachable: readonly number[],
  running = 1,
): DemandReportRecord {
  return {
    node: toIdentifier(node),
    receivedAt: 0,
    report: {
      set: toIdentifier('drafts'),
      epoch: 1,
      sequence: 1,
      waiting: [],
      running:
        running === 0
          ? []
          : [
              {
                endpoint: toIdentifier('engine-0'),
                organisation: toIdentifier('lab'),
                count: running,
              },
            ],
      unspent: [],
      rates: [],
      troubles: unreachable.map((index): ReportedFailures => ({
        endpoint: toIdentifier(`engine-${index}`),
        failureShare: 0.3,
        isUnreachable: true,
      })),
      meanRunning: running,
      roundTripMs: 1,
    },
  };
}

const ALL = Array.from({length: ENDPOINTS}, (_, index) => index);

function listStopped(
  records: readonly DemandReportRecord[],
): readonly string[] {
  const failures = mergeEndpointFailures(records, ENDPOINTS);
  return [...failures]
    .filter(([, each]) => decideTrafficLevel(each) !== 'full')
    .map(([endpoint]) => endpoint);
}

t.test(
  'entries that reach no endpoint switch off sound ones for all',
  async t => {
    const cutOff = ['a', 'b', 'c', 'd', 'e'].map(node =>
      createRecord(node, ALL),
    );
    const sound = ['f', 'g'].map(node => createRecord(node, []));
    t.same(listStopped([...cutOff, ...sound]), []);
  },
);

t.test('a dead endpoint is hidden by entries that are cut off', async t => {
  const cutOff = ['a', 'b', 'c'].map(node => createRecord(node, ALL));
  const others = ['f', 'g', 'h'].map(node => createRecord(node, [3]));
  t.same(listStopped([...cutOff, ...others]), ['engine-3']);
});

t.test(
  'a service whose endpoints are all dead goes on getting traffic',
  async t => {
    const records = ['a', 'b', 'c'].map(node => createRecord(node, ALL));
    t.equal(listStopped(records).length, ENDPOINTS);
    const idle = createRecord('d', [], 0);
    t.equal(listStopped([...records, idle]).length, ENDPOINTS);
  },
);
