import type {ConfigurationChange} from '@gentianshunt/configuration';
import type {ChangeUsage} from '@gentianshunt/controlModel';
import {measureValue} from '@gentianshunt/messages';

import type {StateDraft} from './stateDraft.js';

/** Adds changes to what the state keeps for a purpose. */
export function addChangeUsage(
  draft: StateDraft,
  purpose: keyof ChangeUsage,
  changes: readonly ConfigurationChange[],
): void {
  updateUsage(draft, purpose, changes.length, measureChanges(changes));
}

/** Removes changes from what the state keeps for a purpose. */
export function removeChangeUsage(
  draft: StateDraft,
  purpose: keyof ChangeUsage,
  changes: readonly ConfigurationChange[],
): void {
  updateUsage(draft, purpose, -changes.length, -measureChanges(changes));
}

function measureChanges(changes: readonly ConfigurationChange[]): number {
  return changes.reduce((bytes, change) => bytes + measureValue(change), 0);
}

function updateUsage(
  draft: StateDraft,
  purpose: keyof ChangeUsage,
  count: number,
  bytes: number,
): void {
  const {changeUsage, changeBytes} = draft;
  draft.changeUsage = {...changeUsage, [purpose]: changeUsage[purpose] + count};
  draft.changeBytes = {
    ...changeBytes,
    // Snapshots of earlier releases have no total of the bytes.
    [purpose]: Math.max(0, changeBytes[purpose] + bytes),
  };
}
