/** Tracks the entries that may keep origins while streams live. */
import type {TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import type {OriginHolders} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';
import type {EntryDirectory} from '@gentianshunt/messages';

/** Records which entries have left the directory. */
export function updateHolders(
  directory: EntryDirectory,
  known: OriginHolders | null,
  memoryMs: Milliseconds,
  now: TurnTime,
): OriginHolders {
  if (known === null) {
    return {keptSince: now.monotonic, directory, departed: new Map()};
  }
  if (known.directory === directory) {
    return known;
  }
  const listed = listNodes(directory);
  const departed = [
    ...[...known.departed].filter(
      ([node, until]) => !listed.has(node) && now.monotonic - until <= memoryMs,
    ),
    ...[...listNodes(known.directory)]
      .filter(node => !listed.has(node))
      .map(node => [node, now.monotonic] as const),
  ];
  return {...known, directory, departed: new Map(departed)};
}

function listNodes({entries}: EntryDirectory): ReadonlySet<NodeId> {
  return new Set(entries.map(({address}) => address.node));
}
