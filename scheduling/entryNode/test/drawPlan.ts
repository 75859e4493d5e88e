/** Random plans of disturbances, versions and streams. */
import fc from 'fast-check';
import type {Test} from 'tap';

import {createStreams, createWarmUp, STEADY_MS} from './streamPlan.js';
import type {
  Disturbance,
  DrawnPlan,
  PlannedStream,
  StreamPlan,
  VersionPhase,
} from './streamPlan.js';

/** An entry is in touch so long after a disturbance, and before the next one. */
const IN_TOUCH_MS = 3_000;
/** Plans of other seeds and numbers are drawn by hand. */
const SEED = Number(process.env.STREAM_SEED ?? 58);
const RUNS = Number(process.env.STREAM_RUNS ?? 20);

/** A disturbance and the streams that begin at its entry shortly before. */
interface DrawnDisturbance {
  readonly disturbance: Disturbance;
  readonly streams: readonly PlannedStream[];
}

/** Draws disturbances of one entry at a time, which do not overlap. */
function drawDisturbances(
  entries: number,
): fc.Arbitrary<readonly DrawnDisturbance[]> {
  const draw = fc.record({
    kind: fc.constantFrom('kill', 'stop', 'freeze', 'cut'),
    entry: fc.nat({max: entries - 1}),
    forMs: fc.integer({min: 300, max: 6_000}),
    gapMs: fc.integer({min: 500, max: 5_000}),
    burst: fc.nat({max: 12}),
    leadMs: fc.integer({min: 50, max: 400}),
  });
  return fc.array(draw, {minLength: 1, maxLength: 9}).map(drawn => {
    let at = STEADY_MS - 6_000;
    return drawn.map(({kind, entry, forMs, gapMs, burst, leadMs}) => {
      const disturbance = {kind, at, entry, forMs} as const;
      const streams = createStreams(burst, index => ({
        at: disturbance.at - leadMs,
        entry,
        takenUpAt: disturbance.at + 300 + 250 * index,
        takenUpBy: (entry + 1 + (index % (entries - 1))) % entries,
      }));
      at += forMs + gapMs;
      return {disturbance, streams};
    });
  });
}

const versionSets = [['v1'], ['v1', 'v2'], ['v2'], ['v1', 'v2', 'v3']];

function drawVersions(): fc.Arbitrary<readonly VersionPhase[]> {
  const draw = fc.record({
    versions: fc.constantFrom(...versionSets),
    forMs: fc.integer({min: 500, max: 12_000}),
  });
  return fc.array(draw, {minLength: 1, maxLength: 6}).map(drawn => {
    let at = STEADY_MS - 6_000;
    return [
      {at: 0, versions: ['v1']},
      ...drawn.map(({versions, forMs}) => {
        const phase = {at, versions};
        at += forMs;
        return phase;
      }),
    ];
  });
}

function drawStreams(entries: number): fc.Arbitrary<readonly PlannedStream[]> {
  const draw = fc.record({
    at: fc.integer({min: STEADY_MS - 8_000, max: STEADY_MS + 24_000}),
    entry: fc.nat({max: entries - 1}),
    laterMs: fc.integer({min: 200, max: 8_000}),
    step: fc.integer({min: 1, max: entries - 1}),
  });
  return fc.array(draw, {minLength: 20, maxLength: 60}).map(drawn =>
    drawn.map(({at, entry, laterMs, step}) => ({
      at,
      entry,
      takenUpAt: at + 100 + laterMs,
      takenUpBy: (entry + step) % entries,
    })),
  );
}

export function drawPlan(): fc.Arbitrary<DrawnPlan> {
  return fc.integer({min: 3, max: 12}).chain(entries =>
    fc
      .tuple(drawVersions(), drawDisturbances(entries), drawStreams(entries))
      .map(([versions, drawn, streams]) => ({
        entries,
        versions,
        disturbances: drawn.map(({disturbance}) => disturbance),
        streams: [
          ...createWarmUp(entries),
          ...drawn.flatMap(each => each.streams),
          ...streams,
        ],
      })),
  );
}

/** Returns whether the entry that takes a stream up is in touch with the others. */
export function isInTouch(
  {disturbances}: Pick<StreamPlan, 'disturbances'>,
  {takenUpAt, takenUpBy}: PlannedStream,
): boolean {
  return disturbances.every(
    ({entry, at, forMs}) =>
      entry !== takenUpBy ||
      takenUpAt > at + forMs + IN_TOUCH_MS ||
      takenUpAt < at - IN_TOUCH_MS,
  );
}

/** Checks that something holds of all plans of the seed. */
export function checkPlans(
  t: Test,
  plans: fc.Arbitrary<DrawnPlan>,
  holds: (plan: DrawnPlan) => boolean,
): void {
  fc.assert(fc.property(plans, holds), {
    seed: SEED,
    numRuns: RUNS,
    endOnFailure: true,
  });
  t.pass(`${RUNS} plans of seed ${SEED}`);
}
