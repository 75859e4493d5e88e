import {BOUNDS, RECOVER_MS} from '../src/index.js';
import type {FinalFault, RecordedEvent} from '../src/index.js';
import {checkCases} from './checkCases.js';
import {
  createOrderSent,
  createRead,
  createVersion,
} from './configurationFixture.js';
import {CALM, VMS} from './historyFixture.js';

/** The time at which the VMs are back. */
const BACK = CALM + 200;
const ALL_KILLED: FinalFault = {
  kind: 'allKilled',
  lostDisk: null,
  hindrance: {kind: 'none'},
};
const SLOW_LINKS: FinalFault = {
  kind: 'allKilled',
  lostDisk: null,
  hindrance: {kind: 'slowLinks', vm: 'plain-1'},
};
const STAND_STILL: FinalFault = {
  kind: 'allKilled',
  lostDisk: null,
  hindrance: {kind: 'standStill', duty: {runMs: 200, stopMs: 300}},
};
const DISK_LOST: FinalFault = {kind: 'diskLost', lostDisk: 'core-1'};
/** How long reads take in the fixture. */
const READ_MS = 10;

function createFault(
  fault: FinalFault,
  vms: readonly string[],
): readonly RecordedEvent[] {
  return [
    ...createVersion(CALM, 9),
    {at: CALM, kind: 'finalFaultInjected', fault},
    ...vms.map((vm, index): RecordedEvent => {
      const pid = 100 + index;
      return {at: BACK, kind: 'vmStarted', vm, cause: 'scheduled', pid};
    }),
  ];
}

function createReads(
  afterMs: number,
  version: number,
  digest?: string,
): readonly RecordedEvent[] {
  const options = digest === undefined ? {} : {digest};
  return VMS.map(vm =>
    createRead(BACK + afterMs - READ_MS, version, {...options, vm}),
  );
}

const twice = 2 * BOUNDS.contactMs;

checkCases('readBack', [
  {
    name: 'the newest version in time at all VMs',
    events: [...createFault(ALL_KILLED, VMS), ...createReads(twice, 9)],
    violations: 0,
    excused: 0,
  },
  {
    name: 'the newest version too late at all VMs',
    events: [...createFault(ALL_KILLED, VMS), ...createReads(twice + 1, 9)],
    violations: 5,
    excused: 0,
  },
  {
    name: 'later than usual at the VM whose links are slow',
    events: [...createFault(SLOW_LINKS, VMS), ...createReads(twice + 1, 9)],
    violations: 4,
    excused: 0,
  },
  {
    name: 'within the recovery time while all stand still in turns',
    events: [...createFault(STAND_STILL, VMS), ...createReads(RECOVER_MS, 9)],
    violations: 0,
    excused: 0,
  },
  {
    name: 'after the recovery time while all stand still in turns',
    events: [
      ...createFault(STAND_STILL, VMS),
      ...createReads(RECOVER_MS + 1, 9),
    ],
    violations: 5,
    excused: 0,
  },
  {
    name: 'no configuration at one VM',
    events: [
      ...createFault(ALL_KILLED, VMS),
      ...createReads(1_000, 9).slice(1),
    ],
    violations: 1,
    excused: 0,
  },
  {
    name: 'an older version',
    events: [
      ...createVersion(CALM - 5_000, 8),
      ...createFault(ALL_KILLED, VMS),
      ...createReads(1_000, 8),
    ],
    violations: 5,
    excused: 0,
  },
  {
    name: 'other content than was sent under the version',
    events: [
      ...createFault(ALL_KILLED, VMS),
      ...createReads(1_000, 9, 'other'),
    ],
    violations: 5,
    excused: 0,
  },
  {
    name: 'a newer version that got no answer',
    events: [
      createOrderSent(CALM - 20, 10),
      ...createFault(ALL_KILLED, VMS),
      ...createReads(1_000, 10),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'one lost disk, in time',
    events: [
      ...createFault(DISK_LOST, ['core-1']),
      ...createReads(BOUNDS.contactMs, 9),
    ],
    violations: 0,
    excused: 0,
  },
  {
    name: 'one lost disk, too late',
    events: [
      ...createFault(DISK_LOST, ['core-1']),
      ...createReads(BOUNDS.contactMs + 1, 9),
    ],
    violations: 5,
    excused: 0,
  },
  {
    name: 'no final fault',
    events: [...createVersion(CALM, 9)],
    violations: 0,
    excused: 0,
  },
]);
