import type {BoardView, OrderedView} from '@gentianshunt/board';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {SnapshotItem, StateSnapshot} from '@gentianshunt/messages';

import {STATE_SECTIONS} from './stateSections.js';
import type {StateWrite, StateWrites} from './stateSections.js';

type SnapshotView = Pick<BoardView<ControlSections>, StateWrites>;

/** Lists the writes that rebuild the applied state on an empty board. */
export function listSnapshotItems(view: SnapshotView): readonly SnapshotItem[] {
  const items: SnapshotItem[] = [];
  for (const section of STATE_SECTIONS) {
    const content: unknown = view[section];
    if (!isTable(content)) {
      items.push({kind: 'set', section, value: content});
      continue;
    }
    for (const [key, value] of iterateTable(content)) {
      items.push({kind: 'put', section, key, value});
    }
  }
  return items;
}

/** Lists the writes that replace the applied state by a snapshot. */
export function listRestoreWrites(
  view: SnapshotView,
  snapshot: StateSnapshot,
): readonly StateWrite[] {
  const stale: StateWrite[] = [];
  for (const section of STATE_SECTIONS) {
    const content: unknown = view[section];
    if (isTable(content)) {
      for (const [key] of iterateTable(content)) {
        stale.push({kind: 'delete', section, key} as StateWrite);
      }
    }
  }
  return [...stale, ...(snapshot.items as readonly StateWrite[])];
}

type Table = ReadonlyMap<unknown, unknown> | OrderedView<unknown, unknown>;

/** Returns whether a section holds values by key; others are cells. */
function isTable(content: unknown): content is Table {
  return (
    content instanceof Map ||
    (typeof content === 'object' &&
      content !== null &&
      'iterateFrom' in content)
  );
}

function* iterateTable(
  table: Table,
): IterableIterator<readonly [unknown, unknown]> {
  if ('iterateFrom' in table) {
    for (const {key, value} of table.iterateFrom()) {
      yield [key, value];
    }
    return;
  }
  yield* table;
}
