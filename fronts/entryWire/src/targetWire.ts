import type {EndpointTarget, NamedSoftware} from '@gentianshunt/entryModel';
import type {EndpointId, SoftwareVersion} from '@gentianshunt/identifiers';

import type {WireReader} from './wireReader.js';

/** Stands for the software of endpoints that do not name it. */
const UNNAMED = '';

/** Encodes the target of a dispatch as consecutive items. */
export function encodeTarget(target: EndpointTarget): readonly unknown[] {
  return [target.endpoint, target.url, encodeSoftware(target.software)];
}

/** Decodes and validates the target of a dispatch. */
export function decodeTarget(reader: WireReader): EndpointTarget {
  const endpoint = reader.readIdentifier<EndpointId>();
  const url = reader.readText();
  return {endpoint, url, ...decodeOwnSoftware(reader)};
}

/** Encodes the software of an endpoint, which may name none. */
export function encodeSoftware(
  software: SoftwareVersion | null | undefined,
): string {
  return software ?? UNNAMED;
}

/** Decodes the software of an endpoint; `null` if it names none. */
export function decodeSoftware(reader: WireReader): NamedSoftware {
  const text = reader.readText();
  return text === UNNAMED ? null : (text as SoftwareVersion);
}

/** Decodes the software in the description of an endpoint. */
export function decodeOwnSoftware(
  reader: WireReader,
): Pick<EndpointTarget, 'software'> {
  const software = decodeSoftware(reader);
  return software === null ? {} : {software};
}
