import {serialize} from 'node:v8';

import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {LogBounds} from '@gentianshunt/controlModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {
  ConfigurationReplacement,
  EntryToControl,
} from '@gentianshunt/messages';

import {createTestDeployment} from './deploymentFixture.js';
import type {TestDeployment} from './deploymentFixture.js';
import type {TestMember} from './memberFixture.js';

const ENTRY = toIdentifier<NodeId>('entry-0');
/** Steps of a deployment in one second. */
export const ONE_SECOND_STEPS = 100;
const KIBIBYTE = 1_024;
/** Caller keys of each organisation. */
const KEYS_PER_ORGANISATION = 4;

/** Low bounds, so that short tests reach them. */
export const LOW_LOG_BOUNDS: LogBounds = {
  minSnapshotIntervalBytes: 256 * KIBIBYTE,
  maxSnapshotIntervalBytes: 1_024 * KIBIBYTE,
  retainedBytes: 256 * KIBIBYTE,
  transferBytes: 1_024 * KIBIBYTE,
  uncommittedBytes: 256 * KIBIBYTE,
  unsyncedBytes: 1_024 * KIBIBYTE,
  answerBytes: 128 * KIBIBYTE,
};

/** The size of a configuration document. */
export interface DocumentSize {
  readonly organisations: number;
  /** Characters of each caller key. */
  readonly keyLength: number;
}

/** About 64 KiB, with another 64 KiB of objects. */
export const LARGE_DOCUMENT: DocumentSize = {
  organisations: 64,
  keyLength: 256,
};

/** Creates a configuration of which every organisation is new. */
export function createReplacement(
  version: number,
  size: DocumentSize = LARGE_DOCUMENT,
): ConfigurationReplacement {
  const objects: readonly ConfigurationObject[] = [
    {
      kind: 'tier',
      id: toIdentifier('gold'),
      revision: 0,
      rank: 1,
      weight: 1,
      firstTokenTargetMs: 1_000,
      objective: 0.95,
    },
    ...Array.from({length: size.organisations}, (_, index) =>
      createOrganisation(version, index, size.keyLength),
    ),
  ];
  const source = new TextEncoder().encode(JSON.stringify(objects));
  return {version, objects, source};
}

function createOrganisation(
  version: number,
  index: number,
  keyLength: number,
): ConfigurationObject {
  return {
    kind: 'organisation',
    id: toIdentifier(`organisation-${index}`),
    revision: 0,
    weight: 1,
    tiers: [toIdentifier('gold')],
    limits: {maxRunning: null, maxRequestsPerSecond: null},
    keys: Array.from({length: KEYS_PER_ORGANISATION}, (_, key) =>
      `${version}-${index}-${key}-`.padEnd(keyLength, 'k'),
    ),
  };
}

/** Creates an entry's request to replace the configuration. */
export function createReplacementRequest(
  replacement: ConfigurationReplacement,
  correlation = `replacement-${replacement.version}`,
): EntryToControl {
  return {
    kind: 'replacementRequest',
    correlation: toIdentifier(correlation),
    replacement,
  };
}

/** The encoded size of a large document and its objects, in bytes. */
export const LARGE_DOCUMENT_BYTES = countBytes(createReplacement(1));

/** Counts the bytes that a value takes when it is encoded. */
export function countBytes(value: unknown): number {
  return serialize(value).byteLength;
}

/** Starts three members with low bounds and a leader. */
export function createLedDeployment(): TestDeployment {
  const deployment = createTestDeployment(3, LOW_LOG_BOUNDS);
  deployment.run(5 * ONE_SECOND_STEPS);
  return deployment;
}

/** Lists the members other than the leader. */
export function listFollowers(
  deployment: TestDeployment,
): readonly TestMember[] {
  const leader = deployment.findLeader();
  return deployment.members.filter(member => member !== leader);
}

/** Sends a message to a member as an entry would. */
export function sendAsEntry(member: TestMember, message: EntryToControl): void {
  member.loop!.post({kind: 'entryMessage', from: ENTRY, message});
}

/** Sends the leader a large document. */
export function replaceConfiguration(
  deployment: TestDeployment,
  version: number,
): void {
  const replacement = createReplacement(version);
  sendAsEntry(deployment.findLeader()!, createReplacementRequest(replacement));
}

/** Reads the version of the document that a member has applied. */
export function readVersion(member: TestMember): number {
  return member.loop!.view.source.version;
}
