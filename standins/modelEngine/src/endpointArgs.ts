import {createAnnouncer} from './announcer.js';
import type {Announcement} from './announcer.js';

const ANNOUNCE_INTERVAL_MS = 500;

/** Command line arguments of every stand-in endpoint. */
export const ENDPOINT_ARGS = {
  host: {type: 'string', default: '127.0.0.1', description: 'IP address'},
  port: {type: 'string', default: '0', description: 'Port'},
  endpoint: {type: 'string', required: true, description: 'Endpoint name'},
  set: {type: 'string', required: true, description: 'Endpoint set'},
  domain: {type: 'string', default: 'a', description: 'Failure domain'},
  entries: {
    type: 'string',
    default: '',
    description: 'Base URLs of entries, separated by commas',
  },
} as const;

/** Announces an endpoint to the entries of the `--entries` argument, if any. */
export function startAnnouncing(
  entryList: string,
  readAnnouncement: () => Announcement,
): void {
  const entries = entryList.split(',').filter(url => url !== '');
  if (entries.length > 0) {
    createAnnouncer({
      entries,
      intervalMs: ANNOUNCE_INTERVAL_MS,
      readAnnouncement,
    });
  }
}
