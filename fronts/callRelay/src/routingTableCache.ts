import type {BoardView} from '@gentianshunt/board';
import type {EntrySections} from '@gentianshunt/entryModel';
import {createRoutingTable} from '@gentianshunt/routing';
import type {RoutingTable} from '@gentianshunt/routing';

/** Rebuilds the routing table only when the configuration has changed. */
export function createRoutingTableCache(
  view: BoardView<EntrySections>,
): () => RoutingTable {
  let version = -1;
  let table = createRoutingTable(new Map());
  return () => {
    if (view.control.version !== version) {
      version = view.control.version;
      table = createRoutingTable(view.configuration);
    }
    return table;
  };
}
