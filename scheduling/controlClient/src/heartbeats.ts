// When an entry sends heartbeats, and to which control daemons.
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {isIsolated, iterateEndpoints} from '@gentianshunt/entryModel';
import type {ControlStatus} from '@gentianshunt/entryModel';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import type {EntryToControl} from '@gentianshunt/messages';

import type {ControlView, ControlWrite} from './controlSections.js';
import {
  addHeartbeat,
  measureAge,
  measureSilence,
  sortByLeastAsked,
} from './heartbeatRecord.js';

/** Time between two heartbeats to the leading control daemon. */
export const HEARTBEAT_INTERVAL_MS: Milliseconds = 500;
/**
 * Time between two heartbeats while the first is not answered; a slow link is
 * not filled with heartbeats. Shorter than twice the interval, since timers may
 * fire early.
 */
const UNANSWERED_INTERVAL_MS: Milliseconds = 950;
/** Most heartbeats of an entry in any second. */
export const MAX_HEARTBEATS_PER_SECOND = 8;
/** Heartbeats to the leader in a second, which are never put off. */
const REGULAR_HEARTBEATS_PER_SECOND = 2;
const SECOND_MS: Milliseconds = 1_000;
/**
 * Shortest silence of the leader after which another daemon is asked too; less
 * than an interval, since timers may fire early.
 */
export const MIN_HEDGE_DELAY_MS: Milliseconds = 450;
/** Longest such silence; it leaves time to find a leader within a lease. */
export const MAX_HEDGE_DELAY_MS: Milliseconds = 1_000;
/** Daemons asked by the first heartbeats, and by later ones without a leader. */
const FIRST_ASKED = 3;
const ASKED_WITHOUT_LEADER = 2;
/** The silence in round trips. */
const HEDGE_ROUND_TRIPS = 2;

/**
 * Sends the heartbeats that are due at the interval: one to the known leader,
 * unless a recent one is on its way, and some to other daemons if the leader has
 * been silent or is unknown.
 */
export function sendHeartbeats(
  view: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const status = view.board.control;
  const {leader} = status;
  const asked =
    leader !== null && isHeartbeatDue(status, leader, now)
      ? addSent(status, leader, now)
      : status;
  const value = listOthersDue(view, asked, now).reduce(
    (before, node) => addSent(before, node, now),
    asked,
  );
  return [
    {kind: 'set', section: 'control', value},
    ...listNew(status, value).map(each => createHeartbeat(view, each)),
    {
      kind: 'effect',
      effect: {
        kind: 'setTimer',
        timer: {kind: 'heartbeat'},
        delayMs: HEARTBEAT_INTERVAL_MS,
      },
    },
  ];
}

/**
 * Follows a leader that another node names, and sends it a heartbeat at once
 * unless too many were sent lately.
 */
export function followLeader(
  view: ControlView,
  status: ControlStatus,
  leader: NodeId,
  now: TurnTime,
): readonly ControlWrite[] {
  const followed = {...status, leader};
  const value = canSendMore(status, now)
    ? addSent(followed, leader, now)
    : followed;
  return [
    {kind: 'set', section: 'control', value},
    ...listNew(status, value).map(each => createHeartbeat(view, each)),
  ];
}

/**
 * Tells the leader at once that this entry is isolated, or no longer, unless too many
 * heartbeats were sent lately.
 */
export function sendEarlyHeartbeat(
  view: ControlView,
  now: TurnTime,
): readonly ControlWrite[] {
  const {control, identity, reach} = view.board;
  const {leader, directory} = control;
  const listed = directory.entries.find(
    ({address}) => address.node === identity.address.node,
  );
  const isKnown = (listed?.isIsolated ?? false) === isIsolated(reach);
  return leader === null || isKnown
    ? []
    : followLeader(view, control, leader, now);
}

function addSent(
  status: ControlStatus,
  to: NodeId,
  sentAt: TurnTime,
): ControlStatus {
  const sequence = status.lastSequence + 1;
  const heartbeats = addHeartbeat(status.heartbeats, {sequence, to, sentAt});
  return {...status, lastSequence: sequence, heartbeats};
}

function listNew(
  {lastSequence}: ControlStatus,
  {heartbeats}: ControlStatus,
): ControlStatus['heartbeats'] {
  return heartbeats.filter(({sequence}) => sequence > lastSequence);
}

/** Returns whether the latest heartbeat to the leader is answered, or old. */
function isHeartbeatDue(
  {heartbeats}: ControlStatus,
  leader: NodeId,
  now: TurnTime,
): boolean {
  const latest = heartbeats.filter(({to}) => to === leader).at(-1);
  return (
    latest === undefined ||
    latest.answer.kind !== 'none' ||
    measureAge(latest, now) >= UNANSWERED_INTERVAL_MS
  );
}

/** Returns whether another daemon is to be asked beside the leader. */
function isHedgeDue(status: ControlStatus, now: TurnTime): boolean {
  const {leader, heartbeats} = status;
  if (leader === null) {
    return true;
  }
  const silentMs = measureSilence(heartbeats, leader, now);
  return silentMs >= computeHedgeDelayMs(status) && canSendMore(status, now);
}

/** Computes the silence of the leader after which another daemon is asked. */
function computeHedgeDelayMs({roundTripMs}: ControlStatus): Milliseconds {
  const wanted = HEDGE_ROUND_TRIPS * (roundTripMs ?? 0);
  return Math.min(MAX_HEDGE_DELAY_MS, Math.max(MIN_HEDGE_DELAY_MS, wanted));
}

function canSendMore({heartbeats}: ControlStatus, now: TurnTime): boolean {
  const latest = heartbeats.filter(each => measureAge(each, now) < SECOND_MS);
  return (
    latest.length < MAX_HEARTBEATS_PER_SECOND - REGULAR_HEARTBEATS_PER_SECOND
  );
}

/**
 * Lists the daemons to ask beside the leader. Without a leader, several are asked
 * at once, since each of them tells the entry when it learns of one.
 */
function listOthersDue(
  {board}: ControlView,
  status: ControlStatus,
  now: TurnTime,
): readonly NodeId[] {
  const {leader, heartbeats, lastSequence} = status;
  if (!isHedgeDue(status, now)) {
    return [];
  }
  const others = sortByLeastAsked(
    board.controlNodes.filter(node => node !== leader),
    heartbeats,
    lastSequence + 1,
  );
  if (leader !== null) {
    return others.slice(0, 1);
  }
  const isFirst = heartbeats.length === 0;
  return others.slice(0, isFirst ? FIRST_ASKED : ASKED_WITHOUT_LEADER);
}

function createHeartbeat(
  view: ControlView,
  {to, sequence}: ControlStatus['heartbeats'][number],
): ControlWrite {
  const {identity, service, control, reach} = view.board;
  const message: EntryToControl = {
    kind: 'entryHeartbeat',
    entry: identity.address,
    incarnation: identity.incarnation,
    sequence,
    version: control.version,
    directoryVersion: control.directory.version,
    draining: service.kind === 'draining',
    isIsolated: isIsolated(reach),
    setsInUse: listSetsInUse(view),
  };
  return {kind: 'effect', effect: {kind: 'sendControl', to, message}};
}

/** Lists the led sets that have endpoints. */
function listSetsInUse(view: ControlView): readonly EndpointSetId[] {
  const {leaderships, endpoints} = view.board;
  return [...leaderships.keys()].filter(set => {
    const [first] = iterateEndpoints(endpoints, set);
    return first !== undefined;
  });
}
