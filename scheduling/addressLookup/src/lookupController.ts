import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController, GivenAddresses} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import {pickAddresses} from './pickAddresses.js';

/** How long a caller may keep the addresses it was given. */
export const ADDRESS_LIFETIME_MS: Milliseconds = 2_000;

/** Creates the controller that answers address lookups. */
export function createLookupController(): EntryController {
  return defineEntryController<'control' | 'givenAddresses', 'givenAddresses'>({
    name: 'lookups',
    reads: ['control', 'givenAddresses'],
    writes: ['givenAddresses'],
    observes: ['addressesRequested'],
    run: ({observation, board}, now) => {
      if (observation?.kind !== 'addressesRequested') {
        return [];
      }
      const {correlation, organisation, set} = observation;
      const given = readGiven(board.givenAddresses, now);
      const selected = pickAddresses({
        entries: board.control.directory.entries,
        organisation,
        set,
        given: given.counts,
      });
      const addresses = selected.map(entry => entry.address);
      return [
        {
          kind: 'set',
          section: 'givenAddresses',
          value: countGiven(given, addresses[0]?.node),
        },
        {
          kind: 'order',
          order: {
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

/** Counts start afresh once the addresses given before have lapsed. */
function readGiven(given: GivenAddresses, now: TurnTime): GivenAddresses {
  return now.monotonic - given.since < ADDRESS_LIFETIME_MS
    ? given
    : {since: now.monotonic, counts: new Map()};
}

function countGiven(
  given: GivenAddresses,
  node: NodeId | undefined,
): GivenAddresses {
  if (node === undefined) {
    return given;
  }
  const counts = new Map(given.counts);
  counts.set(node, (counts.get(node) ?? 0) + 1);
  return {...given, counts};
}
