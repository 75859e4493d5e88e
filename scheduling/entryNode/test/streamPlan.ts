// Plays streams, disturbances and versions of software against entries in virtual
// time, and says what the callers that take a stream up get.
import type {Milliseconds} from '@gentianshunt/clock';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {RequestId} from '@gentianshunt/identifiers';

import {createStreamVersionsFixture} from './streamVersionsFixture.js';
import type {
  FixtureEndpoint,
  StreamVersionsFixture,
} from './streamVersionsFixture.js';

/** Long enough for all entries to know that there was one version only. */
export const STEADY_MS: Milliseconds = 16_000;
const STEP_MS: Milliseconds = 50;
const LATENCY_MS: Milliseconds = 2;
/** Time from the dispatch of a request to the first event of its answer. */
const FIRST_EVENT_MS: Milliseconds = 100;
/** Time after which a request that takes a stream up has gone on or not. */
const OUTCOME_MS: Milliseconds = 3_000;
/** Time from the loss of a set leader to its replacement. */
const LEADER_MS: Milliseconds = 1_000;

const ENDPOINTS_PER_VERSION = 4;

/** What happens to an entry; it is over after `forMs`. */
export interface Disturbance {
  readonly kind: 'kill' | 'stop' | 'freeze' | 'cut';
  readonly at: Milliseconds;
  readonly entry: number;
  readonly forMs: Milliseconds;
}

/** The software versions that endpoints of the set run from a time on. */
export interface VersionPhase {
  readonly at: Milliseconds;
  readonly versions: readonly string[];
}

/** A stream that its caller takes up again at another entry. */
export interface PlannedStream {
  readonly at: Milliseconds;
  readonly entry: number;
  readonly takenUpAt: Milliseconds;
  readonly takenUpBy: number;
}

/** What is played, in milliseconds from the start. */
export interface StreamPlan {
  readonly entries: number;
  readonly endMs: Milliseconds;
  readonly versions: readonly VersionPhase[];
  readonly disturbances: readonly Disturbance[];
  readonly streams: readonly PlannedStream[];
}

/** A plan that ends with the last stream that is taken up. */
export type DrawnPlan = Omit<StreamPlan, 'endMs'>;

/** How a caller that took a stream up fared, beside one that began a new one. */
export interface TakeUp {
  readonly stream: PlannedStream;
  readonly began: string;
  /** What it went on at; `undefined` if it did not go on. */
  readonly next: string | undefined;
  readonly hasFreshBegun: boolean;
}

/** Plays a plan and returns what became of the streams that had begun. */
function playPlan(plan: StreamPlan): readonly TakeUp[] {
  const fixture = createStreamVersionsFixture(plan.entries, LATENCY_MS);
  const actions = listActions(plan, fixture);
  const takeUps: TakeUp[] = [];
  plan.streams.forEach((stream, index) => {
    const name = `q${index}`;
    const {at, entry, takenUpAt, takenUpBy} = stream;
    const start = (id: string): void => fixture.startAnswer(id);
    actions.push(
      {at, run: () => fixture.send(entry, name)},
      {at: at + FIRST_EVENT_MS, run: () => start(name)},
      {
        at: takenUpAt,
        run: () => {
          if (fixture.hasBegun(name)) {
            fixture.leave(name);
            const attempt = toIdentifier<RequestId>(name);
            fixture.send(takenUpBy, `${name}-again`, {attempt});
            fixture.send(takenUpBy, `${name}-fresh`);
          }
        },
      },
      {
        at: takenUpAt + OUTCOME_MS,
        run: () => {
          if (fixture.hasBegun(name)) {
            takeUps.push({
              stream,
              began: fixture.listSoftware(name)[0]!,
              next: fixture.listSoftware(`${name}-again`)[0],
              hasFreshBegun: fixture.listSoftware(`${name}-fresh`).length > 0,
            });
          }
          [name, `${name}-again`, `${name}-fresh`].forEach(fixture.leave);
        },
      },
    );
  });
  actions.sort((left, right) => left.at - right.at);
  for (let now = 0; now <= plan.endMs; now += STEP_MS) {
    while (actions.length > 0 && actions[0]!.at <= now) {
      actions.shift()!.run();
    }
    fixture.advance(STEP_MS);
  }
  return takeUps;
}

/** Plays a plan until the last stream has gone on or not. */
export function runPlan(plan: DrawnPlan): readonly TakeUp[] {
  const last = Math.max(...plan.streams.map(({takenUpAt}) => takenUpAt));
  return playPlan({...plan, endMs: last + OUTCOME_MS + STEP_MS});
}

/** Creates a number of streams. */
export function createStreams(
  count: number,
  create: (index: number) => PlannedStream,
): readonly PlannedStream[] {
  return Array.from({length: count}, (_, index) => create(index));
}

/** Some traffic at all entries, so that they know the endpoints of the set. */
export function createWarmUp(entries: number): readonly PlannedStream[] {
  return createStreams(2 * entries, index => ({
    at: 1_000 + 40 * index,
    entry: index % entries,
    takenUpAt: 3_000 + 40 * index,
    takenUpBy: (index + 1) % entries,
  }));
}

interface Action {
  readonly at: Milliseconds;
  readonly run: () => void;
}

function listActions(
  {entries, versions, disturbances}: StreamPlan,
  fixture: StreamVersionsFixture,
): Action[] {
  let leader = 0;
  return [
    ...versions.map(phase => ({
      at: phase.at,
      run: () => fixture.setEndpoints(createEndpoints(phase.versions)),
    })),
    ...disturbances.flatMap(({kind, at, entry, forMs}): readonly Action[] => {
      const replaceLeader: Action = {
        at: at + LEADER_MS,
        run: () => {
          if (leader === entry) {
            leader = (entry + 1) % entries;
            fixture.moveLeader(leader);
          }
        },
      };
      switch (kind) {
        case 'freeze':
          return [{at, run: () => fixture.freeze(entry, forMs)}, replaceLeader];
        case 'cut':
          return [
            {at, run: () => fixture.loseMessages(entry, forMs)},
            replaceLeader,
          ];
        case 'kill':
          return [
            {at, run: () => fixture.kill(entry)},
            replaceLeader,
            {at: at + forMs, run: () => fixture.start(entry)},
          ];
        case 'stop':
          return [
            {at, run: () => fixture.stop(entry)},
            {at: at + forMs / 2, run: () => fixture.kill(entry)},
            replaceLeader,
            {at: at + forMs, run: () => fixture.start(entry)},
          ];
      }
    }),
  ];
}

/** Creates the endpoints of each version. */
function createEndpoints(
  versions: readonly string[],
): readonly FixtureEndpoint[] {
  return versions.flatMap(software =>
    Array.from({length: ENDPOINTS_PER_VERSION}, (_, index) => ({
      id: `${software}-${index}`,
      software,
    })),
  );
}

/** Lists the streams that went on at other software than began them. */
export function listJoined(takeUps: readonly TakeUp[]): readonly TakeUp[] {
  return takeUps.filter(
    ({began, next}) => next !== undefined && next !== began,
  );
}

/** Lists the streams that did not go on where a new one began. */
export function listLost(takeUps: readonly TakeUp[]): readonly TakeUp[] {
  return takeUps.filter(
    ({next, hasFreshBegun}) => hasFreshBegun && next === undefined,
  );
}
