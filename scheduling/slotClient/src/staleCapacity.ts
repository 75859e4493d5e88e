/**
 * Compares the capacity that a set leader counts as occupied by this entry with
 * what the entry occupies.
 */
import type {BoardView, TurnTime} from '@gentianshunt/board';
import {iterateRunning, iterateSlots} from '@gentianshunt/entryModel';
import type {
  DemandReport,
  DemandReportingState,
  EntrySections,
  GrantReply,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

/**
 * Fraction of an entry's equal part of a set's capacity. If more became free
 * than that, other entries need it.
 */
export const STALE_CAPACITY_FRACTION = 0.5;

type CapacitySections = Pick<
  BoardView<EntrySections>,
  'control' | 'knownEndpoints' | 'running' | 'slots'
>;

/** Counts the capacity that a demand report says this entry occupies. */
export function countReported({running, unspent}: DemandReport): number {
  return [...running, ...unspent].reduce((sum, {count}) => sum + count, 0);
}

/** Counts the slots that a grant reply adds. */
export function countGranted({grants}: GrantReply): number {
  return grants.reduce((sum, {count}) => sum + count, 0);
}

/**
 * Returns whether so much of the capacity that the leader counts as occupied is
 * free that other entries may be waiting for it.
 */
export function isCapacityStale(
  board: CapacitySections,
  {set, held}: DemandReportingState,
  now: TurnTime,
): boolean {
  const freed = held - countOccupied(board, set, now);
  const threshold = STALE_CAPACITY_FRACTION * computeEqualPart(board, set);
  return freed >= Math.max(1, threshold);
}

function countOccupied(
  {running, slots}: CapacitySections,
  set: EndpointSetId,
  now: TurnTime,
): number {
  let occupied = 0;
  for (const {value} of iterateRunning(running, set)) {
    occupied += value.count;
  }
  for (const {value} of iterateSlots(slots, set)) {
    occupied += value.deadline > now.monotonic ? value.remaining : 0;
  }
  return occupied;
}

function computeEqualPart(
  {control, knownEndpoints}: CapacitySections,
  set: EndpointSetId,
): number {
  const endpoints = knownEndpoints.get(set)?.endpoints ?? [];
  const capacity = endpoints.reduce((sum, item) => sum + item.concurrency, 0);
  return capacity / Math.max(1, control.directory.entries.length);
}
