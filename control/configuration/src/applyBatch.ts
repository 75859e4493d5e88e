import {assertNever} from '@gentianshunt/errors';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import type {
  BatchResult,
  CommandRefusal,
  ConfigurationChange,
  ObjectCommand,
  ObjectPatch,
} from './changes.js';
import {createDraftLookup} from './draftLookup.js';
import type {DraftLookup} from './draftLookup.js';
import type {ConfigurationLookup} from './lookup.js';
import {formatObjectKey} from './objects.js';
import type {ConfigurationObject, ObjectKey} from './objects.js';
import {checkObject, listReferences} from './checkObject.js';

/** Maximum number of commands in one batch. */
export const MAX_BATCH_LENGTH = 1_000;

/** A batch of commands and the configuration that it applies to. */
export interface ApplyBatchOptions {
  readonly lookup: ConfigurationLookup;
  readonly commands: readonly ObjectCommand[];
  /** Sets that cannot be deleted because they have endpoints. */
  readonly setsInUse: readonly EndpointSetId[];
}

/**
 * Computes the changes that a batch makes, or why it is refused. The lookup
 * itself is not changed.
 */
export function applyBatch(options: ApplyBatchOptions): BatchResult {
  const {lookup, commands, setsInUse} = options;
  if (commands.length > MAX_BATCH_LENGTH) {
    return {
      kind: 'refused',
      refusal: {kind: 'batchTooLong', limit: MAX_BATCH_LENGTH},
    };
  }
  const draft = createDraftLookup(lookup);
  for (const command of commands) {
    const refusal = applyCommand(draft, command);
    if (refusal !== undefined) {
      return {kind: 'refused', refusal};
    }
  }
  removeOrphanedLeaderships(draft);
  const refusal = checkDraft(draft, new Set(setsInUse));
  return refusal === undefined
    ? {kind: 'accepted', changes: [...draft.changed].map(toChange)}
    : {kind: 'refused', refusal};
}

function toChange([key, object]: [
  ObjectKey,
  ConfigurationObject | null,
]): ConfigurationChange {
  return object === null ? {kind: 'delete', key} : {kind: 'put', object};
}

function applyCommand(
  draft: DraftLookup,
  command: ObjectCommand,
): CommandRefusal | undefined {
  const key = readKey(command);
  const current = draft.get(key);
  const revision = current?.revision ?? 0;
  const expected = command.expectedRevision;
  if (expected !== null && expected !== revision) {
    return {kind: 'revisionMismatch', key, expected, current: revision};
  }
  switch (command.kind) {
    case 'put':
      return putObject(draft, key, command.object, revision);
    case 'update':
      return current === undefined
        ? {kind: 'notFound', key}
        : putObject(draft, key, applyPatch(current, command.patch), revision);
    case 'order':
      return putOrder(draft, key, command, revision);
    case 'delete':
      if (current === undefined) {
        return {kind: 'notFound', key};
      }
      if (isIssued(current)) {
        return {kind: 'orderUnderWay', key};
      }
      if (current.kind === 'setLeadership') {
        return {kind: 'invalidValue', key, reason: SYSTEM_OBJECT_REASON};
      }
      draft.set(key, null);
      return undefined;
    default:
      return assertNever(command, 'applyCommand');
  }
}

const SYSTEM_OBJECT_REASON = 'the system keeps this object itself';

function putObject(
  draft: DraftLookup,
  key: ObjectKey,
  object: ConfigurationObject,
  revision: number,
): CommandRefusal | undefined {
  const isSystemObject =
    object.kind === 'setLeadership' || object.kind === 'endpointOrder';
  const reason = isSystemObject ? SYSTEM_OBJECT_REASON : checkObject(object);
  if (reason !== undefined) {
    return {kind: 'invalidValue', key, reason};
  }
  draft.set(key, {...object, revision: revision + 1});
  return undefined;
}

/** Queues an order, replacing an earlier one that is queued or ended. */
function putOrder(
  draft: DraftLookup,
  key: ObjectKey,
  command: Extract<ObjectCommand, {readonly kind: 'order'}>,
  revision: number,
): CommandRefusal | undefined {
  if (isIssued(draft.get(key))) {
    return {kind: 'orderUnderWay', key};
  }
  draft.set(key, {
    kind: 'endpointOrder',
    id: command.endpoint,
    revision: revision + 1,
    directive: command.directive,
    state: {kind: 'queued'},
  });
  return undefined;
}

function isIssued(object: ConfigurationObject | undefined): boolean {
  return object?.kind === 'endpointOrder' && object.state.kind === 'issued';
}

function readKey(command: ObjectCommand): ObjectKey {
  switch (command.kind) {
    case 'put':
      return formatObjectKey(command.object.kind, command.object.id);
    case 'update':
      return formatObjectKey(command.patch.kind, command.patch.id);
    case 'order':
      return formatObjectKey('endpointOrder', command.endpoint);
    case 'delete':
      return command.key;
    default:
      return assertNever(command, 'readKey');
  }
}

/**
 * Applies a patch to an object. Both are of the same kind, since the object was
 * found by the kind and identifier of the patch.
 */
function applyPatch(
  current: ConfigurationObject,
  patch: ObjectPatch,
): ConfigurationObject {
  const next = {...current, ...patch.fields} as ConfigurationObject;
  return current.kind === 'organisation' && next.kind === 'organisation'
    ? {...next, limits: {...current.limits, ...next.limits}}
    : next;
}

/** Deletes the leadership objects of deleted sets. */
function removeOrphanedLeaderships(draft: DraftLookup): void {
  for (const [key, object] of [...draft.changed]) {
    if (object !== null) {
      continue;
    }
    for (const referrer of draft.listReferrers(key)) {
      if (draft.get(referrer)?.kind === 'setLeadership') {
        draft.set(referrer, null);
      }
    }
  }
}

function checkDraft(
  draft: DraftLookup,
  setsInUse: ReadonlySet<EndpointSetId>,
): CommandRefusal | undefined {
  for (const [key, object] of draft.changed) {
    const refusal =
      object === null
        ? checkDeleted(draft, key, setsInUse)
        : checkReferences(draft, object);
    if (refusal !== undefined) {
      return refusal;
    }
  }
  return checkTiers(draft);
}

function checkReferences(
  draft: DraftLookup,
  object: ConfigurationObject,
): CommandRefusal | undefined {
  const missing = listReferences(object).find(
    reference => draft.get(reference) === undefined,
  );
  if (missing === undefined) {
    return undefined;
  }
  const key = formatObjectKey(object.kind, object.id);
  return {kind: 'brokenReference', key, missing};
}

function checkDeleted(
  draft: DraftLookup,
  key: ObjectKey,
  setsInUse: ReadonlySet<EndpointSetId>,
): CommandRefusal | undefined {
  for (const by of draft.listReferrers(key)) {
    return {kind: 'stillReferenced', key, by};
  }
  const inUse = [...setsInUse].some(
    set => formatObjectKey('endpointSet', set) === key,
  );
  return inUse ? {kind: 'setInUse', key} : undefined;
}

/** Checks that tiers have distinct ranks and that at least one remains. */
function checkTiers(draft: DraftLookup): CommandRefusal | undefined {
  const areTiersChanged = [...draft.changed.keys()].some(key =>
    key.startsWith('tier/'),
  );
  if (!areTiersChanged) {
    return undefined;
  }
  const byRank = new Map<number, ObjectKey>();
  for (const key of draft.listKind('tier')) {
    const tier = draft.get(key);
    if (tier?.kind !== 'tier') {
      continue;
    }
    const taken = byRank.get(tier.rank);
    if (taken !== undefined) {
      return {kind: 'rankTaken', key, rank: tier.rank, by: taken};
    }
    byRank.set(tier.rank, key);
  }
  if (byRank.size > 0) {
    return undefined;
  }
  const [key] = draft.changed.keys();
  return {kind: 'lastTier', key: key!};
}
