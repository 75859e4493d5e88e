import type {Milliseconds} from '@gentianshunt/clock';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {EntryObservation} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {
  DirectoryEntry,
  EntryToControl,
  NetworkAddress,
} from '@gentianshunt/messages';

const CONTROL_NODE = 'control-0';
const LEASE_MS: Milliseconds = 3_000;
const HOST = '127.0.0.1';

type Heartbeat = Extract<EntryToControl, {readonly kind: 'entryHeartbeat'}>;

/**
 * Stands in for the control daemons: answers the heartbeats of entries with the
 * configuration and directory that were published last.
 */
export interface FakeControl {
  /** Replaces the configuration and the directory under a new version. */
  publish(
    objects: readonly ConfigurationObject[],
    directory: readonly DirectoryEntry[],
  ): void;
  /** Creates the observation with which the entry receives the reply. */
  answerHeartbeat(heartbeat: Heartbeat): EntryObservation;
}

/** Creates a fake control daemon that has published nothing yet. */
export function createFakeControl(): FakeControl {
  let version = 0;
  let objects: readonly ConfigurationObject[] = [];
  let entries: readonly DirectoryEntry[] = [];
  const updateIsolated = ({entry, isIsolated = false}: Heartbeat): void => {
    const known = entries.find(({address}) => address.node === entry.node);
    if (known !== undefined && isIsolated !== (known.isIsolated ?? false)) {
      const {address, draining} = known;
      const changed = {address, draining, ...(isIsolated ? {isIsolated} : {})};
      entries = entries.map(each => (each === known ? changed : each));
      version += 1;
    }
  };
  return {
    publish: (newObjects, newEntries) => {
      version += 1;
      objects = newObjects;
      entries = newEntries;
    },
    answerHeartbeat: heartbeat => {
      updateIsolated(heartbeat);
      const isCurrent = heartbeat.version === version;
      return {
        kind: 'controlMessage',
        from: toIdentifier(CONTROL_NODE),
        message: {
          kind: 'configurationUpdate',
          sequence: heartbeat.sequence,
          incarnation: heartbeat.incarnation,
          fromVersion: isCurrent ? version : 0,
          version,
          changes: isCurrent
            ? []
            : objects.map(object => ({kind: 'put', object})),
          directory: isCurrent
            ? null
            : {
                kind: 'replace',
                directory: {
                  version: {term: 1, number: version, digest: version},
                  entries,
                },
              },
          leaseMs: LEASE_MS,
        },
      };
    },
  };
}

/** Creates the directory's record of an entry. */
export function createDirectoryEntry(
  node: string,
  domain = 'a',
  draining = false,
): DirectoryEntry {
  const address: NetworkAddress = {host: HOST, port: 1};
  return {
    address: {
      node: toIdentifier(node),
      region: toIdentifier('local'),
      domain: toIdentifier(domain),
      peer: address,
      http: address,
      relay: address,
    },
    draining,
  };
}
