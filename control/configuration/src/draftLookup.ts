import type {ConfigurationLookup} from './lookup.js';
import type {ConfigurationObject, ObjectKey} from './objects.js';
import {listReferences} from './checkObject.js';

/** A lookup that overlays uncommitted changes on another one. */
export interface DraftLookup extends ConfigurationLookup {
  /** The changed objects; `null` marks a deleted one. */
  readonly changed: ReadonlyMap<ObjectKey, ConfigurationObject | null>;
  set(key: ObjectKey, object: ConfigurationObject | null): void;
}

/**
 * Creates a draft without changes. Its memory grows with the changes, not with
 * the size of the base.
 */
export function createDraftLookup(base: ConfigurationLookup): DraftLookup {
  const changed = new Map<ObjectKey, ConfigurationObject | null>();
  const listMerged = (
    keys: Iterable<ObjectKey>,
    matches: (object: ConfigurationObject) => boolean,
  ): readonly ObjectKey[] => {
    const found = [...keys].filter(key => !changed.has(key));
    for (const [key, object] of changed) {
      if (object !== null && matches(object)) {
        found.push(key);
      }
    }
    return found;
  };
  return {
    changed,
    set: (key, object) => changed.set(key, object),
    get: key => {
      const drafted = changed.get(key);
      return drafted === undefined ? base.get(key) : (drafted ?? undefined);
    },
    listReferrers: key =>
      listMerged(base.listReferrers(key), object =>
        listReferences(object).includes(key),
      ),
    listKind: kind =>
      listMerged(base.listKind(kind), object => object.kind === kind),
  };
}
