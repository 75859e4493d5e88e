import type {IncomingMessage} from 'node:http';

import type {Dispatcher} from 'undici';

import type {CallHead} from './callProtocol.js';

/** Reads the headers as received; undici provides them as buffers. */
export function readRawHeaders(
  controller: Dispatcher.DispatchController,
): string[] {
  const raw = controller.rawHeaders as unknown as readonly Buffer[] | null;
  return raw?.map(part => part.toString('latin1')) ?? [];
}

/** Reads the request line and headers of a call. */
export function toHead({method, url, rawHeaders}: IncomingMessage): CallHead {
  return {method: method ?? 'GET', url: url ?? '/', headers: rawHeaders};
}
