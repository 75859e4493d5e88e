import {createManualClock, isLeaseValid} from '@gentianshunt/clock';
import {DEFAULT_LOG_BOUNDS} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {createMessageQueue} from './messageQueueFixture.js';
import {createTestMember} from './memberFixture.js';
import type {TestMember, TestMessage} from './memberFixture.js';
import type {Random} from './randomFixture.js';

const MAX_SYNC_MS = 15;
const MAX_SEED = 2 ** 31 - 1;

/**
 * Members of an open group in virtual time, with a delay of each link and of
 * each sync. The time advances from one event to the next.
 */
export interface Cluster {
  readonly members: readonly TestMember[];
  /** The messages sent since the last call of `clearSent`. */
  readonly inFlight: readonly TestMessage[];
  clearSent(): void;
  readNow(): number;
  /** Handles all events until a time; calls back after each instant. */
  runUntil(time: number, checkInstant: () => void): void;
  /** Finds the member that leads by a valid lease. */
  findConfirmedLeader(): TestMember | undefined;
  /** Throws if two members lead by a valid lease. */
  checkOneLease(): void;
  /** Starts a process, which learns of the other nodes from its entry. */
  start(member: TestMember): void;
  /** Adds and starts a node that did not bootstrap the group. */
  join(): TestMember;
  /** Ends a member's process for good. */
  remove(member: TestMember): void;
  /** Drops all messages from and to a member, or delivers them again. */
  setCut(member: TestMember, isCut: boolean): void;
  /** Lets a process stand still, or go on with what has arrived meanwhile. */
  setFrozen(member: TestMember, isFrozen: boolean): void;
}

/** Starts the nodes that bootstrap a group. */
export function createCluster(count: number, random: Random): Cluster {
  const clock = createManualClock();
  const cut = new Set<NodeId>();
  const frozen = new Set<NodeId>();
  const syncs = new Map<TestMember, number>();
  const sent: TestMessage[] = [];
  const queue = createMessageQueue(random);
  const nodes = Array.from({length: count}, (_, index) =>
    toIdentifier<NodeId>(`control-${index}`),
  );
  const members: TestMember[] = [];
  let joined = count;

  const addMember = (node: NodeId, mayBootstrap: boolean): TestMember => {
    const member = createTestMember({
      node,
      members: nodes,
      admission: {kind: 'open', mayBootstrap},
      logBounds: DEFAULT_LOG_BOUNDS,
      clock,
      drawSeed: () => random.drawInteger(1, MAX_SEED),
      send: message => {
        sent.push(message);
        queue.add(message, clock.readMonotonic());
      },
    });
    members.push(member);
    return member;
  };
  const start = (member: TestMember): void => {
    member.start();
    const known = members.map(({node}) => node);
    member.loop!.post({kind: 'membersLearnt', members: known});
  };
  const deliver = (message: TestMessage): void => {
    if (cut.has(message.from) || cut.has(message.to)) {
      return;
    }
    members.find(({node}) => node === message.to)?.receive(message);
  };
  const isRunning = ({node, loop}: TestMember): boolean =>
    loop !== undefined && !frozen.has(node);
  const readNextEvent = (): number =>
    Math.min(
      queue.readNext(frozen),
      ...members
        .filter(isRunning)
        .map(member =>
          Math.min(member.readNextTimer(), syncs.get(member) ?? Infinity),
        ),
    );
  const hasLease = ({loop}: TestMember): boolean => {
    const leadership = loop?.view.leadership;
    const now = {
      monotonic: clock.readMonotonic(),
      wall: clock.readWallTime(),
    };
    return (
      leadership?.kind === 'leading' && isLeaseValid(leadership.lease, now)
    );
  };
  const scheduleSyncs = (): void => {
    for (const member of members) {
      if (member.listQueued().length > 0 && !syncs.has(member)) {
        const delayMs = random.drawInteger(1, MAX_SYNC_MS);
        syncs.set(member, clock.readMonotonic() + delayMs);
      }
    }
  };
  const runInstant = (): void => {
    const now = clock.readMonotonic();
    queue.takeDue(now, frozen).forEach(deliver);
    for (const member of members.filter(isRunning)) {
      member.fireDueTimers();
      if ((syncs.get(member) ?? Infinity) <= now) {
        syncs.delete(member);
        member.sync();
      }
    }
    scheduleSyncs();
  };

  nodes.map(node => addMember(node, true)).forEach(start);
  scheduleSyncs();
  return {
    members,
    inFlight: sent,
    clearSent: () => {
      sent.length = 0;
    },
    readNow: clock.readMonotonic,
    runUntil: (time, checkInstant) => {
      for (;;) {
        scheduleSyncs();
        const next = Math.max(readNextEvent(), clock.readMonotonic());
        if (next > time) {
          break;
        }
        clock.advance(next - clock.readMonotonic());
        runInstant();
        checkInstant();
      }
      clock.advance(time - clock.readMonotonic());
    },
    findConfirmedLeader: () => members.find(hasLease),
    checkOneLease: () => {
      const holders = members.filter(hasLease).map(({node}) => node);
      if (holders.length > 1) {
        throw new Error(`leader leases of ${holders.join(', ')}`);
      }
    },
    start,
    join: () => {
      const member = addMember(toIdentifier(`control-${joined}`), false);
      joined += 1;
      start(member);
      return member;
    },
    remove: member => {
      member.crash();
      syncs.delete(member);
      members.splice(members.indexOf(member), 1);
    },
    setCut: ({node}, isCut) => {
      if (isCut) {
        cut.add(node);
      } else {
        cut.delete(node);
      }
    },
    setFrozen: ({node}, isFrozen) => {
      if (isFrozen) {
        frozen.add(node);
      } else {
        frozen.delete(node);
      }
    },
  };
}
