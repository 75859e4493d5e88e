import type {
  ConfigurationObject,
  ConfigurationTable,
  ObjectKey,
  ObjectKind,
} from './objects.js';
import {listReferences} from './checkObject.js';

/** Finds configuration objects by key, by kind and by reference. */
export interface ConfigurationLookup {
  get(key: ObjectKey): ConfigurationObject | undefined;
  /** Lists the keys of the objects that refer to an object. */
  listReferrers(key: ObjectKey): Iterable<ObjectKey>;
  /** Lists the keys of the objects of a kind. */
  listKind(kind: ObjectKind): Iterable<ObjectKey>;
}

/** Creates a lookup that scans the whole table, for small tables only. */
export function createTableLookup(
  table: ConfigurationTable,
): ConfigurationLookup {
  const listKeys = (
    matches: (object: ConfigurationObject) => boolean,
  ): readonly ObjectKey[] =>
    [...table].filter(([, object]) => matches(object)).map(([key]) => key);
  return {
    get: key => table.get(key),
    listReferrers: key =>
      listKeys(object => listReferences(object).includes(key)),
    listKind: kind => listKeys(object => object.kind === kind),
  };
}
