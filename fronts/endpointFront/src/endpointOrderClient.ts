import {isLeaseValid, readInstant} from '@gentianshunt/clock';
import type {Clock} from '@gentianshunt/clock';
import type {EntryObservation, OrderExecution} from '@gentianshunt/entryModel';
import {MAX_ORDER_DELIVERY_MS} from '@gentianshunt/orders';
import type {OrderResult} from '@gentianshunt/orders';
import {readBoundedText} from '@gentianshunt/runtime';
import {request} from 'undici';

/** Options of the client for endpoint orders. */
export interface EndpointOrderClientOptions {
  readonly clock: Clock;
  readonly post: (observation: EntryObservation) => void;
}

/** Sends orders to endpoints over HTTP. */
export interface EndpointOrderClient {
  send(execution: OrderExecution): void;
}

/** Largest answer of an endpoint to an order. */
const MAX_ORDER_ANSWER_BYTES = 64 * 1024;
/** Status of an endpoint that has seen a newer fencing number. */
const CONFLICT = 409;

/** Creates a client; `send` posts one observation with the order's result. */
export function createEndpointOrderClient(
  options: EndpointOrderClientOptions,
): EndpointOrderClient {
  return {
    send: execution => {
      void sendOrder(options.clock, execution).then(result =>
        options.post({kind: 'endpointOrderEnded', execution, result}),
      );
    },
  };
}

async function sendOrder(
  clock: Clock,
  execution: OrderExecution,
): Promise<OrderResult> {
  // The process may have been suspended since the order was decided.
  if (!isLeaseValid(execution.lease, readInstant(clock))) {
    return {kind: 'unknown', detail: 'the lease ended before sending'};
  }
  try {
    const reply = await request(`${execution.url}/v1/orders`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        fencing: execution.fencing,
        directive: execution.directive,
      }),
      // An answer that is repeated on a kept connection names no order.
      reset: true,
      signal: AbortSignal.timeout(MAX_ORDER_DELIVERY_MS),
    });
    const text = await readBoundedText(reply.body, {
      step: 'sendOrder',
      peer: execution.url,
      maxBytes: MAX_ORDER_ANSWER_BYTES,
    });
    return readResult(reply.statusCode, text);
  } catch (error) {
    return {kind: 'unknown', detail: (error as Error).message};
  }
}

function readResult(status: number, text: string): OrderResult {
  if (status === CONFLICT) {
    return {kind: 'outdated'};
  }
  return status < 300
    ? {kind: 'done'}
    : {kind: 'refused', detail: `HTTP ${status}: ${text}`};
}
