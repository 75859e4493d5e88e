import {hashText} from './hashText.js';

/**
 * Sorts candidates for a key by rendezvous hashing: adding or removing a
 * candidate does not change the order of the others.
 */
export function sortByRendezvous<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  readName: (candidate: Candidate) => string,
): readonly Candidate[] {
  return candidates
    .map(candidate => ({
      candidate,
      score: hashText(`${key}/${readName(candidate)}`),
    }))
    .sort((left, right) => right.score - left.score)
    .map(scored => scored.candidate);
}
