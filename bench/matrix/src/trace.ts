import type {MonotonicTime} from '@gentianshunt/clock';

/** What a run of a cell recorded for the checkers. */
export type TraceEvent = {readonly at: MonotonicTime} & (
  | {
      readonly kind: 'accepted';
      readonly entry: string;
      readonly request: string;
      readonly set: string;
      readonly rank: number;
    }
  /** An entry was ordered to send a request to an endpoint. */
  | {readonly kind: 'opened'; readonly entry: string; readonly request: string}
  /** An endpoint began to work on a request. */
  | {
      readonly kind: 'ran';
      readonly endpoint: string;
      readonly request: string;
      readonly key: string | null;
    }
  | {
      readonly kind: 'refused';
      readonly entry: string;
      readonly request: string;
      readonly reason: string;
      readonly notRun: boolean;
    }
  /** A caller saw the end of an answer that looked whole. */
  | {
      readonly kind: 'delivered';
      readonly request: string;
      readonly expected: string;
      readonly received: string;
    }
  | {readonly kind: 'leaving'; readonly endpoint: string}
  | {
      readonly kind: 'exited';
      readonly entry: string;
      /** Callers whose connections were open at the exit. */
      readonly openCallers: number;
    }
  | {
      readonly kind: 'commandAccepted';
      readonly number: number;
      readonly digest: string;
      readonly version: number;
      readonly weight: number;
    }
  /** The configuration that an entry acts on. */
  | {
      readonly kind: 'configuration';
      readonly entry: string;
      readonly incarnation: string;
      readonly version: number;
      readonly weight: number;
      /** Whether the entry's lease lets it take requests. */
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
