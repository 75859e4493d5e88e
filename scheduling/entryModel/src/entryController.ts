import {defineController} from '@gentianshunt/board';
import type {AnyController, Controller, Write} from '@gentianshunt/board';

import type {EntryObservation} from './observation.js';
import type {EntryEffect} from './effect.js';
import type {EntrySections} from './sections.js';

/** A controller of an entry's board. */
export type EntryController = AnyController<
  EntrySections,
  EntryObservation,
  EntryEffect
>;

/** A write that an entry's controller with the named sections may return. */
export type EntryWrite<Writes extends keyof EntrySections> = Write<
  EntrySections,
  Writes,
  EntryEffect
>;

/** Defines a controller of an entry's board. */
export function defineEntryController<
  Reads extends keyof EntrySections,
  Writes extends keyof EntrySections,
>(
  controller: Controller<
    EntrySections,
    EntryObservation,
    EntryEffect,
    Reads,
    Writes
  > & {readonly observes: readonly EntryObservation['kind'][]},
): EntryController {
  return defineController<
    EntrySections,
    EntryObservation,
    EntryEffect,
    Reads,
    Writes
  >(controller);
}
