import type {Finding} from './finding.js';

/** A finding, and what it has in common with others like it. */
export interface GroupedFinding {
  readonly group: string;
  readonly finding: Finding;
}

/** Keeps the first finding of each group, and says how many there were. */
export function mergeGroups(
  found: readonly GroupedFinding[],
): readonly Finding[] {
  const counts = new Map<string, number>();
  const first = new Map<string, Finding>();
  for (const {group, finding} of found) {
    const key = `${group} ${finding.excuse}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
    if (!first.has(key)) {
      first.set(key, finding);
    }
  }
  return Array.from(first, ([key, finding]) => {
    const more = counts.get(key)! - 1;
    const detail = more === 0 ? '' : `, and ${more} times more`;
    return {...finding, detail: `${finding.detail}${detail}`};
  });
}
