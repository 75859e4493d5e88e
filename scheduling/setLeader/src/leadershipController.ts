import type {Milliseconds} from '@gentianshunt/clock';
import {formatObjectKey, listObjects} from '@gentianshunt/configuration';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {EntryController, EntryWrite} from '@gentianshunt/entryModel';

/** How long a slot may be used after it was granted. */
export const SLOT_LIFETIME_MS: Milliseconds = 2_000;

/** Creates the controller that tells which sets this entry leads. */
export function createLeadershipController(): EntryController {
  return defineEntryController<
    'identity' | 'configuration' | 'leaderships',
    'leaderships'
  >({
    name: 'leadership',
    reads: ['identity', 'configuration', 'leaderships'],
    writes: ['leaderships'],
    observes: [],
    run: (view, now) => {
      const {identity, configuration, leaderships} = view.board;
      const writes: EntryWrite<'leaderships'>[] = [];
      for (const object of listObjects(configuration, 'setLeadership')) {
        const led = leaderships.get(object.id);
        const own = object.node === identity.address.node;
        if (own && led?.epoch !== object.epoch) {
          writes.push({
            kind: 'put',
            section: 'leaderships',
            key: object.id,
            value: {
              set: object.id,
              epoch: object.epoch,
              grantsFrom:
                object.epoch === 1
                  ? now.monotonic
                  : now.monotonic + SLOT_LIFETIME_MS,
            },
          });
        }
      }
      for (const set of leaderships.keys()) {
        const object = configuration.get(formatObjectKey('setLeadership', set));
        const own =
          object?.kind === 'setLeadership' &&
          object.node === identity.address.node;
        if (!own) {
          writes.push({kind: 'delete', section: 'leaderships', key: set});
        }
      }
      return writes;
    },
  });
}
