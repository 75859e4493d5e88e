// The versions of the entry directory, with their history and digest.
import type {EntrySession} from '@gentianshunt/controlModel';
import type {DirectoryChange, DirectoryVersion} from '@gentianshunt/messages';
import type {NodeId} from '@gentianshunt/identifiers';

import {MAX_DIRECTORY_HISTORY, toDirectoryEntry} from './directoryDelta.js';
import type {DirectoryStep} from './directoryDelta.js';
import {EMPTY_DIRECTORY_DIGEST, toggleEntry} from './directoryDigest.js';
import type {SessionView, SessionWrite} from './sessionWrites.js';

/**
 * Creates the next version of the directory for a change. The numbers start at
 * 1 in each term, with the digest of the sessions at that moment.
 */
export function createDirectoryStep(
  view: SessionView,
  previous: DirectoryVersion,
  change: DirectoryChange,
): DirectoryStep {
  const {term} = view.board.ballot;
  const isContinued = previous.term === term;
  const digest = isContinued
    ? previous.digest
    : computeSessionsDigest(view.board.sessions);
  return {
    version: {
      term,
      number: isContinued ? previous.number + 1 : 1,
      digest: updateDigest(view, digest, change),
    },
    change,
  };
}

function computeSessionsDigest(
  sessions: ReadonlyMap<NodeId, EntrySession>,
): number {
  return [...sessions.values()]
    .map(toDirectoryEntry)
    .reduce(toggleEntry, EMPTY_DIRECTORY_DIGEST);
}

/** Computes the digest of the directory after a change. */
function updateDigest(
  view: SessionView,
  digest: number,
  change: DirectoryChange,
): number {
  const node = change.kind === 'put' ? change.entry.address.node : change.node;
  const current = view.board.sessions.get(node);
  const without =
    current === undefined
      ? digest
      : toggleEntry(digest, toDirectoryEntry(current));
  return change.kind === 'put' ? toggleEntry(without, change.entry) : without;
}

/** Writes a directory version and drops the oldest or outdated history. */
export function writeDirectoryStep(
  view: SessionView,
  previous: DirectoryVersion,
  step: DirectoryStep,
): readonly SessionWrite[] {
  const {version, change} = step;
  const stale =
    previous.term === version.term
      ? [version.number - MAX_DIRECTORY_HISTORY].filter(number => number > 0)
      : Array.from(view.board.directoryHistory.iterateFrom(), ({key}) => key);
  return [
    ...stale.map((key): SessionWrite => ({
      kind: 'delete',
      section: 'directoryHistory',
      key,
    })),
    {kind: 'set', section: 'directory', value: version},
    {
      kind: 'put',
      section: 'directoryHistory',
      key: version.number,
      value: change,
    },
  ];
}
