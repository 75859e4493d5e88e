import {existsSync, readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';

/** Whose promotion is awaited, and where it is logged. */
export interface PromotionOptions {
  /** Logs of the members. */
  readonly logs: readonly string[];
  readonly node: string;
  /** Unix time, in milliseconds; earlier lines do not count. */
  readonly since: number;
  readonly timeoutMs: number;
}

/** A line that says who replicates the control log. */
interface MembersLine {
  readonly at: number;
  readonly members: readonly string[];
}

const POLL_MS = 50;
const MEMBERS_EVENT = '"event":"membersChanged"';

/**
 * Waits until the members have logged a learner of a name and then a voter of
 * that name; returns the time of the latter, or `undefined` after the timeout.
 */
export async function awaitPromotion(
  options: PromotionOptions,
): Promise<number | undefined> {
  const until = Date.now() + options.timeoutMs;
  while (Date.now() < until) {
    const promotedAt = findPromotion(options);
    if (promotedAt !== undefined) {
      return promotedAt;
    }
    await delay(POLL_MS);
  }
  return undefined;
}

function findPromotion({
  logs,
  node,
  since,
}: PromotionOptions): number | undefined {
  const lines = logs
    .filter(log => existsSync(log))
    .flatMap(listMemberLines)
    .filter(({at}) => at >= since)
    .sort((left, right) => left.at - right.at);
  const admitted = lines.find(({members}) =>
    members.includes(`${node}:learner`),
  );
  return lines.find(
    ({at, members}) =>
      admitted !== undefined &&
      at > admitted.at &&
      members.includes(`${node}:voter`),
  )?.at;
}

function listMemberLines(log: string): readonly MembersLine[] {
  return readFileSync(log, 'utf8')
    .split('\n')
    .filter(line => line.includes(MEMBERS_EVENT) && line.endsWith('}'))
    .map(line => {
      const {time, members} = JSON.parse(line) as {
        readonly time: string;
        readonly members: readonly string[];
      };
      return {at: Date.parse(time), members};
    });
}
