import type {TurnTime, View} from '@gentianshunt/board';
import type {EndpointId} from '@gentianshunt/identifiers';

import type {EntryObservation} from './observation.js';
import type {EntrySections} from './sections.js';
import {toLeftIncarnation} from './withdrawal.js';
import type {LeftIncarnation} from './withdrawal.js';

type AnnouncedBoard = View<
  EntrySections,
  'announcements' | 'endpoints',
  EntryObservation
>['board'];

/**
 * Finds which incarnation an endpoint means that leaves without naming one: the
 * latest of which this entry knows, or else any that started before now.
 */
export function findLeftIncarnation(
  board: AnnouncedBoard,
  endpoint: EndpointId,
  now: TurnTime,
): LeftIncarnation {
  const [first, ...others] = listKnownIncarnations(board, endpoint);
  return first === undefined
    ? {kind: 'numbered', startedAtMs: now.wall.getTime()}
    : others.reduce(pickLater, first);
}

function listKnownIncarnations(
  {announcements, endpoints}: AnnouncedBoard,
  endpoint: EndpointId,
): readonly LeftIncarnation[] {
  const latest = announcements.get(endpoint);
  const received =
    latest?.kind === 'announced'
      ? [toLeftIncarnation(latest.announcement)]
      : latest === undefined
        ? []
        : [latest.left];
  const recorded = Array.from(endpoints.iterateFrom())
    .filter(({key}) => key.endpoint === endpoint)
    .map(({value}) => toLeftIncarnation(value.announcement));
  return [...received, ...recorded];
}

function pickLater(
  left: LeftIncarnation,
  right: LeftIncarnation,
): LeftIncarnation {
  return left.kind === 'numbered' &&
    right.kind === 'numbered' &&
    right.startedAtMs > left.startedAtMs
    ? right
    : left;
}
