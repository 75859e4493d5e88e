import type {OrganisationId} from '@gentianshunt/identifiers';

/** The part of a queue of waiting requests that limits apply to. */
export interface LimitedQueue {
  readonly queue: {
    readonly organisation: OrganisationId;
    readonly count: number;
  };
}

/** Number of slots that each organisation with limits may be granted. */
export type Allowances = ReadonlyMap<OrganisationId, number>;

/**
 * Reduces the counts of queues to what their organisations may be granted.
 * Queues that come first use up the allowance of their organisation first.
 */
export function limitQueues<Queue extends LimitedQueue>(
  queues: readonly Queue[],
  allowances: Allowances,
): readonly Queue[] {
  const remaining = new Map(allowances);
  return queues.flatMap(item => {
    const {organisation, count} = item.queue;
    const allowed = remaining.get(organisation);
    if (allowed === undefined) {
      return [item];
    }
    const granted = Math.min(count, allowed);
    remaining.set(organisation, allowed - granted);
    return granted === 0
      ? []
      : [{...item, queue: {...item.queue, count: granted}}];
  });
}
