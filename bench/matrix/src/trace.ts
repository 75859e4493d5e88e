import type {MonotonicTime} from '@gentianshunt/clock';

/** An event of a cell's run, recorded for the invariant checks. */
export type TraceEvent = {readonly at: MonotonicTime} & (
  | {
      /** An entry accepted a request. */
      readonly kind: 'accepted';
      readonly entry: string;
      readonly request: string;
      readonly set: string;
      readonly rank: number;
    }
  /** An entry decided to send a request to an endpoint. */
  | {readonly kind: 'opened'; readonly entry: string; readonly request: string}
  /** An endpoint started to run a request. */
  | {
      readonly kind: 'ran';
      readonly endpoint: string;
      readonly request: string;
      /** Idempotency key of the request, if it has one. */
      readonly key: string | null;
    }
  | {
      /** An entry refused a request. */
      readonly kind: 'refused';
      readonly entry: string;
      readonly request: string;
      readonly reason: string;
      /** Whether the refusal states that the request did not run. */
      readonly notRun: boolean;
    }
  /** A caller received an answer with its end mark. */
  | {
      readonly kind: 'delivered';
      readonly request: string;
      readonly expected: string;
      readonly received: string;
    }
  /** An endpoint sent an announcement that it is leaving. */
  | {readonly kind: 'leaving'; readonly endpoint: string}
  | {
      /** An entry exited after a shutdown. */
      readonly kind: 'exited';
      readonly entry: string;
      /** Number of callers whose connections were open at the exit. */
      readonly openCallers: number;
    }
  | {
      /** An operator received the answer that a command was accepted. */
      readonly kind: 'commandAccepted';
      readonly number: number;
      readonly digest: string;
      readonly version: number;
      readonly weight: number;
    }
  /** A sample of the configuration that an entry uses. */
  | {
      readonly kind: 'configuration';
      readonly entry: string;
      readonly incarnation: string;
      readonly version: number;
      readonly weight: number;
      /** Whether the entry holds a lease and so may accept requests. */
      readonly isServing: boolean;
    }
);

/** Events of one kind. */
export type TraceEventOf<Kind extends TraceEvent['kind']> = Extract<
  TraceEvent,
  {readonly kind: Kind}
>;

/** Lists the events of a kind. */
export function listEvents<Kind extends TraceEvent['kind']>(
  trace: readonly TraceEvent[],
  kind: Kind,
): readonly TraceEventOf<Kind>[] {
  return trace.filter(event => event.kind === kind) as TraceEventOf<Kind>[];
}
