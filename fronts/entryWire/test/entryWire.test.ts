import {formatQuotaAccount, toFingerprint} from '@gentianshunt/entryModel';
import type {EntryMessage} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {
  EndpointId,
  EndpointSetId,
  NodeId,
  OrganisationId,
  PromptPartId,
  RequestId,
  SoftwareVersion,
} from '@gentianshunt/identifiers';
import fc from 'fast-check';
import t from 'tap';

import {
  decodeEntryMessage,
  encodeEntryMessage,
  MalformedMessageError,
} from '../src/index.js';

const SEED = 11;
const PEER = 'entry-1';

function createMessages(): readonly EntryMessage[] {
  const target = {
    endpoint: toIdentifier<EndpointId>('e1'),
    url: 'http://10.0.0.1:80',
    software: toIdentifier<SoftwareVersion>('v1'),
  };
  const organisation = toIdentifier<OrganisationId>('o1');
  const account = formatQuotaAccount(organisation, 0);
  const countedSlots = {endpoint: target.endpoint, organisation, count: 3};
  const set = toIdentifier<EndpointSetId>('drafts');
  const part = toFingerprint(toIdentifier('5c1e07a2'));
  const request = toFingerprint(toIdentifier('request.0b1c2d'));
  const quarantine = {
    fingerprint: part,
    set,
    revision: 4,
    ageMs: 30,
    level: 2,
    crashes: 3,
    reporters: 2,
  };
  return [
    {
      kind: 'demandReport',
      report: {
        set,
        epoch: 3,
        sequence: 1_700_000_000_000,
        waiting: [
          {
            rank: 1,
            organisation,
            count: 2,
            ready: 1,
            readyEarly: 2,
            costMs: 80,
            score: 0.25,
            expected: 4,
            oldestWaitMs: 17,
            objectiveMs: 508,
            part: toIdentifier<PromptPartId>('5c1e07a2'),
          },
        ],
        running: [countedSlots],
        unspent: [{...countedSlots, rank: 2}],
        rates: [{endpoint: target.endpoint, decodeMsPerToken: 31.5, ageMs: 40}],
        meanRunning: 2.25,
        roundTripMs: 40,
      },
    },
    {
      kind: 'quotaRequest',
      request: {
        account,
        set,
        epoch: 3,
        sequence: 1_700_000_000_001,
        request: toIdentifier<RequestId>('q1'),
        rank: 4,
        tokens: 3_000,
        used: [
          {ageMs: 750, tokens: 900},
          {ageMs: 0, tokens: 3_000},
        ],
        coversMs: 8_000,
      },
    },
    {kind: 'quotaUsageQuery', set, epoch: 3},
    {
      kind: 'endpointLimitsReported',
      set,
      limits: [
        {
          endpoint: toIdentifier<EndpointId>('e1'),
          perSecond: 2.8,
          rejectionsPerSecond: null,
          ageMs: 4,
        },
        {
          endpoint: toIdentifier<EndpointId>('e2'),
          perSecond: null,
          rejectionsPerSecond: null,
          ageMs: 0,
        },
      ],
    },
    {
      kind: 'brokenRunsReported',
      set,
      runs: [
        {
          endpoint: toIdentifier<EndpointId>('e1'),
          ageMs: 12,
          progress: 'awaitingFirstEvent',
          suspects: [
            {fingerprint: part, lasting: 1.5, recent: 0.5},
            {fingerprint: request, lasting: 0, recent: 0},
          ],
        },
        {
          endpoint: toIdentifier<EndpointId>('e1'),
          ageMs: 0,
          progress: 'delivering',
          suspects: [],
        },
      ],
    },
    {
      kind: 'soundUseReported',
      uses: [
        {fingerprint: part, lasting: 0.25, recent: 0, isUnderQuarantine: true},
      ],
    },
    {
      kind: 'quarantinesReported',
      isReplyRequested: true,
      quarantines: [
        {...quarantine, state: {kind: 'held', startsInMs: 5, remainingMs: 9}},
        {
          ...quarantine,
          state: {
            kind: 'testing',
            tester: toIdentifier<NodeId>('entry-1'),
            remainingMs: 9,
          },
        },
        {
          ...quarantine,
          fingerprint: request,
          state: {kind: 'lifted', remainingMs: 0},
        },
      ],
    },
    {kind: 'quarantineTestRequested', fingerprint: request.id},
    {
      kind: 'streamOriginsReported',
      origins: [
        {
          attempt: toIdentifier('a b/c'),
          set: toIdentifier('drafts'),
          software: toIdentifier<SoftwareVersion>('v2'),
        },
        {
          attempt: toIdentifier('a2'),
          set: toIdentifier('drafts'),
          software: null,
        },
      ],
      isAwaited: true,
    },
    {kind: 'streamOriginsReported', origins: [], isAwaited: false},
    {
      kind: 'streamOriginsKept',
      attempts: [toIdentifier('a b/c'), toIdentifier('a2')],
    },
    {kind: 'streamOriginsRequested', set: toIdentifier('drafts')},
    {
      kind: 'streamOriginRequested',
      request: toIdentifier('a3'),
      attempt: toIdentifier<RequestId>('a2'),
      set: toIdentifier('drafts'),
    },
    {
      kind: 'streamOriginRequested',
      request: toIdentifier('a3'),
      attempt: null,
      set: toIdentifier('drafts'),
    },
    {
      kind: 'streamOriginAnswered',
      request: toIdentifier('a3'),
      origin: {software: null},
      vote: {
        seen: [null, toIdentifier<SoftwareVersion>('v2')],
        unreported: {kind: 'begun', software: null},
        isKeeper: true,
        isComplete: false,
      },
    },
    {
      kind: 'streamOriginAnswered',
      request: toIdentifier('a3'),
      origin: null,
      vote: {
        seen: [],
        unreported: {kind: 'none'},
        isKeeper: false,
        isComplete: true,
      },
    },
    {
      kind: 'streamOriginAnswered',
      request: toIdentifier('a3'),
      origin: null,
      vote: {
        seen: [],
        unreported: {kind: 'unsure'},
        isKeeper: false,
        isComplete: true,
      },
    },
    {kind: 'softwareHistoryRequested', set: toIdentifier('drafts')},
    {
      kind: 'softwareHistoryReported',
      set: toIdentifier('drafts'),
      history: null,
    },
    {
      kind: 'softwareHistoryReported',
      set: toIdentifier('drafts'),
      history: {
        ageMs: 40_000,
        isDoubted: true,
        sole: {software: toIdentifier<SoftwareVersion>('v2'), ageMs: 7},
        software: [
          {software: toIdentifier<SoftwareVersion>('v2'), ageMs: 0},
          {software: null, ageMs: 300},
        ],
      },
    },
    {
      kind: 'endpointLeft',
      endpoint: toIdentifier<EndpointId>('e1'),
      left: {kind: 'named', incarnation: toIdentifier('p1')},
      isConfirmationRequested: true,
    },
    {
      kind: 'leaveConfirmed',
      endpoint: toIdentifier<EndpointId>('e1'),
      left: {kind: 'numbered', startedAtMs: 1_700_000_000_000},
    },
    {
      kind: 'withdrawalsRequested',
      request: 1,
      after: null,
      digest: -5,
      own: {process: toIdentifier('p1'), version: 0},
    },
    {
      kind: 'withdrawalsRequested',
      request: 2,
      after: {process: toIdentifier('p2'), version: 7},
      digest: 5,
      own: {process: toIdentifier('p1'), version: 3},
    },
    {
      kind: 'withdrawalsReported',
      request: 2,
      position: {process: toIdentifier('p2'), version: 9},
      isComplete: true,
      isCurrent: false,
      withdrawals: [
        {
          endpoint: toIdentifier<EndpointId>('e1'),
          state: 'left',
          incarnation: {kind: 'numbered', startedAtMs: 1_700_000_000_000},
          remainingMs: 9,
        },
        {
          endpoint: toIdentifier<EndpointId>('e2'),
          state: 'returned',
          incarnation: {kind: 'named', incarnation: toIdentifier('p1')},
          remainingMs: 9,
        },
      ],
    },
    {
      kind: 'quotaUsageReport',
      report: {
        set,
        epoch: 3,
        uses: [
          {account, sequence: 12, used: [{ageMs: 0, tokens: 7}]},
          {
            account: formatQuotaAccount(toIdentifier<OrganisationId>('o2'), 1),
            sequence: 1,
            used: [],
          },
        ],
        coversMs: 750,
      },
    },
    {
      kind: 'quotaDecision',
      decision: {
        account,
        epoch: 3,
        sequence: 1_700_000_000_001,
        request: toIdentifier<RequestId>('q1'),
        isCovered: false,
        retryAfterMs: 250,
        spareTokens: 0,
        usedTokens: 90_000,
        limitTokens: 89_000,
      },
    },
    {
      kind: 'grantReply',
      reply: {
        set,
        epoch: 3,
        sequence: 9,
        part: 1,
        reportAgeMs: 4,
        lifetimeMs: 2_000,
        grants: ['drafts.3.9.1.0', 'drafts.3.9.1.12'].map(id => ({
          id: toIdentifier(id),
          rank: 1,
          organisation,
          target,
          count: 2,
        })),
        shed: [{rank: 3, organisation, count: 1, retryAfterMs: 900}],
        open: {targets: [target], limit: 2, reportIntervalMs: 400},
        waitingRank: 2,
        obstacle: 'noEndpoints',
      },
    },
    {kind: 'notSetLeader', set, epoch: 0, sequence: 9},
    {
      kind: 'endpointAnnounced',
      announcement: {
        ...target,
        incarnation: toIdentifier('p1'),
        set,
        domain: toIdentifier('a'),
        concurrency: 8,
        checksFencing: true,
        load: {running: 1, waiting: 0, ageMs: 20},
        leaving: false,
      },
    },
  ];
}

for (const message of createMessages()) {
  t.test(`${message.kind} is unchanged by encoding and decoding`, async t => {
    t.same(decodeEntryMessage(encodeEntryMessage(message), PEER), message);
  });

  t.test(`${message.kind} with a damaged item is rejected`, async t => {
    const items = encodeEntryMessage(message);
    for (let index = 0; index < items.length; index += 1) {
      const invalid = items.map((item, at) => (at === index ? null : item));
      t.throws(() => decodeEntryMessage(invalid, PEER), MalformedMessageError);
      t.throws(
        () => decodeEntryMessage(items.slice(0, index), PEER),
        MalformedMessageError,
      );
    }
  });
}

t.test('any other body is rejected with a MalformedMessageError', async t => {
  fc.assert(
    fc.property(fc.anything(), body => {
      try {
        decodeEntryMessage(body, PEER);
        return false;
      } catch (error) {
        return (
          error instanceof MalformedMessageError && error.origin.peer === PEER
        );
      }
    }),
    {seed: SEED},
  );
  t.pass();
});

t.test('a grant reply of an earlier version names no obstacle', async t => {
  const message = createMessages().find(({kind}) => kind === 'grantReply')!;
  const items = encodeEntryMessage(message);
  const state = items.at(-1) as readonly unknown[];
  const earlier = [...items.slice(0, -1), state.slice(0, 1)];
  t.match(decodeEntryMessage(earlier, PEER), {
    reply: {waitingRank: 2, obstacle: null},
  });
});
