import type {RawHeaders} from './callProtocol.js';

/** Headers that concern one connection only. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Finds the first value of a header; `name` is in lower case. */
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

/** Lists the headers that go on, less some whose names are in lower case. */
export function dropHeaders(
  headers: RawHeaders,
  dropped: ReadonlySet<string>,
): string[] {
  const ofConnection = listConnectionHeaders(headers);
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    const isHop = HOP_HEADERS.has(name) || ofConnection.has(name);
    if (!isHop && !dropped.has(name)) {
      kept.push(headers[index]!, headers[index + 1]!);
    }
  }
  return kept;
}

/** The headers that `Connection` names concern one connection, too. */
function listConnectionHeaders(headers: RawHeaders): ReadonlySet<string> {
  const value = findHeader(headers, 'connection');
  return new Set(
    value?.split(',').map(name => name.trim().toLowerCase()) ?? [],
  );
}
