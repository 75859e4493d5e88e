#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';

import {ENDPOINT_ARGS, startAnnouncing} from './endpointArgs.js';
import {createEngineServer} from './engineServer.js';

const command = defineCommand({
  meta: {name: 'model-engine', description: 'A stand-in for a model engine.'},
  args: {
    ...ENDPOINT_ARGS,
    batch: {type: 'string', default: '16', description: 'Maximum jobs at once'},
    'prefill-rate': {
      type: 'string',
      default: '20000',
      description: 'Prompt tokens processed a second',
    },
    'ignore-fencing': {
      type: 'boolean',
      default: false,
      description: 'Accept orders with outdated fencing numbers',
    },
    'step-ms': {
      type: 'string',
      default: '5',
      description: 'Milliseconds a decoding step takes',
    },
  },
  run: async ({args}) => {
    const server = await createEngineServer({
      host: args.host,
      port: Number(args.port),
      fencing: args['ignore-fencing'] ? 'ignores' : 'checks',
      engine: {
        prefillTokensPerSecond: Number(args['prefill-rate']),
        stepMs: Number(args['step-ms']),
        stepMsPerJob: 0.05,
        maxBatch: Number(args.batch),
        cachedPrefixes: 64,
        graceMs: 2_000,
      },
    });
    let isLeaving = false;
    startAnnouncing(args.entries, () => ({
      endpoint: args.endpoint,
      incarnation: `p${process.pid}`,
      set: args.set,
      domain: args.domain,
      url: server.url,
      concurrency: Number(args.batch),
      checksFencing: !args['ignore-fencing'],
      leaving: isLeaving,
      load: {...server.engine.readLoad(), ageMs: 0},
    }));
    process.on('SIGUSR2', () => {
      isLeaving = true;
    });
    process.on('SIGTERM', () => process.exit(0));
    console.log(JSON.stringify({ready: true, url: server.url}));
  },
});

await runMain(command);
