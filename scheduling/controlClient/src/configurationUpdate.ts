// How an entry applies updates of the configuration.
import type {TurnTime} from '@gentianshunt/board';
import {formatObjectKey} from '@gentianshunt/configuration';
import type {ControlStatus} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {NodeId} from '@gentianshunt/identifiers';

import {applyDirectoryUpdate} from './applyDirectoryUpdate.js';
import type {ControlView, ControlWrite} from './controlSections.js';
import {isAnswerOutdated} from './heartbeatRecord.js';
import {findAnswered, renewLease} from './leaseRenewal.js';
import type {ConfigurationUpdate} from './leaseRenewal.js';

/**
 * Applies an update that starts at or before the current version and ends after
 * it, so that the version never decreases. A delta may contain changes that are
 * applied already; applied again in order, they lead to the same state. The
 * reply to a heartbeat may renew the lease also if nothing is applied.
 */
export function applyUpdate(
  view: ControlView,
  from: NodeId,
  update: ConfigurationUpdate,
  now: TurnTime,
): readonly ControlWrite[] {
  const status = view.board.control;
  const isNewer =
    update.version > status.version && update.fromVersion <= status.version;
  const answered = findAnswered(status, view.board.identity, update);
  const applied: ControlStatus = {
    ...status,
    leader: isFromLeader(status, update) ? from : status.leader,
    version: isNewer ? update.version : status.version,
    directory: applyDirectoryUpdate(status.directory, update.directory),
  };
  const next =
    answered === undefined
      ? applied
      : renewLease(applied, answered, update, now);
  return [
    ...(isNewer ? applyChanges(view, update) : []),
    {kind: 'set', section: 'control', value: next},
    ...(isNewer ? [confirmVersion(next, from)] : []),
  ];
}

/**
 * Returns whether the sender of an update is the latest leader that the entry
 * knows of: a later heartbeat may have found another one.
 */
function isFromLeader(
  {heartbeats, version}: ControlStatus,
  {sequence, version: latest}: ConfigurationUpdate,
): boolean {
  return sequence === null
    ? latest >= version
    : !isAnswerOutdated(heartbeats, sequence);
}

function applyChanges(
  view: ControlView,
  update: ConfigurationUpdate,
): readonly ControlWrite[] {
  return [
    ...(update.fromVersion === 0 ? clearConfiguration(view) : []),
    ...update.changes.map(createConfigurationWrite),
  ];
}

/** Confirms a version at once, without waiting for the next heartbeat. */
function confirmVersion(status: ControlStatus, to: NodeId): ControlWrite {
  const {version, directory} = status;
  return {
    kind: 'effect',
    effect: {
      kind: 'sendControl',
      to,
      message: {
        kind: 'versionConfirmed',
        version,
        directoryVersion: directory.version,
      },
    },
  };
}

function clearConfiguration(view: ControlView): readonly ControlWrite[] {
  return [...view.board.configuration.keys()].map(key => ({
    kind: 'delete',
    section: 'configuration',
    key,
  }));
}

function createConfigurationWrite(
  change: ConfigurationUpdate['changes'][number],
): ControlWrite {
  switch (change.kind) {
    case 'put':
      return {
        kind: 'put',
        section: 'configuration',
        key: formatObjectKey(change.object.kind, change.object.id),
        value: change.object,
      };
    case 'delete':
      return {kind: 'delete', section: 'configuration', key: change.key};
    default:
      return assertNever(change, 'createConfigurationWrite');
  }
}
