/** What operators decide on quarantines. */
import type {TurnTime} from '@gentianshunt/board';
import type {ObjectKey} from '@gentianshunt/configuration';

import {putQuarantine} from './quarantineDecisions.js';
import {createLift} from './quarantineRules.js';
import type {
  QuarantineDraft,
  QuarantineView,
  QuarantineWrite,
} from './quarantineView.js';

/** Lifts the quarantines that an operator has lifted. */
export function handlePolicies(
  view: QuarantineView,
  draft: QuarantineDraft,
  now: TurnTime,
): readonly QuarantineWrite[] {
  const self = view.board.identity.address.node;
  return [...view.readChanges('configuration')].flatMap(key => {
    const object = view.board.configuration.get(key as ObjectKey);
    const known =
      object?.kind === 'promptPolicy' && object.state === 'lifted'
        ? draft.get(object.id)
        : undefined;
    if (known === undefined || known.state.kind === 'lifted') {
      return [];
    }
    const lift = createLift(known, true, now.monotonic);
    return putQuarantine(view, draft, lift, self, now);
  });
}
