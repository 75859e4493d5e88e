#!/usr/bin/env node
import {formatError} from '@gentianshunt/errors';
import {readEntrydSettings} from '@gentianshunt/settings';
import {defineCommand, runMain} from 'citty';

import {createEntryd} from './entryd.js';

const SETTINGS_ERROR_EXIT_CODE = 2;

const command = defineCommand({
  meta: {
    name: 'entryd',
    description: "Receives callers' requests and dispatches them to endpoints.",
  },
  args: {
    settings: {
      type: 'string',
      required: true,
      description: 'Settings file (TOML)',
    },
  },
  run: async ({args}) => {
    try {
      const settings = readEntrydSettings({file: args.settings});
      const daemon = await createEntryd({
        settings,
        onExit: () => process.exit(0),
      });
      process.on('SIGTERM', () => daemon.shutdown());
      process.on('SIGINT', () => daemon.shutdown());
      console.log(JSON.stringify({ready: true, httpPort: daemon.httpPort}));
    } catch (error) {
      console.error(formatError(error));
      process.exit(SETTINGS_ERROR_EXIT_CODE);
    }
  },
});

await runMain(command);
