import type {OrganisationId} from '@gentianshunt/identifiers';

/** A line of waiting requests, as far as limits look at it. */
export interface LimitedLine {
  readonly line: {
    readonly organisation: OrganisationId;
    readonly count: number;
  };
}

/** The slots that organisations with limits may be granted. */
export type Allowances = ReadonlyMap<OrganisationId, number>;

/**
 * Cuts the lines down to what their organisations may be granted. Lines come
 * in the order in which they should be served.
 */
export function limitLines<Line extends LimitedLine>(
  lines: readonly Line[],
  allowances: Allowances,
): readonly Line[] {
  const left = new Map(allowances);
  return lines.flatMap(item => {
    const {organisation, count} = item.line;
    const allowed = left.get(organisation);
    if (allowed === undefined) {
      return [item];
    }
    const granted = Math.min(count, allowed);
    left.set(organisation, allowed - granted);
    return granted === 0
      ? []
      : [{...item, line: {...item.line, count: granted}}];
  });
}
