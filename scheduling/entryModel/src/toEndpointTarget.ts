import type {EndpointAnnouncement} from './endpoint.js';
import type {EndpointTarget} from './request.js';

/** Returns what a dispatch needs to know of an endpoint. */
export function toEndpointTarget({
  endpoint,
  url,
  software,
}: EndpointAnnouncement): EndpointTarget {
  return {endpoint, url, ...(software === undefined ? {} : {software})};
}
