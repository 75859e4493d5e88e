/** The versions of a run, which all operators share. */
export interface VersionBook {
  /** Returns a version higher than all before, by a step. */
  takeNext(step: number): number;
  recordAcknowledged(version: number): void;
  /** The versions that were acknowledged, in that order. */
  readonly acknowledged: readonly number[];
  /** The highest acknowledged version, or 0. */
  readNewest(): number;
}

/** Creates the versions of a run, beginning at one. */
export function createVersionBook(firstVersion: number): VersionBook {
  const acknowledged: number[] = [];
  let highest = firstVersion;
  return {
    acknowledged,
    takeNext: step => {
      highest += step;
      return highest;
    },
    recordAcknowledged: version => {
      acknowledged.push(version);
    },
    readNewest: () => acknowledged.reduce((a, b) => Math.max(a, b), 0),
  };
}
