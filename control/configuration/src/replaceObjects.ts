import {isDeepStrictEqual} from 'node:util';

import type {CommandRefusal, ConfigurationChange} from './changes.js';
import {checkObject, listReferences} from './checkObject.js';
import type {ConfigurationLookup} from './lookup.js';
import {formatObjectKey} from './objects.js';
import type {ConfigurationObject, ObjectKey, ObjectKind} from './objects.js';

/** The kinds of object that a configuration replacement contains. */
export const REPLACED_KINDS: readonly ObjectKind[] = [
  'tier',
  'organisation',
  'endpointSet',
  'requestKind',
  'route',
  'release',
];

/**
 * Checks the objects of a whole configuration. Returns why they cannot replace
 * the current one, if they cannot.
 */
export function checkReplacement(
  objects: readonly ConfigurationObject[],
): CommandRefusal | undefined {
  const wanted = toTable(objects);
  for (const [key, object] of wanted) {
    if (!REPLACED_KINDS.includes(object.kind)) {
      return {kind: 'invalidValue', key, reason: 'it cannot be replaced'};
    }
    const reason = checkObject(object);
    if (reason !== undefined) {
      return {kind: 'invalidValue', key, reason};
    }
    const missing = listReferences(object).find(to => !wanted.has(to));
    if (missing !== undefined) {
      return {kind: 'brokenReference', key, missing};
    }
  }
  return (
    checkDistinctKeys(objects, wanted) ??
    checkUnique(objects, 'host and path', listHostPaths) ??
    checkUnique(objects, 'key', listCallerKeys)
  );
}

/**
 * Lists the changes that replace the current configuration by a whole new one.
 * Equal objects keep their revision. The leadership of a deleted set is deleted
 * with it.
 */
export function planReplacement(
  lookup: ConfigurationLookup,
  objects: readonly ConfigurationObject[],
): readonly ConfigurationChange[] {
  const wanted = toTable(objects);
  const changes: ConfigurationChange[] = [];
  for (const kind of REPLACED_KINDS) {
    for (const key of lookup.listKind(kind)) {
      if (!wanted.has(key)) {
        changes.push(
          {kind: 'delete', key},
          ...listOrphanedLeaderships(lookup, key),
        );
      }
    }
  }
  for (const [key, object] of wanted) {
    const current = lookup.get(key);
    const revision = current?.revision ?? 0;
    if (!isDeepStrictEqual(current, {...object, revision})) {
      changes.push({kind: 'put', object: {...object, revision: revision + 1}});
    }
  }
  return changes;
}

function toTable(
  objects: readonly ConfigurationObject[],
): ReadonlyMap<ObjectKey, ConfigurationObject> {
  return new Map(
    objects.map(object => [formatObjectKey(object.kind, object.id), object]),
  );
}

function listOrphanedLeaderships(
  lookup: ConfigurationLookup,
  key: ObjectKey,
): readonly ConfigurationChange[] {
  return [...lookup.listReferrers(key)]
    .filter(referrer => lookup.get(referrer)?.kind === 'setLeadership')
    .map(referrer => ({kind: 'delete', key: referrer}));
}

/** Checks that keys are distinct; otherwise the last duplicate would win. */
function checkDistinctKeys(
  objects: readonly ConfigurationObject[],
  wanted: ReadonlyMap<ObjectKey, ConfigurationObject>,
): CommandRefusal | undefined {
  if (wanted.size === objects.length) {
    return undefined;
  }
  const keys = objects.map(({kind, id}) => formatObjectKey(kind, id));
  const key = keys.find((each, index) => keys.indexOf(each) < index)!;
  return {kind: 'invalidValue', key, reason: 'it is named twice'};
}

/** Checks that no two objects have a value in common. */
function checkUnique(
  objects: readonly ConfigurationObject[],
  name: string,
  listValues: (object: ConfigurationObject) => readonly string[],
): CommandRefusal | undefined {
  const owners = new Map<string, ObjectKey>();
  for (const object of objects) {
    const key = formatObjectKey(object.kind, object.id);
    for (const value of listValues(object)) {
      const owner = owners.get(value);
      if (owner !== undefined) {
        const reason = `it shares a ${name} with ${owner}`;
        return {kind: 'invalidValue', key, reason};
      }
      owners.set(value, key);
    }
  }
  return undefined;
}

function listHostPaths(object: ConfigurationObject): readonly string[] {
  return object.kind === 'route' ? [`${object.host}${object.pathPrefix}`] : [];
}

function listCallerKeys(object: ConfigurationObject): readonly string[] {
  return object.kind === 'organisation' ? (object.keys ?? []) : [];
}
