#!/usr/bin/env node
import {createAnnouncer} from '@gentianshunt/modelEngine';
import {defineCommand, runMain} from 'citty';

import {createPlainService} from './plainService.js';

const ANNOUNCE_INTERVAL_MS = 500;

const command = defineCommand({
  meta: {name: 'plain-service', description: 'A stand-in plain service.'},
  args: {
    host: {type: 'string', default: '127.0.0.1', description: 'IP number'},
    port: {type: 'string', default: '0', description: 'Port'},
    endpoint: {type: 'string', required: true, description: 'Endpoint name'},
    set: {type: 'string', required: true, description: 'Endpoint set'},
    domain: {type: 'string', default: 'a', description: 'Failure domain'},
    entries: {
      type: 'string',
      default: '',
      description: 'Base URLs of entries, separated by commas',
    },
    concurrency: {type: 'string', default: '8', description: 'Calls at once'},
    'work-ms': {
      type: 'string',
      default: '5',
      description: 'Milliseconds a call takes',
    },
  },
  run: async ({args}) => {
    const service = await createPlainService({
      host: args.host,
      port: Number(args.port),
      workMs: Number(args['work-ms']),
    });
    const entries = args.entries.split(',').filter(url => url !== '');
    if (entries.length > 0) {
      createAnnouncer({
        entries,
        intervalMs: ANNOUNCE_INTERVAL_MS,
        readAnnouncement: () => ({
          endpoint: args.endpoint,
          incarnation: `p${process.pid}`,
          set: args.set,
          domain: args.domain,
          url: service.url,
          concurrency: Number(args.concurrency),
          leaving: false,
          load: null,
        }),
      });
    }
    process.on('SIGTERM', () => process.exit(0));
    console.log(JSON.stringify({ready: true, url: service.url}));
  },
});

await runMain(command);
