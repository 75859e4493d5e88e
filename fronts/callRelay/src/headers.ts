import type {RawHeaders} from './callProtocol.js';

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Finds the first value of a header; `name` must be in lower case. */
export function findHeader(
  headers: RawHeaders,
  name: string,
): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) {
      return headers[index + 1];
    }
  }
  return undefined;
}

/** Lists all values of a header; `name` must be in lower case. */
export function listHeaderValues(
  headers: RawHeaders,
  name: string,
): readonly string[] {
  return headers.filter(
    (_, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name,
  );
}

/**
 * Lists the headers to forward: all but hop-by-hop headers and those in
 * `dropped`, whose names must be in lower case.
 */
export function dropHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): string[] {
  const connectionHeaders = listConnectionHeaders(headers);
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    const isHopByHop =
      HOP_BY_HOP_HEADERS.has(name) || connectionHeaders.has(name);
    if (!isHopByHop && !dropped.has(name)) {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  return kept;
}

/** Lists the further hop-by-hop headers named by the `Connection` header. */
function listConnectionHeaders(headers: RawHeaders): ReadonlySet<string> {
  const value = findHeader(headers, 'connection');
  return new Set(
    value?.split(',').map(name => name.trim().toLowerCase()) ?? [],
  );
}
