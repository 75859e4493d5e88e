// Measures how long a set leader takes to allocate slots, for each slot.
import type {
  EndpointId,
  NodeId,
  OrganisationId,
} from '@gentianshunt/identifiers';
import {allocateSlots} from '@gentianshunt/setLeader';
import type {AllocationInput} from '@gentianshunt/setLeader';

const ENDPOINT_COUNTS = [10, 100, 1_000] as const;
/** Free capacity of each endpoint, in requests. */
const FREE_CAPACITY = 4;
const CONCURRENCY = 16;
const ENTRIES = 4;
const ORGANISATIONS = 5;
const TIERS = 3;
const ROUNDS = 60;
const WARM_UP_ROUNDS = 20;
const NANOSECONDS_PER_MICROSECOND = 1_000;

const metrics = Object.fromEntries(
  ENDPOINT_COUNTS.map(count => [
    `decisionCost${count}`,
    {
      value: measureCost(createInput(count)),
      unit: 'microseconds',
      target: '< 50',
    },
  ]),
);
console.log(JSON.stringify({bench: 'decision', seed: null, metrics}));

/** Returns the median time of an allocation, divided by its slots. */
function measureCost(input: AllocationInput): number {
  const costs: number[] = [];
  for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round += 1) {
    const start = process.hrtime.bigint();
    const {slots} = allocateSlots(input);
    const elapsedNs = Number(process.hrtime.bigint() - start);
    if (round >= WARM_UP_ROUNDS) {
      costs.push(elapsedNs / NANOSECONDS_PER_MICROSECOND / slots.length);
    }
  }
  costs.sort((left, right) => left - right);
  return costs[Math.floor(costs.length / 2)]!;
}

/** Creates demand that uses all free capacity of a set. */
function createInput(endpointCount: number): AllocationInput {
  const organisations = Array.from(
    {length: ORGANISATIONS},
    (_, index) => `organisation${index}` as OrganisationId,
  );
  const queueCount = ENTRIES * ORGANISATIONS * TIERS;
  const requestsPerQueue = Math.ceil(
    (endpointCount * FREE_CAPACITY) / queueCount,
  );
  return {
    endpoints: Array.from({length: endpointCount}, (_, index) => ({
      target: {endpoint: `e${index}` as EndpointId, url: 'http://127.0.0.1'},
      concurrency: CONCURRENCY,
      occupied: CONCURRENCY - FREE_CAPACITY,
      rate: 30 + (index % 3),
      canQueue: true,
    })),
    queues: Array.from({length: queueCount}, (_, index) => ({
      node: `entry${index % ENTRIES}` as NodeId,
      queue: {
        rank: 1 + (Math.floor(index / ENTRIES) % TIERS),
        organisation: organisations[index % ORGANISATIONS]!,
        count: requestsPerQueue,
        ready: requestsPerQueue,
        readyEarly: requestsPerQueue,
        costMs: 100,
        score: 1 / (1 + index),
        expected: 0,
        oldestWaitMs: index,
        objectiveMs: null,
        part: null,
      },
    })),
    fairShares: organisations.map(organisation => ({
      organisation,
      weight: 1,
      virtualTime: 0,
    })),
  };
}
