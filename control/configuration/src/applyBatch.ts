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
import {listReferences, checkObject} from './checkObject.js';

/** Most steps that one batch may have. */
export const MAX_BATCH_LENGTH = 1_000;

/** What a batch is applied to. */
export interface ApplyBatchOptions {
  readonly lookup: ConfigurationLookup;
  readonly commands: readonly ObjectCommand[];
  /** Sets that have endpoints and so cannot be deleted. */
  readonly setsInUse: readonly EndpointSetId[];
}

/** Applies a batch; what it is applied to stays as it is. */
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
  dropLeaderships(draft);
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
        return {kind: 'invalidValue', key, reason: SYSTEM_OBJECT};
      }
      draft.set(key, null);
      return undefined;
    default:
      return assertNever(command, 'applyCommand');
  }
}

const SYSTEM_OBJECT = 'the system keeps this object itself';

function putObject(
  draft: DraftLookup,
  key: ObjectKey,
  object: ConfigurationObject,
  revision: number,
): CommandRefusal | undefined {
  const isOfSystem =
    object.kind === 'setLeadership' || object.kind === 'endpointOrder';
  const reason = isOfSystem ? SYSTEM_OBJECT : checkObject(object);
  if (reason !== undefined) {
    return {kind: 'invalidValue', key, reason};
  }
  draft.set(key, {...object, revision: revision + 1});
  return undefined;
}

/** A new order replaces one that is queued or ended. */
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

/** The key of the current object names the kind of the patch. */
function applyPatch(
  current: ConfigurationObject,
  patch: ObjectPatch,
): ConfigurationObject {
  const next = {...current, ...patch.fields} as ConfigurationObject;
  return current.kind === 'organisation' && next.kind === 'organisation'
    ? {...next, limits: {...current.limits, ...next.limits}}
    : next;
}

/** A set's leader goes with the set. */
function dropLeaderships(draft: DraftLookup): void {
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
        : checkReferencesFound(draft, object);
    if (refusal !== undefined) {
      return refusal;
    }
  }
  return checkTiers(draft);
}

function checkReferencesFound(
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

/** Tiers have distinct ranks, and one of them always remains. */
function checkTiers(draft: DraftLookup): CommandRefusal | undefined {
  const isTouched = [...draft.changed.keys()].some(key =>
    key.startsWith('tier/'),
  );
  if (!isTouched) {
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
