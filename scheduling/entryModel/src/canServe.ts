import type {AdmittedRequest, EndpointTarget} from './request.js';
import type {NamedSoftware, StreamOrigin} from './streamOrigin.js';

/** Reads the software of an endpoint; `null` if it names none. */
export function readSoftware({software}: EndpointTarget): NamedSoftware {
  return software ?? null;
}

/** Returns the origin of the streams that begin at an endpoint. */
export function toStreamOrigin(target: EndpointTarget): StreamOrigin {
  return {software: readSoftware(target)};
}

/** Returns whether an endpoint may serve a request, or go on with its stream. */
export function canServe(
  target: EndpointTarget,
  {origin}: Pick<AdmittedRequest, 'origin'>,
): boolean {
  return origin === undefined || origin.software === readSoftware(target);
}
