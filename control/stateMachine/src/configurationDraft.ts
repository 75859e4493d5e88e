import {
  createMapDraft,
  createOrderedDraft,
  iterateWhile,
} from '@gentianshunt/board';
import type {MapDraft, OrderedDraft} from '@gentianshunt/board';
import {formatObjectKey, listReferences} from '@gentianshunt/configuration';
import type {
  ConfigurationChange,
  ConfigurationLookup,
  ConfigurationObject,
  ObjectKey,
} from '@gentianshunt/configuration';
import {compareKinds, compareReferences} from '@gentianshunt/controlModel';
import type {KindKey, ReferenceKey} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';

import type {StateView, StateWrite} from './stateSections.js';

/** The configuration and its indexes with the changes of the current turn. */
export interface ConfigurationDraft extends ConfigurationLookup {
  change(change: ConfigurationChange): void;
  listWrites(): readonly StateWrite[];
}

interface SectionDrafts {
  readonly objects: MapDraft<ObjectKey, ConfigurationObject>;
  readonly kinds: OrderedDraft<KindKey, true>;
  readonly references: OrderedDraft<ReferenceKey, true>;
}

/** Creates a draft without changes. */
export function createConfigurationDraft(
  board: StateView['board'],
): ConfigurationDraft {
  const drafts: SectionDrafts = {
    objects: createMapDraft(board.configuration),
    kinds: createOrderedDraft({
      view: board.objectKinds,
      compare: compareKinds,
    }),
    references: createOrderedDraft({
      view: board.references,
      compare: compareReferences,
    }),
  };
  return {
    get: drafts.objects.get,
    listKind: kind => {
      const from = {kind, object: '' as ObjectKey};
      const found = iterateWhile(drafts.kinds, from, key => key.kind === kind);
      return Array.from(found, ({key}) => key.object);
    },
    listReferrers: to => {
      const from = {to, from: '' as ObjectKey};
      const found = iterateWhile(drafts.references, from, key => key.to === to);
      return Array.from(found, ({key}) => key.from);
    },
    change: change => applyChange(drafts, change),
    listWrites: () => [
      ...drafts.objects.listWrites('configuration' as const),
      ...drafts.kinds.listWrites('objectKinds' as const),
      ...drafts.references.listWrites('references' as const),
    ],
  };
}

function applyChange(drafts: SectionDrafts, change: ConfigurationChange): void {
  switch (change.kind) {
    case 'put':
      putObject(drafts, change.object);
      return;
    case 'delete':
      removeFromIndexes(drafts, change.key);
      drafts.objects.delete(change.key);
      return;
    default:
      assertNever(change, 'applyChange');
  }
}

function putObject(drafts: SectionDrafts, object: ConfigurationObject): void {
  const key = formatObjectKey(object.kind, object.id);
  removeFromIndexes(drafts, key);
  drafts.objects.put(key, object);
  drafts.kinds.put({kind: object.kind, object: key}, true);
  for (const to of listReferences(object)) {
    drafts.references.put({to, from: key}, true);
  }
}

/** Removes an object from the indexes by kind and reference. */
function removeFromIndexes(drafts: SectionDrafts, key: ObjectKey): void {
  const object = drafts.objects.get(key);
  if (object === undefined) {
    return;
  }
  drafts.kinds.delete({kind: object.kind, object: key});
  for (const to of listReferences(object)) {
    drafts.references.delete({to, from: key});
  }
}
