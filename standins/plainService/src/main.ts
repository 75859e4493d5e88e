#!/usr/bin/env node
import {ENDPOINT_ARGS, startAnnouncing} from '@gentianshunt/modelEngine';
import {defineCommand, runMain} from 'citty';

import {createPlainService} from './plainService.js';

const command = defineCommand({
  meta: {name: 'plain-service', description: 'A stand-in for a plain service.'},
  args: {
    ...ENDPOINT_ARGS,
    concurrency: {
      type: 'string',
      default: '8',
      description: 'Maximum calls at once',
    },
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
    startAnnouncing(args.entries, () => ({
      endpoint: args.endpoint,
      incarnation: `p${process.pid}`,
      set: args.set,
      domain: args.domain,
      url: service.url,
      concurrency: Number(args.concurrency),
      leaving: false,
      load: null,
    }));
    process.on('SIGTERM', () => process.exit(0));
    console.log(JSON.stringify({ready: true, url: service.url}));
  },
});

await runMain(command);
