/** What is sent to an endpoint, and how logs describe it. */
import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {readSoftware} from '@gentianshunt/entryModel';
import type {AdmittedRequest, Dispatch} from '@gentianshunt/entryModel';
import type {Dispatcher} from 'undici';

import type {RawHeaders} from './callProtocol.js';
import type {SentCall} from './callStep.js';
import type {OpenCall} from './callTable.js';
import type {EndpointStreamOptions} from './endpointStreamOptions.js';

/** Creates the HTTP request by which a call is sent. */
export function createEndpointRequest(
  {protocol, clock}: EndpointStreamOptions,
  call: OpenCall,
  request: AdmittedRequest,
  dispatch: Dispatch,
): Dispatcher.DispatchOptions {
  const timeLeftMs = readTimeLeft(clock, call);
  const headers = protocol.listEndpointHeaders({
    call: call.head,
    request,
    dispatch,
    timeLeftMs,
    lastEventId: call.lastEventId,
  });
  return createCallRequest(call, dispatch.target.url, headers);
}

/** Creates the HTTP request by which a call is passed on to another entry. */
export function createRelayRequest(
  {protocol, clock}: EndpointStreamOptions,
  call: OpenCall,
  origin: string,
): Dispatcher.DispatchOptions {
  const timeLeftMs = readTimeLeft(clock, call);
  const headers = protocol.listRelayHeaders(call.head, timeLeftMs);
  return createCallRequest(call, origin, headers);
}

function readTimeLeft(clock: Clock, {dueAt}: OpenCall): Milliseconds {
  return Math.max(1, dueAt - clock.readMonotonic());
}

function createCallRequest(
  {head, body: {toPayload, length}}: OpenCall,
  origin: string,
  headers: RawHeaders,
): Dispatcher.DispatchOptions {
  const body = toPayload();
  return {
    origin,
    path: head.url,
    method: head.method as Dispatcher.HttpMethod,
    // The client learns the length of a buffer by itself.
    headers:
      body === null || Buffer.isBuffer(body)
        ? [...headers]
        : [...headers, 'Content-Length', String(length)],
    // Its types do not mention iterables, which it sends.
    body: body as Buffer | null,
  };
}

/** Describes a call at the moment at which it is sent. */
export function describeCall(
  {clock}: EndpointStreamOptions,
  {id, receivedAt, dueAt}: OpenCall,
  {resumed}: AdmittedRequest,
  {target, at}: Dispatch,
): SentCall {
  const now = clock.readMonotonic();
  return {
    request: id,
    endpoint: target.endpoint,
    software: readSoftware(target),
    resumes: resumed?.attempt ?? null,
    ageMs: now - receivedAt,
    sinceDispatchMs: now - at,
    timeLeftMs: dueAt - now,
  };
}
