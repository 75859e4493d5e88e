import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  AssignedAddresses,
  EntryController,
} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {pickAddresses} from './pickAddresses.js';

/** How long a caller may use the addresses assigned to it. */
export const ADDRESS_LIFETIME_MS: Milliseconds = 2_000;

/** Creates the controller that answers address lookups. */
export function createLookupController(): EntryController {
  return defineEntryController<
    'control' | 'assignedAddresses',
    'assignedAddresses'
  >({
    name: 'lookups',
    reads: ['control', 'assignedAddresses'],
    writes: ['assignedAddresses'],
    observes: ['addressesRequested'],
    run: ({observation, board}, now) => {
      if (observation?.kind !== 'addressesRequested') {
        return [];
      }
      const {correlation, organisation, set} = observation;
      const assigned = readAssigned(board.assignedAddresses, now);
      const selected = pickAddresses({
        entries: board.control.directory.entries,
        organisation,
        set,
        assignedCounts: assigned.counts,
      });
      const addresses = selected.map(entry => entry.address);
      return [
        {
          kind: 'set',
          section: 'assignedAddresses',
          value: countAssigned(assigned, addresses[0]?.node),
        },
        {
          kind: 'effect',
          effect: {
            kind: 'answerAddresses',
            correlation,
            lifetimeMs: ADDRESS_LIFETIME_MS,
            addresses,
          },
        },
      ];
    },
  });
}

/** Returns the counts; they restart at zero after `ADDRESS_LIFETIME_MS`. */
function readAssigned(
  assigned: AssignedAddresses,
  now: TurnTime,
): AssignedAddresses {
  return now.monotonic - assigned.since < ADDRESS_LIFETIME_MS
    ? assigned
    : {since: now.monotonic, counts: new Map()};
}

function countAssigned(
  assigned: AssignedAddresses,
  node: NodeId | undefined,
): AssignedAddresses {
  if (node === undefined) {
    return assigned;
  }
  const counts = new Map(assigned.counts);
  counts.set(node, (counts.get(node) ?? 0) + 1);
  return {...assigned, counts};
}
