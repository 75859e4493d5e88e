import type {BoardView} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import type {EntrySections} from '@gentianshunt/entryModel';
import type {ReadTerms} from '@gentianshunt/requestBodies';
import {routeCall} from '@gentianshunt/routing';
import type {RoutingTable} from '@gentianshunt/routing';

import type {CallHead, CallProtocol} from './callProtocol.js';

/** Terms of a call that cannot be routed: it goes after all others. */
const UNROUTED_TERMS: ReadTerms = {
  rank: Number.MAX_SAFE_INTEGER,
  timeLimitMs: 5_000,
};

/** Reads from the head of a call in which order its body is read. */
export function readCallTerms(
  protocol: CallProtocol,
  view: BoardView<EntrySections>,
  table: RoutingTable,
  head: CallHead,
): ReadTerms {
  const parsed = protocol.readCall(head);
  if (parsed.kind === 'malformed') {
    return UNROUTED_TERMS;
  }
  const {configuration} = view;
  const routed = routeCall(table, configuration, parsed.attributes);
  if (routed.kind === 'refused') {
    return UNROUTED_TERMS;
  }
  const {tier, organisation, routePolicy} = routed.attributes;
  const rank =
    findObject(configuration, 'tier', tier ?? '')?.rank ?? UNROUTED_TERMS.rank;
  const offset =
    findObject(configuration, 'organisation', organisation)?.rankOffset ?? 0;
  return {
    rank: rank + offset,
    timeLimitMs: routePolicy?.timeLimitMs ?? UNROUTED_TERMS.timeLimitMs,
  };
}
