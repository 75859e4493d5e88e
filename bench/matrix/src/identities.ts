import type {Milliseconds} from '@gentianshunt/clock';
import {DEFAULT_LOG_BOUNDS} from '@gentianshunt/controlModel';
import type {ControlIdentity} from '@gentianshunt/controlModel';
import type {EntryIdentity} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {StorageId} from '@gentianshunt/messages';

import type {FakeProcess} from './fakeProcess.js';

/** Node names of the control daemons of every cell. */
export const CONTROL_IDS = ['control-0', 'control-1', 'control-2'] as const;
/** Node names of the entries of every cell. */
export const ENTRY_IDS = ['entry-0', 'entry-1', 'entry-2'] as const;

const HOST = '127.0.0.1';
const RELEASE_APPLY_MS: Milliseconds = 2_000;

/** Creates the identity of an entry in its current incarnation. */
export function createEntryIdentity(process: FakeProcess): EntryIdentity {
  const port = Number(process.id.split('-')[1]);
  return {
    address: {
      node: toIdentifier(process.id),
      domain: toIdentifier('a'),
      region: toIdentifier('local'),
      peer: {host: HOST, port},
      http: {host: HOST, port},
    },
    incarnation: toIdentifier(`${process.id}.${process.incarnation}`),
    controlNodes: CONTROL_IDS.map(id => toIdentifier(id)),
  };
}

/** Creates the identity of a control daemon in its current incarnation. */
export function createControlIdentity(
  process: FakeProcess,
  storage: StorageId,
): ControlIdentity {
  return {
    node: toIdentifier(process.id),
    storage,
    bootstrapMembers: CONTROL_IDS.map(id => toIdentifier(id)),
    admission: {kind: 'listed'},
    seed: Number(process.id.split('-')[1]) * 1_000 + process.incarnation,
    releaseApplyMs: RELEASE_APPLY_MS,
    logBounds: DEFAULT_LOG_BOUNDS,
  };
}
