/** The endpoints that a new set leader knows only from the list of its predecessor. */
import type {BoardView} from '@gentianshunt/board';
import type {EntrySections, ListedEndpoint} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

type InheritedSections = Pick<
  BoardView<EntrySections>,
  'inheritedEndpoints' | 'endpoints' | 'withdrawnEndpoints'
>;

/** Lists those that have neither announced themselves to this entry nor left. */
export function listInherited(
  board: InheritedSections,
  set: EndpointSetId,
): readonly ListedEndpoint[] {
  const inherited = board.inheritedEndpoints.get(set)?.endpoints ?? [];
  return inherited.filter(
    ({target: {endpoint}}) =>
      !board.endpoints.has({set, endpoint}) &&
      !board.withdrawnEndpoints.has(endpoint),
  );
}
