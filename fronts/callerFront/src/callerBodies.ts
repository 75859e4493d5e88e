import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {addBufferParser} from '@gentianshunt/requestBodies';
import type {MemoryGate} from '@gentianshunt/requestBodies';
import type {FastifyInstance} from 'fastify';

/** How the bodies of requests are read. */
export interface CallerBodiesOptions {
  readonly server: FastifyInstance;
  readonly clock: Clock;
  /** Memory for the bodies of callers. */
  readonly gate: MemoryGate;
  /** Memory for announcements and commands, which callers cannot use up. */
  readonly managementGate: MemoryGate;
  /** Largest body, in bytes. */
  readonly maxBodyBytes: number;
  /** Reads the rank of the tier that a request names, if it names one. */
  readonly readRank: (tier: string | undefined) => number;
}

/** Longest time until a body is complete. */
const READ_TIME_LIMIT_MS: Milliseconds = 30_000;

/** Makes a server read bodies within the memory of the process. */
export function addCallerBodies(options: CallerBodiesOptions): void {
  const {server, clock, gate, managementGate} = options;
  addBufferParser(server, ({url, headers}) => ({
    gate: isManagementRoute(url) ? managementGate : gate,
    clock,
    maxBytes: options.maxBodyBytes,
    readTerms: () => ({
      rank: options.readRank(headers['x-tier']?.toString()),
      timeLimitMs: READ_TIME_LIMIT_MS,
    }),
  }));
}

function isManagementRoute(url: string): boolean {
  return url.startsWith('/v1/endpoints/') || url.startsWith('/v1/operator/');
}
